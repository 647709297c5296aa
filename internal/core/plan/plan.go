// Package plan decides which engine holds which layers. It is a pure function
// of the configuration.
//
// The problem: a model of L layers is cut into contiguous ranges, one for each
// engine of a chain, and the engines are unequal in speed and memory. A chain
// makes as many tokens a second as its slowest stage, which is the engine's
// speed over its number of layers. Links between halls cost time for each
// token, so a chain stays inside one hall where it can.
//
// The algorithm: engines are taken hall by hall, the fastest first, and dealt
// out to as many chains as their memory allows. Each chain is then cut by
// splitting layers in proportion to speed within memory, which Split does
// exactly. What is placed and still works is not moved: only chains that lost
// an engine, and engines that are free, are planned anew.
//
// Known limits: the grouping of engines into chains is greedy, and engines are
// shared among models in the order of the models' names, in proportion to the
// layers. TODO(spoolbank): weigh models by their events' pipelines.
package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Stage is one engine with what it can do.
type Stage struct {
	Target string
	// Speed is in layers times tokens a second; Memory in layers.
	Speed  float64
	Memory int
}

// Split cuts layers among stages, in their order, so that the slowest stage is
// as fast as can be. It returns nil when the memory does not suffice.
//
// A rate r is possible when the stages can hold, each at most its speed over r,
// all the layers. Each best rate is some stage's speed over a whole number of
// layers, so trying those finds it exactly.
func Split(layers int, stages []Stage) []config.Range {
	rate := bestRate(layers, stages)
	if rate == 0 {
		return nil
	}
	ranges := make([]config.Range, 0, len(stages))
	first := 0
	for _, s := range stages {
		last := min(layers, first+holds(s, rate))
		ranges = append(ranges, config.Range{First: first, Last: last})
		first = last
	}
	return ranges
}

// slack makes up for rounding when a speed is divided by a rate it made.
const slack = 1e-9

// holds returns the layers that a stage can hold at a rate.
func holds(s Stage, rate float64) int {
	return min(s.Memory, int(math.Floor(s.Speed/rate+slack)))
}

func bestRate(layers int, stages []Stage) float64 {
	var best float64
	for _, s := range stages {
		for k := 1; k <= min(layers, s.Memory); k++ {
			rate := s.Speed / float64(k)
			if rate > best && capacityAt(stages, rate) >= layers {
				best = rate
			}
		}
	}
	return best
}

func capacityAt(stages []Stage, rate float64) int {
	total := 0
	for _, s := range stages {
		total += holds(s, rate)
	}
	return total
}

// Chain is a whole model on engines that are ready for it.
type Chain struct {
	Name   string
	Stages []config.Placement
	// Slots is the number of streams that its narrowest stage takes.
	Slots int
	// Rate is in tokens a second, all slots together.
	Rate float64
}

// Chains returns the chains of a model's version that are whole, ready and
// available, sorted by name.
func Chains(c config.State, model, version string) []Chain {
	byName := make(map[string][]config.Placement)
	for _, p := range c.Placements.Sorted() {
		t, ok := c.Targets.Get(p.Target)
		if ok && t.Available() && p.Ready && p.Model == model && p.Version == version {
			byName[p.Chain] = append(byName[p.Chain], p)
		}
	}
	m, _ := c.Models.Get(model)
	var chains []Chain
	for name, stages := range byName {
		slices.SortFunc(stages, func(a, b config.Placement) int { return cmp.Compare(a.Layers.First, b.Layers.First) })
		if covers(stages, m.Layers) {
			chains = append(chains, newChain(c, name, stages))
		}
	}
	slices.SortFunc(chains, func(a, b Chain) int { return cmp.Compare(a.Name, b.Name) })
	return chains
}

func newChain(c config.State, name string, stages []config.Placement) Chain {
	chain := Chain{Name: name, Stages: stages, Slots: math.MaxInt, Rate: math.Inf(1)}
	for _, p := range stages {
		t, _ := c.Targets.Get(p.Target)
		chain.Slots = min(chain.Slots, t.Slots)
		chain.Rate = min(chain.Rate, t.Speed/float64(p.Layers.Len()))
	}
	return chain
}

func covers(stages []config.Placement, layers int) bool {
	next := 0
	for _, p := range stages {
		if p.Layers.First != next {
			return false
		}
		next = p.Layers.Last
	}
	return next == layers
}

// use is a model's version that some pipeline needs.
type use struct {
	model   config.Model
	version string
}

// Changes returns the changes of placement that the configuration calls for.
func Changes(c config.State) []config.Change {
	p := planner{config: c, free: make(map[string]bool)}
	p.keepWhole()
	uses := p.uses()
	for i, u := range uses {
		placed := p.placeUse(u, len(uses)-i)
		if !placed && p.count(u) == 0 && p.takeChain(uses) {
			p.placeUse(u, 1)
		}
	}
	p.clearFree()
	return p.changes
}

// clearFree takes the placement of engines whose chain is gone, so that no
// chain of a later plan is mixed up with it.
func (p *planner) clearFree() {
	for _, name := range slices.Sorted(maps.Keys(p.free)) {
		if p.free[name] && p.config.Placements.Has(name) {
			p.changes = append(p.changes, config.Change{Unplace: name})
		}
	}
}

type planner struct {
	config  config.State
	changes []config.Change
	// free holds the engines that may be given something else.
	free map[string]bool
	// taken says that a chain that works has been taken apart already. That
	// happens to one at a time, and only while all engines are ready, so that a
	// change of version rolls over the chains without losing capacity.
	taken bool
}

// settled reports whether every available engine holds what it was given.
func (p *planner) settled() bool {
	for _, placed := range p.config.Placements.Items {
		if t, ok := p.config.Targets.Get(placed.Target); ok && t.Available() && !placed.Ready {
			return false
		}
	}
	return true
}

// takeOne reports whether a chain that works may be taken apart now.
func (p *planner) takeOne() bool {
	if p.taken || !p.settled() {
		return false
	}
	p.taken = true
	return true
}

// takeChain frees the engines of a chain of the use that has most of them, for
// a use that has none.
func (p *planner) takeChain(uses []use) bool {
	var richest use
	most := 1
	for _, u := range uses {
		if count := p.count(u); count > most {
			richest, most = u, count
		}
	}
	if most == 1 || !p.takeOne() {
		return false
	}
	name := ""
	for _, placed := range p.config.Placements.Sorted() {
		if placed.Model == richest.model.Name && placed.Version == richest.version {
			name = max(name, placed.Chain)
		}
	}
	for _, placed := range p.config.Placements.Sorted() {
		if t, ok := p.config.Targets.Get(placed.Target); ok && t.Available() && placed.Chain == name {
			p.free[placed.Target] = true
		}
	}
	return true
}

// uses returns what pipelines need, in a fixed order.
func (p *planner) uses() []use {
	var uses []use
	for _, pipeline := range p.config.Pipelines.Sorted() {
		m, _ := p.config.Models.Get(pipeline.Model)
		u := use{model: m, version: pipeline.Version}
		known := slices.ContainsFunc(uses, func(v use) bool { return v.model.Name == m.Name && v.version == u.version })
		if !known {
			uses = append(uses, u)
		}
	}
	// The use with the fewest chains goes first, so that a version that is
	// new gets engines before others get more.
	slices.SortStableFunc(uses, func(a, b use) int {
		return cmp.Compare(p.count(a), p.count(b))
	})
	return uses
}

func (p *planner) count(u use) int {
	names := make(map[string]bool)
	for _, placed := range p.config.Placements.Items {
		if placed.Model == u.model.Name && placed.Version == u.version {
			names[placed.Chain] = true
		}
	}
	return len(names)
}

// keepWhole finds the engines that are free: those that hold nothing, and
// those of chains that nobody wants or that lost a stage for good. A chain that
// lost a stage is first mended with an engine that holds nothing, so that what
// works is not moved. One whose stage is only being drained is left to its
// streams when it can't be mended.
func (p *planner) keepWhole() {
	chains := make(map[string][]config.Placement)
	for _, placed := range p.config.Placements.Sorted() {
		chains[placed.Chain] = append(chains[placed.Chain], placed)
	}
	for _, t := range p.config.Targets.Sorted() {
		if t.IsEngine() && t.Available() && !p.config.Placements.Has(t.Name) {
			p.free[t.Name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(chains)) {
		p.keepChain(chains[name])
	}
}

func (p *planner) keepChain(stages []config.Placement) {
	present, lost := p.divide(stages)
	m, ok := p.config.Models.Get(stages[0].Model)
	if !p.wanted(stages[0]) && p.modelWanted(stages[0]) && len(lost) == 0 && !p.takeOne() {
		// It serves on with its old version until its turn comes.
		return
	}
	if ok && p.wanted(stages[0]) {
		if p.mend(stages[0], present, lost, gaps(present, m.Layers)) {
			return
		}
		if slices.ContainsFunc(lost, p.drains) {
			return
		}
	}
	for _, s := range present {
		p.free[s.Target] = true
	}
}

// divide parts the stages whose engines are available from the others.
func (p *planner) divide(stages []config.Placement) (present, lost []config.Placement) {
	for _, s := range stages {
		if t, ok := p.config.Targets.Get(s.Target); ok && t.Available() {
			present = append(present, s)
			continue
		}
		lost = append(lost, s)
	}
	slices.SortFunc(present, func(a, b config.Placement) int { return cmp.Compare(a.Layers.First, b.Layers.First) })
	return present, lost
}

// drains reports whether a stage that is not available still runs its streams.
func (p *planner) drains(s config.Placement) bool {
	t, ok := p.config.Targets.Get(s.Target)
	return ok && !t.Down
}

// mend puts engines that hold nothing in the place of lost stages. It reports
// whether the chain is whole then.
func (p *planner) mend(like config.Placement, present, lost []config.Placement, missing []config.Range) bool {
	var spares []string
	for _, r := range missing {
		spare, ok := p.spare(r.Len(), spares)
		if !ok {
			return false
		}
		spares = append(spares, spare)
	}
	if len(missing) == 0 && !covers(present, present[len(present)-1].Layers.Last) {
		return false
	}
	for _, s := range lost {
		p.changes = append(p.changes, config.Change{Unplace: s.Target})
	}
	for i, r := range missing {
		p.free[spares[i]] = false
		next := config.Placement{Target: spares[i], Chain: like.Chain, Model: like.Model, Version: like.Version, Layers: r}
		p.changes = append(p.changes, config.Change{Place: &next})
	}
	return true
}

// spare returns the fastest engine that holds nothing and has the memory.
func (p *planner) spare(layers int, taken []string) (string, bool) {
	var best config.Target
	for _, t := range p.config.Targets.Sorted() {
		if !p.free[t.Name] || t.Memory < layers || slices.Contains(taken, t.Name) || p.config.Placements.Has(t.Name) {
			continue
		}
		if t.Speed > best.Speed {
			best = t
		}
	}
	return best.Name, best.Name != ""
}

// gaps returns the ranges of layers that sorted stages leave out.
func gaps(stages []config.Placement, layers int) []config.Range {
	var missing []config.Range
	next := 0
	for _, s := range stages {
		if s.Layers.First > next {
			missing = append(missing, config.Range{First: next, Last: s.Layers.First})
		}
		next = s.Layers.Last
	}
	if next < layers {
		missing = append(missing, config.Range{First: next, Last: layers})
	}
	return missing
}

func (p *planner) wanted(s config.Placement) bool {
	for _, pipeline := range p.config.Pipelines.Items {
		if pipeline.Model == s.Model && pipeline.Version == s.Version {
			return true
		}
	}
	return false
}

func (p *planner) modelWanted(s config.Placement) bool {
	for _, pipeline := range p.config.Pipelines.Items {
		if pipeline.Model == s.Model {
			return true
		}
	}
	return false
}

// placeUse makes chains for one use out of the free engines. With others still
// to place it takes its part of them only. It reports whether it made any.
func (p *planner) placeUse(u use, sharers int) bool {
	chains := p.group(u.model.Layers, p.freeStages())
	take := (len(chains) + sharers - 1) / sharers
	for _, stages := range chains[:take] {
		p.placeChain(u, stages)
	}
	return take > 0
}

func (p *planner) placeChain(u use, stages []Stage) {
	ranges := Split(u.model.Layers, stages)
	name := p.chainName(u, stages)
	for i, s := range stages {
		p.free[s.Target] = false
		if ranges[i].Len() == 0 {
			continue
		}
		next := config.Placement{Target: s.Target, Chain: name, Model: u.model.Name, Version: u.version, Layers: ranges[i]}
		present, ok := p.config.Placements.Get(s.Target)
		if !ok || !present.Holds(next) {
			p.changes = append(p.changes, config.Change{Place: &next})
		}
	}
}

// chainName names a chain after its first engine, which is in no other.
func (p *planner) chainName(u use, stages []Stage) string {
	return fmt.Sprintf("%s@%s/%s", u.model.Name, u.version, stages[0].Target)
}

// hallStages is the free engines of one hall, the fastest first.
type hallStages struct {
	hall   string
	stages []Stage
}

func (p *planner) freeStages() []hallStages {
	var halls []hallStages
	for _, t := range p.config.Targets.Sorted() {
		if !p.free[t.Name] {
			continue
		}
		i := slices.IndexFunc(halls, func(h hallStages) bool { return h.hall == t.Hall })
		if i < 0 {
			halls = append(halls, hallStages{hall: t.Hall})
			i = len(halls) - 1
		}
		halls[i].stages = append(halls[i].stages, Stage{Target: t.Name, Speed: t.Speed, Memory: t.Memory})
	}
	slices.SortFunc(halls, func(a, b hallStages) int { return cmp.Compare(a.hall, b.hall) })
	return halls
}

// group makes chains inside halls, and one chain after another of what is left
// over in all of them.
func (p *planner) group(layers int, halls []hallStages) [][]Stage {
	var chains [][]Stage
	var left []Stage
	for _, h := range halls {
		made, rest := deal(layers, h.stages)
		chains = append(chains, made...)
		left = append(left, rest...)
	}
	made, _ := deal(layers, left)
	return append(chains, made...)
}

// deal makes as many chains as the memory allows, each of engines that are
// near in speed, since the slowest decides.
func deal(layers int, stages []Stage) (chains [][]Stage, left []Stage) {
	sorted := slices.Clone(stages)
	slices.SortStableFunc(sorted, func(a, b Stage) int { return cmp.Compare(b.Speed, a.Speed) })
	var chain []Stage
	memory := 0
	for _, s := range sorted {
		chain = append(chain, s)
		memory += s.Memory
		if memory >= layers {
			chains = append(chains, chain)
			chain, memory = nil, 0
		}
	}
	return chains, chain
}

// Bound returns the tokens a second that no placement can exceed: all engines
// at work all the time.
func Bound(layers int, stages []Stage) float64 {
	var speed float64
	for _, s := range stages {
		speed += s.Speed
	}
	return speed / float64(layers)
}
