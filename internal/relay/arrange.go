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
	// sharedPart is the part of the rate with chains that each have cuts of their own with
	// which shared cuts go before them: an engine that holds just the layers of a lost one
	// stands in for it, and answers go on; with cuts of their own more of them begin anew.
	sharedPart = 0.85
)

// seat is the layers of engines that hold the same in the same place of a round: units[at],
// units[at+step], and so on.
type seat struct {
	layers          config.Range
	at, step, count int
	// round numbers the rounds that the seat is of: they are alike.
	round int
}

// candidatePlan is a plan for a hall with what it is worth.
type candidatePlan struct {
	seats  []seat
	filled []unit
	planWorth
}

// better returns the plan with the higher rate over losses.
func (c candidatePlan) better(o candidatePlan) candidatePlan {
	if o.mean > c.mean || c.seats == nil {
		return o
	}
	return c
}

// arrange gives layers to the sorted engines of one hall so that they bear the highest
// rate; none where they can't hold the model.
func (e *Engine) arrange(units []unit) []unit {
	g := newGauge(e)
	shared := e.bestOf(g, units, e.segments)
	apart := e.bestOf(g, units, e.wholeModel)
	if shared.mean < sharedPart*apart.mean {
		return apart.units(units)
	}
	return shared.units(units)
}

// bestOf returns the best plan with the segments that a size of memory gives.
func (e *Engine) bestOf(g *gauge, units []unit, segmentsOf func([]unit, int) []config.Range) candidatePlan {
	var best, bearing candidatePlan
	tokens := e.usual()
	var before []seat
	for range memorySizes {
		segments := segmentsOf(units, int(tokens))
		if len(segments) == 0 {
			break
		}
		seats, rest := e.rounds(units, segments, int(tokens))
		if !slices.Equal(seats, before) {
			before = seats
			c := e.candidate(g, units, seats, rest, int(tokens))
			best = best.better(c)
			if c.bears {
				bearing = bearing.better(c)
			}
		}
		tokens *= memoryStep
	}
	if bearing.whole > bearPart*best.whole {
		return bearing
	}
	return best
}

// wholeModel returns the model as one segment, where a chain holds it: each chain then has
// cuts of its own.
func (e *Engine) wholeModel(units []unit, tokens int) []config.Range {
	if len(e.chain(units, tokens)) == 0 {
		return nil
	}
	return []config.Range{{Last: e.Layers}}
}

// segments returns the ranges of the first chain, whose cuts all others share: each of its
// engines of the fastest kind has one, and the slower ones together. None if there is no
// chain.
func (e *Engine) segments(units []unit, tokens int) []config.Range {
	chain := e.chain(units, tokens)
	if len(chain) == 0 {
		return nil
	}
	var segments []config.Range
	for i, layers := range inRow(e.split(chain, e.Layers, tokens)) {
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
// there are enough. The rest are too few for one more round.
func (e *Engine) rounds(units []unit, segments []config.Range, tokens int) (seats []seat, rest []unit) {
	next := 0
	for {
		round, used := e.round(units, next, segments, tokens)
		if used == 0 {
			return seats, units[next:]
		}
		times := max(alikeFrom(units, next)/used, 1)
		for _, s := range round {
			s.step, s.count, s.round = used, times, next
			seats = append(seats, s)
		}
		next += used * times
	}
}

// alikeFrom counts the engines of one kind from one on.
func alikeFrom(units []unit, next int) int {
	n := 0
	for next+n < len(units) && units[next+n].kind.Name == units[next].kind.Name {
		n++
	}
	return n
}

// round covers each segment once, from an engine on, and returns how many it takes; 0 if
// there are too few.
func (e *Engine) round(units []unit, next int, segments []config.Range, tokens int) (seats []seat, used int) {
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
		for i, layers := range inRow(e.split(units[at:n], s.Len(), tokens)) {
			if layers.Len() > 0 {
				layers.First += s.First
				layers.Last += s.First
				seats = append(seats, seat{layers: layers, at: at + i})
			}
		}
		at = n
	}
	return seats, at - next
}

// candidate returns the plan with these seats, and the rest at the layers with the least
// memory.
func (e *Engine) candidate(g *gauge, units []unit, seats []seat, rest []unit, tokens int) candidatePlan {
	var held []like
	for _, s := range seats {
		held = e.addLike(held, &units[s.at].kind, s.layers, s.count)
	}
	filled := e.fill(rest, held, tokens)
	for i := range filled {
		held = e.addLike(held, &filled[i].kind, filled[i].target.Layers, 1)
	}
	return candidatePlan{seats: seats, filled: filled, planWorth: g.worth(inOrder(held))}
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

// units returns the engines with the layers that a plan gives them, round by round.
func (c candidatePlan) units(units []unit) []unit {
	out := make([]unit, 0, len(units))
	for from := 0; from < len(c.seats); {
		to := from
		for to < len(c.seats) && c.seats[to].round == c.seats[from].round {
			to++
		}
		for k := range c.seats[from].count {
			for _, s := range c.seats[from:to] {
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
