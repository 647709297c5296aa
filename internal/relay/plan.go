package relay

import (
	"cmp"
	"maps"
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
// Algorithm: a hall that can hold the model by itself does. Its fastest engines, as many as
// hold the model with memory for so many tokens of requests in each, are put together to a
// chain; the ends of the ranges of its fastest kind are the cuts of the hall. All engines
// then cover the segments between the cuts in rounds, in order of their speed, each segment
// by as many as it takes, split so that the one with the least memory has the most. Rounds
// of like speed let fast memory free soon: an answer takes memory on its fast stages for as
// long as its slow ones take. Shared cuts let engines stand in for lost ones; where chains
// that each have cuts of their own bear much more, these are taken. What is left
// beside whole rounds goes to the layers with the least memory. How much memory is right
// follows from the fleet: several sizes are tried for each hall, and the one is taken whose
// plan bears the highest rate of answers, in the mean over the losses of the engines that
// cost most (arrange.go, capacity.go). Halls that can't hold the model are planned as one.
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

// Assignment is what one engine should hold.
type Assignment struct {
	Target TargetID
	Layers config.Range
}

// unit is an engine that the planner may use.
type unit struct {
	target Target
	kind   Accelerator
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
		u := unit{target: t, kind: kind}
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

// wantedBy returns the memory for requests that engines of a hall have, in tokens; that of
// all halls where the hall holds nothing. A few may have less: those that took over layers
// of lost ones, and those that say more than they can hold.
func (e *Engine) wantedBy(holding []unit, hall string) int {
	var here, all []int
	for i := range holding {
		u := &holding[i]
		if !e.holds(u.target.Layers) {
			continue
		}
		tokens := e.tokens(u.kind, u.target.Layers.Len())
		all = append(all, tokens)
		if u.target.Hall == hall {
			here = append(here, tokens)
		}
	}
	if len(here) == 0 {
		here = all
	}
	if len(here) == 0 {
		return int(e.usual())
	}
	slices.Sort(here)
	return max(int(likeEnough*float64(here[int(fewHave*float64(len(here)))])), int(e.usual()))
}

const (
	// fewHave is the part of the engines that may have less memory than is wanted.
	fewHave = 0.1
	// likeEnough is the part of the wanted memory with which an engine still counts as one
	// that has it: the engines of a chain differ by what one layer takes.
	likeEnough = 0.9
)

// layersFor returns the most layers that leave memory for so many tokens.
func (e *Engine) layersFor(a Accelerator, tokens int) int {
	n := min(e.maxLayers(a), e.Layers)
	if tokens > 0 {
		// With rest bytes beside n layers, rest*Layers/TokenBytes >= n*tokens.
		each := float64(tokens)*e.TokenBytes + e.LayerBytes*float64(e.Layers)
		n = min(n, int(a.Bytes*float64(e.Layers)/each)+1)
	}
	for n > 0 && e.tokens(a, n) < tokens {
		n--
	}
	return n
}

// planAnew plans for engines of which none holds anything.
func (e *Engine) planAnew(units []unit) []Assignment {
	slices.SortFunc(units, compareUnits)
	var lists [][]Assignment
	var placed, rest []unit
	for _, here := range byHall(units) {
		planned := e.arrange(here)
		if len(planned) == 0 {
			rest = append(rest, here...)
			continue
		}
		lists = append(lists, assignmentsOf(planned))
		placed = append(placed, planned...)
	}
	if len(rest) == 0 {
		return byTurns(lists)
	}
	slices.SortFunc(rest, compareUnits)
	together := e.arrange(rest)
	if len(together) == 0 && len(placed) > 0 {
		together = e.fill(rest, e.likes(placed), e.wantedBy(placed, ""))
	}
	return append(byTurns(lists), assignmentsOf(together)...)
}

// byHall returns the units of each hall, in the order of their names.
func byHall(units []unit) [][]unit {
	sizes := make(map[string]int)
	for i := range units {
		sizes[units[i].target.Hall]++
	}
	groups := make(map[string][]unit, len(sizes))
	for _, u := range units {
		if groups[u.target.Hall] == nil {
			groups[u.target.Hall] = make([]unit, 0, sizes[u.target.Hall])
		}
		groups[u.target.Hall] = append(groups[u.target.Hall], u)
	}
	var all [][]unit
	for _, hall := range slices.Sorted(maps.Keys(groups)) {
		all = append(all, groups[hall])
	}
	return all
}

func inHall(units []unit, hall string) []unit {
	return slices.DeleteFunc(slices.Clone(units), func(u unit) bool { return u.target.Hall != hall })
}

func assignmentsOf(units []unit) []Assignment {
	out := make([]Assignment, len(units))
	for i, u := range units {
		out[i] = Assignment{Target: u.target.ID, Layers: u.target.Layers}
	}
	return out
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

// crossRate is the part of an engine's rate that it counts for in another hall:
// little, since the pipes between halls bear few requests.
const crossRate = 0.1

// planMore gives engines that came later the ranges that the fewest in their hall
// can run.
func (e *Engine) planMore(empty, holding []unit) []Assignment {
	slices.SortFunc(empty, compareUnits)
	var out []Assignment
	for _, u := range empty {
		wanted := e.wantedBy(holding, u.target.Hall)
		layers := weakest(e.coverage(holding, u.target.Hall), e.cutsFor(holding, u.target.Hall), e.layersFor(u.kind, wanted))
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
