package relay

import (
	"maps"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file searches for the plan of one hall that bears the highest rate of answers.

const (
	// memoryStep is the ratio of the sizes of memory that are tried: of two plans that
	// lie between, the better one bears a few hundredths more.
	memoryStep = 1.2
	// memorySizes bounds the sizes that are tried: 36 steps are a factor of 600, from what
	// one usual request takes to more than an engine has slots for.
	memorySizes = 36
	// bearPart is the part of the best plan's rate that a plan must bear to go before it
	// for bearing the loss of any engine.
	bearPart = 0.5
)

// candidatePlan is a plan for a hall with what it is worth.
type candidatePlan struct {
	runs   []chainRun
	filled []unit
	planWorth
}

// better returns the plan with the higher rate over losses.
func (c candidatePlan) better(o candidatePlan) candidatePlan {
	if o.mean > c.mean || c.runs == nil {
		return o
	}
	return c
}

// arrange gives layers to the sorted engines of one hall so that they bear the highest
// rate; none where they can't hold the model.
func (e *Engine) arrange(units []unit) []unit {
	var best, bearing candidatePlan
	g := newGauge(e)
	tokens := e.usual()
	var before []int
	for range memorySizes {
		runs, rest := e.chains(units, int(tokens))
		if len(runs) == 0 {
			break
		}
		if sizes := sizesOf(runs); !slices.Equal(sizes, before) {
			before = sizes
			c := e.candidate(g, runs, rest, int(tokens))
			best = best.better(c)
			if c.bears {
				bearing = bearing.better(c)
			}
		}
		tokens *= memoryStep
	}
	if bearing.whole > bearPart*best.whole {
		best = bearing
	}
	return best.units()
}

// sizesOf returns the chains of each run and the engines of each chain: plans of the same
// sizes differ little.
func sizesOf(runs []chainRun) []int {
	sizes := make([]int, 0, 2*len(runs))
	for _, r := range runs {
		sizes = append(sizes, r.count, r.length)
	}
	return sizes
}

// candidate returns the plan with these chains, and the rest at the layers with the least
// memory.
func (e *Engine) candidate(g *gauge, runs []chainRun, rest []unit, tokens int) candidatePlan {
	var held []like
	for i := range runs {
		r := &runs[i]
		r.sizes = e.split(r.units[:r.length], tokens)
		for at, layers := range inRow(r.sizes) {
			if layers.Len() > 0 {
				held = e.addLike(held, &r.units[at].kind, layers, r.count)
			}
		}
	}
	filled := e.fill(rest, held, tokens)
	for i := range filled {
		held = e.addLike(held, &filled[i].kind, filled[i].target.Layers, 1)
	}
	return candidatePlan{runs: runs, filled: filled, planWorth: g.worth(inOrder(held))}
}

// inRow returns consecutive ranges of the given sizes.
func inRow(sizes []int) []config.Range {
	ranges := make([]config.Range, len(sizes))
	first := 0
	for i, n := range sizes {
		ranges[i] = config.Range{First: first, Last: first + n}
		first += n
	}
	return ranges
}

// units returns the engines with the layers that a plan gives them, chain by chain.
func (c candidatePlan) units() []unit {
	size := len(c.filled)
	for _, r := range c.runs {
		size += len(r.units)
	}
	out := make([]unit, 0, size)
	for _, r := range c.runs {
		ranges := inRow(r.sizes)
		for i, u := range r.units {
			u.target.Layers = ranges[i%r.length]
			if u.target.Layers.Len() > 0 {
				out = append(out, u)
			}
		}
	}
	return append(out, c.filled...)
}

// fill gives engines that are too few for a chain the layers with the least memory for
// requests beside what is held, each of them with memory for so many tokens.
func (e *Engine) fill(rest []unit, held []like, tokens int) []unit {
	level := make([]float64, e.Layers)
	ends := map[int]bool{0: true, e.Layers: true}
	for _, l := range held {
		addLevel(level, l.layers, l.room.answers*float64(l.count))
		ends[l.layers.First], ends[l.layers.Last] = true, true
	}
	cuts := slices.Sorted(maps.Keys(ends))
	var out []unit
	for _, u := range rest {
		u.target.Layers = weakest(level, cuts, e.layersFor(u.kind, tokens))
		if u.target.Layers.Len() == 0 {
			continue
		}
		addLevel(level, u.target.Layers, e.answersAt(u.kind, u.target.Layers.Len()))
		out = append(out, u)
	}
	return out
}
