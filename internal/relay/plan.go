package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file decides which layers each model engine should hold.
//
// Problem: engines of different speed and memory are to hold a model that none of them can
// hold alone. Weights and requests share an engine's memory, so layers are traded against
// requests. The activations that a request passes on at each layer border are far too large
// for the pipes between data halls: one crossing for each request fills a pipe at about 40
// requests a second. The path of a request may combine any engines whose ranges join, and
// any engine may die.
//
// Algorithm: a hall that can hold the model by itself does so. Its fastest engines, as many
// as hold the model with a given memory for requests in each, form a chain; the ends of the
// ranges of its fastest kind are the cuts of the hall. All engines then cover the segments
// between the cuts in rounds, in order of speed. Each segment gets as many engines as it
// takes, and is split so that the smallest memory for requests among them is as large as
// possible. Rounds of similar speed release fast memory early: an answer occupies memory on
// its fast stages for as long as its slow stages take. With shared cuts, engines can
// replace lost ones; chains with cuts of their own are used where they bear a much higher
// rate. Engines left over after whole rounds get the layers with the least memory. How much
// memory is right depends on the fleet: several sizes are tried for each hall, and the plan
// is taken that bears the highest rate of answers, as the mean over the losses of the
// engines that cost most (arrange.go, capacity.go). Halls that cannot hold the model are
// planned as one.
//
// An engine that joins later, empty, gets the range with the least coverage between two
// existing cuts. Engines that serve are not moved: every load takes an engine out of
// service for seconds.
//
// A hall that has lost layers and could hold the model gets them back from its own engines:
// the least busy one whose layers are also held by others.
//
// Invariants: a range never has more layers than fit the engine's memory. A range that is
// held is only changed if another engine in the hall holds every layer of it.
//
// Limits: traffic on the pipes is avoided as far as halls can hold the model, and is not
// considered otherwise.

// Assignment is the layers that one engine should hold.
type Assignment struct {
	Target TargetID
	Layers config.Range
}

// unit is an engine that the planner may use.
type unit struct {
	target Target
	kind   Accelerator
	// newlyAssigned is set if the engine was assigned its layers in this plan.
	newlyAssigned bool
}

// Plan returns the layers that engines without any should hold. The targets are those of
// one service that take work.
func Plan(e *Engine, targets []Target) []Assignment { return Policy{}.Plan(e, targets) }

// Plan returns the plan under a policy.
func (p Policy) Plan(e *Engine, targets []Target) []Assignment {
	var empty, holding []unit
	for _, t := range targets {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok || !t.AcceptsWork() {
			continue
		}
		if t.Layers.First < 0 || t.Layers.Last > e.Layers {
			// It holds a part of another model, such as that of an older document, and is
			// of no use until it is ordered to hold other layers.
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
		return e.planInitial(empty)
	}
	more := e.planAdditional(empty, holding)
	if !p.Has(RepairMoves) {
		return more
	}
	return append(more, e.repair(withAssignments(holding, empty, more))...)
}

// withAssignments returns the engines that hold layers after the assignments are carried out.
func withAssignments(holding, empty []unit, more []Assignment) []unit {
	all := slices.Clone(holding)
	for _, u := range empty {
		for _, a := range more {
			if a.Target == u.target.ID {
				u.target.Layers = a.Layers
				u.newlyAssigned = true
				all = append(all, u)
			}
		}
	}
	return all
}

// memoryGoal returns the memory for requests of the engines of a hall, in tokens, or that
// of all halls if the hall holds nothing. Engines with much less memory are disregarded:
// those that took over layers of lost ones, and those that report more layers than they can
// hold.
func (e *Engine) memoryGoal(holding []unit, hall string) int {
	var here, all []int
	for i := range holding {
		u := &holding[i]
		if !e.contains(u.target.Layers) {
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
		return int(e.usualTokens())
	}
	slices.Sort(here)
	return max(int(memoryTolerance*float64(here[int(lowMemoryShare*float64(len(here)))])), int(e.usualTokens()))
}

const (
	// lowMemoryShare is the share of the engines that may have less memory than the goal.
	lowMemoryShare = 0.1
	// memoryTolerance is the part of the goal with which an engine still counts as reaching
	// it: the engines of a chain differ by the memory of one layer.
	memoryTolerance = 0.9
)

// layersFor returns the most layers that leave memory for the given number of tokens.
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

// planInitial plans for engines that hold no layers yet.
func (e *Engine) planInitial(units []unit) []Assignment {
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
		return interleave(lists)
	}
	slices.SortFunc(rest, compareUnits)
	together := e.arrange(rest)
	if len(together) == 0 && len(placed) > 0 {
		together = e.fill(rest, e.groupsOf(placed), e.memoryGoal(placed, ""))
	}
	return append(interleave(lists), assignmentsOf(together)...)
}

// byHall returns the units of each hall, sorted by the names of the halls.
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

// interleave merges lists by taking one element of each in turn, so that all halls get
// their first copies first.
func interleave(lists [][]Assignment) []Assignment {
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

// compareUnits sorts by speed, then by hall, so that a chain changes halls as rarely as
// possible, then by name.
func compareUnits(a, b unit) int {
	return cmp.Or(
		cmp.Compare(a.kind.StepFactor, b.kind.StepFactor),
		cmp.Compare(a.kind.Name, b.kind.Name),
		cmp.Compare(a.target.Hall, b.target.Hall),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}

// otherHallRate is the part of an engine's rate that counts in another hall: little, since
// the pipes between halls carry few requests.
const otherHallRate = 0.1

// planAdditional gives engines that joined later the ranges with the least coverage in
// their hall.
func (e *Engine) planAdditional(empty, holding []unit) []Assignment {
	slices.SortFunc(empty, compareUnits)
	var out []Assignment
	for _, u := range empty {
		wanted := e.memoryGoal(holding, u.target.Hall)
		layers := scarcestRange(e.coverage(holding, u.target.Hall), e.cutsFor(holding, u.target.Hall), e.layersFor(u.kind, wanted))
		if layers.Len() == 0 {
			continue
		}
		u.target.Layers = layers
		holding = append(holding, u)
		out = append(out, Assignment{Target: u.target.ID, Layers: layers})
	}
	return out
}

// cutsFor returns the sorted ends of the ranges that a hall holds, or those of all halls if
// the hall lacks layers.
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
		weight := otherHallRate
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
		rates[i] += weight / (u.kind.StepFactor * float64(layers.Len()))
	}
}

// minCoverage limits the scarcity of a layer that no engine runs: it represents an engine a
// thousand times as slow as the fastest.
const minCoverage = 1e-3

// scarcestRange returns the range between two cuts, of at most limit layers, with the
// greatest scarcity: each layer counts the inverse of its rate. If a gap is longer than
// limit, the range is the beginning of the gap.
func scarcestRange(coverage []float64, cuts []int, limit int) config.Range {
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
		total += 1 / (rate + minCoverage)
	}
	return total
}
