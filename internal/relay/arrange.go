package relay

import (
	"maps"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file searches for the plan of one hall that bears the highest rate of answers.

const (
	// memoryStep is the ratio between the memory sizes that are tried: the better of two
	// plans in between bears a few hundredths more.
	memoryStep = 1.2
	// memorySizes bounds the number of sizes that are tried: 36 sizes cover a factor of
	// 600, from the memory of one usual request to more than an engine has slots for.
	memorySizes = 36
	// survivorPart is the part of the best plan's rate above which a plan that survives the
	// loss of any engine is preferred to it.
	survivorPart = 0.5
	// sharedCutsPart is the part of the rate of chains with separate cuts from which on
	// shared cuts are preferred: an engine that holds exactly the layers of a lost one
	// replaces it, and answers go on. With separate cuts, more of them start over.
	sharedCutsPart = 0.85
)

// placement is the layers of the engines that have the same place in a round: units[at],
// units[at+step], and so on.
type placement struct {
	layers          config.Range
	at, step, count int
	// round identifies a sequence of identical rounds that the placement belongs to.
	round int
}

// candidatePlan is a plan for a hall with its score.
type candidatePlan struct {
	placements []placement
	filled     []unit
	planScore
}

// better returns the plan with the higher mean rate over losses.
func (c candidatePlan) better(o candidatePlan) candidatePlan {
	if o.meanRate > c.meanRate || c.placements == nil {
		return o
	}
	return c
}

// arrange gives layers to the sorted engines of one hall so that they bear the highest
// rate, or to none if they cannot hold the model.
func (e *Engine) arrange(units []unit) []unit {
	g := newEstimator(e)
	shared := e.bestOf(g, units, e.segments)
	apart := e.bestOf(g, units, e.wholeModel)
	if shared.meanRate < sharedCutsPart*apart.meanRate {
		return apart.units(units)
	}
	return shared.units(units)
}

// bestOf returns the best plan over all memory sizes, each with the segments that
// segmentsOf gives for it.
func (e *Engine) bestOf(g *estimator, units []unit, segmentsOf func([]unit, int) []config.Range) candidatePlan {
	var best, surviving candidatePlan
	tokens := e.usualTokens()
	var before []placement
	for range memorySizes {
		segments := segmentsOf(units, int(tokens))
		if len(segments) == 0 {
			break
		}
		placements, rest := e.rounds(units, segments, int(tokens))
		if !slices.Equal(placements, before) {
			before = placements
			c := e.evaluate(g, units, placements, rest, int(tokens))
			best = best.better(c)
			if c.survivesLoss {
				surviving = surviving.better(c)
			}
		}
		tokens *= memoryStep
	}
	if surviving.fullRate > survivorPart*best.fullRate {
		return surviving
	}
	return best
}

// wholeModel returns the model as one segment if a chain can hold it. Each chain then has
// cuts of its own.
func (e *Engine) wholeModel(units []unit, tokens int) []config.Range {
	if len(e.chain(units, tokens)) == 0 {
		return nil
	}
	return []config.Range{{Last: e.Layers}}
}

// segments returns the ranges of the first chain, whose cuts all other chains share: one
// for each of its engines of the fastest kind, and one for the slower engines together. It
// returns none if there is no chain.
func (e *Engine) segments(units []unit, tokens int) []config.Range {
	chain := e.chain(units, tokens)
	if len(chain) == 0 {
		return nil
	}
	var segments []config.Range
	for i, layers := range consecutive(e.split(chain, e.Layers, tokens)) {
		if i > 0 && chain[i].kind.Name != chain[0].kind.Name {
			return append(segments, config.Range{First: layers.First, Last: e.Layers})
		}
		if layers.Len() > 0 {
			segments = append(segments, layers)
		}
	}
	return segments
}

// rounds covers all segments in turn with groups of engines, the fastest first, as often as
// there are enough engines. The rest are too few for another round.
func (e *Engine) rounds(units []unit, segments []config.Range, tokens int) (placements []placement, rest []unit) {
	next := 0
	for {
		round, used := e.round(units, next, segments, tokens)
		if used == 0 {
			return placements, units[next:]
		}
		times := max(countSameKind(units, next)/used, 1)
		for _, s := range round {
			s.step, s.count, s.round = used, times, next
			placements = append(placements, s)
		}
		next += used * times
	}
}

// countSameKind counts the consecutive engines of one kind from an index on.
func countSameKind(units []unit, next int) int {
	n := 0
	for next+n < len(units) && units[next+n].kind.Name == units[next].kind.Name {
		n++
	}
	return n
}

// round covers each segment once with the engines from an index on, and returns how many it
// uses, or 0 if there are too few.
func (e *Engine) round(units []unit, next int, segments []config.Range, tokens int) (placements []placement, used int) {
	at := next
	for _, s := range segments {
		n, size := at, 0
		for n < len(units) && size < s.Len() {
			size += e.layersFor(units[n].kind, tokens)
			n++
		}
		if size < s.Len() {
			return nil, 0
		}
		for i, layers := range consecutive(e.split(units[at:n], s.Len(), tokens)) {
			if layers.Len() > 0 {
				layers.First += s.First
				layers.Last += s.First
				placements = append(placements, placement{layers: layers, at: at + i})
			}
		}
		at = n
	}
	return placements, at - next
}

// evaluate returns the plan with these placements, and the rest of the engines at the
// layers with the least memory.
func (e *Engine) evaluate(g *estimator, units []unit, placements []placement, rest []unit, tokens int) candidatePlan {
	var held []engineGroup
	for _, s := range placements {
		held = e.addToGroup(held, &units[s.at].kind, s.layers, s.count)
	}
	filled := e.fill(rest, held, tokens)
	for i := range filled {
		held = e.addToGroup(held, &filled[i].kind, filled[i].target.Layers, 1)
	}
	return candidatePlan{placements: placements, filled: filled, planScore: g.score(sortBySpeed(held))}
}

// consecutive returns consecutive ranges of the given sizes.
func consecutive(sizes []int) []config.Range {
	ranges := make([]config.Range, len(sizes))
	first := 0
	for i, n := range sizes {
		ranges[i] = config.Range{First: first, Last: first + n}
		first += n
	}
	return ranges
}

// units returns the engines with the layers that the plan gives them, round by round.
func (c candidatePlan) units(units []unit) []unit {
	out := make([]unit, 0, len(units))
	for from := 0; from < len(c.placements); {
		to := from
		for to < len(c.placements) && c.placements[to].round == c.placements[from].round {
			to++
		}
		for k := range c.placements[from].count {
			for _, s := range c.placements[from:to] {
				u := units[s.at+k*s.step]
				u.target.Layers = s.layers
				out = append(out, u)
			}
		}
		from = to
	}
	return append(out, c.filled...)
}

// fill gives engines that are too few for a chain the layers with the least memory for
// requests so far, so that each of them has memory for the given number of tokens.
func (e *Engine) fill(rest []unit, held []engineGroup, tokens int) []unit {
	level := make([]float64, e.Layers)
	ends := map[int]bool{0: true, e.Layers: true}
	for _, l := range held {
		addLevel(level, l.layers, l.perLayer.answers*float64(l.count))
		ends[l.layers.First], ends[l.layers.Last] = true, true
	}
	cuts := slices.Sorted(maps.Keys(ends))
	var out []unit
	for _, u := range rest {
		u.target.Layers = scarcestRange(level, cuts, e.layersFor(u.kind, tokens))
		if u.target.Layers.Len() == 0 {
			continue
		}
		addLevel(level, u.target.Layers, e.answersAt(u.kind, u.target.Layers.Len()))
		out = append(out, u)
	}
	return out
}
