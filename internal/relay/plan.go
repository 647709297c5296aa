package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file says which layers each model engine should hold.
//
// Problem: engines of unlike speed and memory are to hold a model that none of
// them can hold alone. Weights and requests share an engine's memory, so layers
// are traded against requests. What a request hands on at each layer border is
// far more than fits the pipes between data halls: one
// crossing of a pipe for each request fills it at some 40 requests a second. A
// path for a request may be put together from any engines whose ranges join, and
// any engine may die.
//
// Algorithm: a hall that can hold the model by itself does. The fast engines of
// the fastest such hall take as many layers as leave them room for plannedRequests,
// one after the other, and all slower ones together the rest. The ends of these
// segments are the cuts, for all halls. In each hall the
// engines then cover the segments between two cuts, in order, in groups
// of the fewest engines that waste the least, once and again while engines are
// left. Since all groups end at cuts, the loss of an engine is made up by a group
// over the same layers, of its own hall or another, and all other engines of its
// chain go on. Where no hall can hold the model, all halls are planned as one.
//
// An engine that comes later, empty, takes the range that the fewest can run,
// between two ends that exist already. What works is not moved: every load takes
// an engine away for seconds.
//
// A hall that has lost layers, and could hold the model, gets them back from an
// engine of its own that others can stand in for: the least busy one.
//
// Invariants: a range never has more layers than fit the engine's memory; a range
// that is held is only changed when every layer of it is held in its hall by
// another.
//
// Limits: the pipes are kept free as far as halls hold the model, and not
// otherwise weighed.

const (
	// plannedRequests is the least number of usual requests that an engine should have
	// memory for. 90 is what the slowest kind still holds with 6 layers. See wanted for the most.
	plannedRequests = 90
	// likeEnough is the part of the wanted memory with which an engine still counts as
	// one that has it: a layer less for a rounded token would be wasted.
	likeEnough = 0.98
	// fastSpread is how much slower than the fastest kind others may be and still
	// share its chain: a stage four times as slow would hold the chain up.
	fastSpread = 4.0
	// groupLimit bounds the engines that cover one segment.
	groupLimit = 6
)

// Assignment is what one engine should hold.
type Assignment struct {
	Target TargetID
	Layers config.Range
}

// unit is an engine that the planner may use.
type unit struct {
	target Target
	kind   Accelerator
	// comfort is how many layers leave room for plannedRequests.
	comfort int
	// fresh says that it has just been given its layers.
	fresh bool
}

// Plan returns what the engines without layers should hold. Targets are those
// of one service that take work.
func Plan(e *Engine, targets []Target) []Assignment { return Policy{}.Plan(e, targets) }

// Plan returns what Plan does under a policy.
func (p Policy) Plan(e *Engine, targets []Target) []Assignment {
	var empty, holding []unit
	for _, t := range targets {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok || !t.Takes() {
			continue
		}
		if t.Layers.First < 0 || t.Layers.Last > e.Layers {
			// It holds a part of another model, such as that of an older document: it is
			// of no use until it is told what to hold.
			t.Layers = config.Range{}
		}
		u := unit{target: t, kind: kind, comfort: e.comfort(kind)}
		if t.Layers.Len() > 0 {
			holding = append(holding, u)
		} else {
			empty = append(empty, u)
		}
	}
	if len(holding) == 0 {
		return e.planAnew(empty)
	}
	more := e.planMore(empty, holding)
	if !p.Has(RepairMoves) {
		return more
	}
	return append(more, e.repair(assumed(holding, empty, more))...)
}

// assumed returns the engines that hold layers once the assignments are carried
// out.
func assumed(holding, empty []unit, more []Assignment) []unit {
	all := slices.Clone(holding)
	for _, u := range empty {
		for _, a := range more {
			if a.Target == u.target.ID {
				u.target.Layers = a.Layers
				u.fresh = true
				all = append(all, u)
			}
		}
	}
	return all
}

// comfort returns how many layers leave room for the requests of a chain.
func (e *Engine) comfort(a Accelerator) int { return e.layersFor(a, e.wanted()) }

// wanted returns the memory for requests that each engine should have, in tokens. A
// chain runs as many requests as its fullest engine has memory for. The kind with the
// least memory can't be divided finely: what it has left beside the most layers that
// leave room for plannedRequests, all others should have too: otherwise they refuse
// requests that it has room for.
func (e *Engine) wanted() int {
	usual := max(e.UsualPrompt+e.UsualAnswer, 1)
	least := plannedRequests * usual
	want := least
	smallest := math.Inf(1)
	for _, a := range e.Accelerators {
		if n := e.layersFor(a, least); n > 0 && a.Bytes < smallest {
			smallest = a.Bytes
			want = int(likeEnough * float64(e.tokens(a, n)))
		}
	}
	return min(max(want, least), max(e.Slots*usual, least))
}

// layersFor returns the most layers that leave memory for so many tokens.
func (e *Engine) layersFor(a Accelerator, tokens int) int {
	n := min(e.maxLayers(a), e.Layers)
	for n > 0 && e.tokens(a, n) < tokens {
		n--
	}
	return n
}

// planAnew plans for engines of which none holds anything.
func (e *Engine) planAnew(units []unit) []Assignment {
	slices.SortFunc(units, compareUnits)
	halls, rest := e.halls(units)
	if len(halls) == 0 {
		return e.planAsOne(units)
	}
	segments := segmentsOf(e.cutsAfter(halls[0]))
	var byHall [][]Assignment
	for _, h := range halls {
		assigned, left := e.cover(h, segments)
		byHall = append(byHall, assigned)
		rest = append(rest, left...)
	}
	slices.SortFunc(rest, compareUnits)
	assigned, _ := e.cover(rest, segments)
	return append(byTurns(byHall), assigned...)
}

// byTurns puts lists together, one of each in turn, so that all halls get their first copies
// first.
func byTurns(lists [][]Assignment) []Assignment {
	var out []Assignment
	for i := 0; ; i++ {
		added := false
		for _, l := range lists {
			if i < len(l) {
				out = append(out, l[i])
				added = true
			}
		}
		if !added {
			return out
		}
	}
}

// planAsOne plans without regard to halls.
func (e *Engine) planAsOne(units []unit) []Assignment {
	chains, rest := e.chains(units)
	if len(chains) == 0 {
		return nil
	}
	cuts := e.split(chains[0])
	var out []Assignment
	for _, chain := range chains {
		out = append(out, assign(chain, 0, cuts)...)
	}
	assigned, _ := e.cover(rest, segmentsOf(cuts))
	return append(out, assigned...)
}

// halls returns the engines of each hall that can hold the model with comfort,
// the fastest hall first, and all other engines.
func (e *Engine) halls(units []unit) (halls [][]unit, rest []unit) {
	byHall := make(map[string][]unit)
	for _, u := range units {
		byHall[u.target.Hall] = append(byHall[u.target.Hall], u)
	}
	for _, name := range slices.Sorted(maps.Keys(byHall)) {
		h := byHall[name]
		size := 0
		for _, u := range h {
			size += u.comfort
		}
		if size >= e.Layers {
			halls = append(halls, h)
		} else {
			rest = append(rest, h...)
		}
	}
	slices.SortStableFunc(halls, func(a, b []unit) int { return cmp.Compare(a[0].kind.Pace, b[0].kind.Pace) })
	return halls, rest
}

// compareUnits sorts by speed, then by hall, so that a chain changes halls as
// seldom as it can, then by name.
func compareUnits(a, b unit) int {
	return cmp.Or(
		cmp.Compare(a.kind.Pace, b.kind.Pace),
		cmp.Compare(a.kind.Name, b.kind.Name),
		cmp.Compare(a.target.Hall, b.target.Hall),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}

// assign gives engines consecutive ranges of the given sizes.
func assign(units []unit, first int, sizes []int) []Assignment {
	var out []Assignment
	for i, u := range units {
		if sizes[i] > 0 {
			out = append(out, Assignment{Target: u.target.ID, Layers: config.Range{First: first, Last: first + sizes[i]}})
		}
		first += sizes[i]
	}
	return out
}

// cutsAfter returns the sizes of the segments that a hall's engines suggest: one
// for each fast engine, as many layers as it holds with comfort, and one for all
// layers that are left to slower ones. Where the fast engines can hold the model,
// they split it.
func (e *Engine) cutsAfter(hall []unit) []int {
	fast := 0
	total := 0
	for fast < len(hall) && hall[fast].kind.Pace <= fastSpread*hall[0].kind.Pace {
		total += hall[fast].comfort
		fast++
	}
	if total >= e.Layers {
		chains, _ := e.chains(hall[:fast])
		return e.split(chains[0])
	}
	var sizes []int
	for _, u := range hall[:fast] {
		sizes = append(sizes, u.comfort)
	}
	return append(sizes, e.Layers-total)
}

func segmentsOf(sizes []int) []config.Range {
	var segments []config.Range
	first := 0
	for _, n := range sizes {
		if n > 0 {
			segments = append(segments, config.Range{First: first, Last: first + n})
		}
		first += n
	}
	return segments
}

// crossRate is the part of an engine's rate that it counts for in another hall:
// little, since the pipes between halls bear few requests.
const crossRate = 0.1

// planMore gives engines that came later the ranges that the fewest in their hall
// can run.
func (e *Engine) planMore(empty, holding []unit) []Assignment {
	slices.SortFunc(empty, compareUnits)
	var out []Assignment
	for _, u := range empty {
		layers := weakest(e.coverage(holding, u.target.Hall), e.cutsFor(holding, u.target.Hall), u.comfort)
		if layers.Len() == 0 {
			continue
		}
		u.target.Layers = layers
		holding = append(holding, u)
		out = append(out, Assignment{Target: u.target.ID, Layers: layers})
	}
	return out
}

// cutsFor returns the ends of the ranges that a hall holds, sorted; those of all
// halls where the hall lacks layers.
func (e *Engine) cutsFor(holding []unit, hall string) []int {
	ends := map[int]bool{0: true, e.Layers: true}
	held := make([]bool, e.Layers)
	for _, u := range holding {
		if u.target.Hall != hall {
			continue
		}
		layers := u.target.Layers
		ends[layers.First], ends[layers.Last] = true, true
		for i := layers.First; i < min(layers.Last, e.Layers); i++ {
			held[i] = true
		}
	}
	if slices.Contains(held, false) {
		for _, u := range holding {
			ends[u.target.Layers.First], ends[u.target.Layers.Last] = true, true
		}
	}
	return slices.Sorted(maps.Keys(ends))
}

// coverage returns the rate at which each layer is run, as seen from a hall.
func (e *Engine) coverage(holding []unit, hall string) []float64 {
	rates := make([]float64, e.Layers)
	for _, u := range holding {
		weight := crossRate
		if u.target.Hall == hall {
			weight = 1
		}
		addRate(rates, u, weight)
	}
	return rates
}

// addRate adds the rate at which an engine runs its layers.
func addRate(rates []float64, u unit, weight float64) {
	layers := u.target.Layers
	for i := layers.First; i < min(layers.Last, len(rates)); i++ {
		rates[i] += weight / (u.kind.Pace * float64(layers.Len()))
	}
}

// scarceFloor keeps a layer that nobody runs from counting without bound: it
// stands for an engine a thousand times as slow as the fastest.
const scarceFloor = 1e-3

// weakest returns the range between two cuts, of at most limit layers, that
// holds the most of what few can run: each layer counts the inverse of its
// rate. Where a gap is longer than limit, the range is the gap's beginning.
func weakest(coverage []float64, cuts []int, limit int) config.Range {
	best := config.Range{}
	most := 0.0
	for i, first := range cuts {
		for _, last := range cuts[i+1:] {
			if last-first > limit && coverage[first] > 0 {
				break
			}
			r := config.Range{First: first, Last: min(last, first+limit)}
			if s := scarcity(coverage, r); s > most {
				best, most = r, s
			}
		}
	}
	return best
}

func scarcity(coverage []float64, r config.Range) float64 {
	total := 0.0
	for _, rate := range coverage[r.First:r.Last] {
		total += 1 / (rate + scarceFloor)
	}
	return total
}
