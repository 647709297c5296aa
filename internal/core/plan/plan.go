// Package plan decides which engine holds which layers. It is a pure function
// of the configuration.
//
// The problem: a model of L layers is split into contiguous ranges, one for each
// engine of a chain, and the engines differ in speed and memory. The throughput
// of a chain is that of its slowest stage, which is the engine's speed divided
// by its number of layers. Links between halls add latency to each token, so a
// chain stays within one hall where possible.
//
// The algorithm: engines are taken hall by hall, the fastest first, and grouped
// into as many chains as their memory allows. The layers of each chain are then
// split in proportion to speed within memory, for which Split is exact. Healthy
// placements are not moved: only chains that lost an engine, and free engines,
// are planned again.
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

// Stage is one engine with its capacity.
type Stage struct {
	Target string
	// Speed is in layers times tokens per second; Memory is in layers.
	Speed  float64
	Memory int
}

// Split divides layers among stages, in their order, so that the rate of the
// slowest stage is maximal. It returns nil when the memory does not suffice.
//
// A rate r is feasible when the stages together can hold all layers, each at
// most its speed divided by r. The best rate is some stage's speed divided by a
// whole number of layers, so trying all of these finds the optimum.
func Split(layers int, stages []Stage) []config.Range {
	rate := bestRate(layers, stages)
	if rate == 0 {
		return nil
	}
	ranges := make([]config.Range, 0, len(stages))
	first := 0
	for _, s := range stages {
		last := min(layers, first+layersAt(s, rate))
		ranges = append(ranges, config.Range{First: first, Last: last})
		first = last
	}
	return ranges
}

// rateTolerance absorbs rounding when a speed is divided by a rate derived from it.
const rateTolerance = 1e-9

// layersAt returns the number of layers that a stage can hold at a rate.
func layersAt(s Stage, rate float64) int {
	return min(s.Memory, int(math.Floor(s.Speed/rate+rateTolerance)))
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
		total += layersAt(s, rate)
	}
	return total
}

// Chain is a sequence of engines that together hold a whole model and are ready.
type Chain struct {
	Name   string
	Stages []config.Placement
	// Slots is the lowest number of streams that any of its stages serves.
	Slots int
	// Rate is in tokens per second over all slots.
	Rate float64
}

// Chains returns the chains of a model version that are complete, ready and
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

// modelVersion is a model version that some pipeline needs.
type modelVersion struct {
	model   config.Model
	version string
}

// Changes returns the placement changes that the configuration requires.
func Changes(c config.State) []config.Change {
	p := planner{config: c, free: make(map[string]bool)}
	p.findFree()
	uses := p.versions()
	for i, u := range uses {
		placed := p.placeVersion(u, len(uses)-i)
		if !placed && p.count(u) == 0 && p.dismantleChain(uses) {
			p.placeVersion(u, 1)
		}
	}
	p.unplaceFree()
	return p.changes
}

// unplaceFree removes the placements of engines that are still free, so that a
// later plan does not mix them with another chain.
func (p *planner) unplaceFree() {
	for _, name := range slices.Sorted(maps.Keys(p.free)) {
		if p.free[name] && p.config.Placements.Has(name) {
			p.changes = append(p.changes, config.Change{Unplace: name})
		}
	}
}

type planner struct {
	config  config.State
	changes []config.Change
	// free holds the engines that may be assigned other layers.
	free map[string]bool
	// dismantled is set when a working chain has already been dismantled in this
	// plan. One chain is dismantled at a time, and only while all engines are
	// ready, so that a version rolls out without loss of capacity.
	dismantled bool
}

// allReady reports whether every available engine holds its placement.
func (p *planner) allReady() bool {
	for _, placed := range p.config.Placements.Items {
		if t, ok := p.config.Targets.Get(placed.Target); ok && t.Available() && !placed.Ready {
			return false
		}
	}
	return true
}

// mayDismantle reports whether a working chain may be dismantled now. It allows
// one chain per plan.
func (p *planner) mayDismantle() bool {
	if p.dismantled || !p.allReady() {
		return false
	}
	p.dismantled = true
	return true
}

// dismantleChain frees the engines of one chain of the version with the most
// chains, for a version that has none. It reports whether it did.
func (p *planner) dismantleChain(uses []modelVersion) bool {
	var largest modelVersion
	most := 1
	for _, u := range uses {
		if count := p.count(u); count > most {
			largest, most = u, count
		}
	}
	if most == 1 || !p.mayDismantle() {
		return false
	}
	name := ""
	for _, placed := range p.config.Placements.Sorted() {
		if placed.Model == largest.model.Name && placed.Version == largest.version {
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

// versions returns the model versions that pipelines need, in a fixed order.
func (p *planner) versions() []modelVersion {
	var uses []modelVersion
	for _, pipeline := range p.config.Pipelines.Sorted() {
		m, _ := p.config.Models.Get(pipeline.Model)
		u := modelVersion{model: m, version: pipeline.Version}
		known := slices.ContainsFunc(uses, func(v modelVersion) bool { return v.model.Name == m.Name && v.version == u.version })
		if !known {
			uses = append(uses, u)
		}
	}
	// The version with the fewest chains is placed first, so that a new one
	// gets engines before others get more.
	slices.SortStableFunc(uses, func(a, b modelVersion) int {
		return cmp.Compare(p.count(a), p.count(b))
	})
	return uses
}

func (p *planner) count(u modelVersion) int {
	names := make(map[string]bool)
	for _, placed := range p.config.Placements.Items {
		if placed.Model == u.model.Name && placed.Version == u.version {
			names[placed.Chain] = true
		}
	}
	return len(names)
}

// findFree finds the free engines: those that hold nothing, and those of chains
// that no pipeline uses or that can't be repaired. A chain that lost a stage is
// first repaired with an engine that holds nothing, so that healthy placements
// are not moved. If it can't be repaired and its stage is only draining, it is
// left to its streams.
func (p *planner) findFree() {
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
		p.reviewChain(chains[name])
	}
}

func (p *planner) reviewChain(stages []config.Placement) {
	present, lost := p.splitStages(stages)
	m, ok := p.config.Models.Get(stages[0].Model)
	if !p.wanted(stages[0]) && p.modelWanted(stages[0]) && len(lost) == 0 && !p.mayDismantle() {
		// It continues to serve its old version until it is replaced.
		return
	}
	if ok && p.wanted(stages[0]) {
		if p.repairChain(stages[0], present, lost, gaps(present, m.Layers)) {
			return
		}
		if slices.ContainsFunc(lost, p.isDraining) {
			return
		}
	}
	for _, s := range present {
		p.free[s.Target] = true
	}
}

// splitStages separates the stages with available engines from the others.
func (p *planner) splitStages(stages []config.Placement) (present, lost []config.Placement) {
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

// isDraining reports whether a stage that is not available still runs its streams.
func (p *planner) isDraining(s config.Placement) bool {
	t, ok := p.config.Targets.Get(s.Target)
	return ok && !t.Down
}

// repairChain replaces lost stages by engines that hold nothing. It reports
// whether the chain is complete afterwards.
func (p *planner) repairChain(template config.Placement, present, lost []config.Placement, missing []config.Range) bool {
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
		next := config.Placement{Target: spares[i], Chain: template.Chain, Model: template.Model, Version: template.Version, Layers: r}
		p.changes = append(p.changes, config.Change{Place: &next})
	}
	return true
}

// spare returns the fastest engine that holds nothing and has enough memory.
func (p *planner) spare(layers int, chosen []string) (string, bool) {
	var best config.Target
	for _, t := range p.config.Targets.Sorted() {
		if !p.free[t.Name] || t.Memory < layers || slices.Contains(chosen, t.Name) || p.config.Placements.Has(t.Name) {
			continue
		}
		if t.Speed > best.Speed {
			best = t
		}
	}
	return best.Name, best.Name != ""
}

// gaps returns the ranges of layers that the sorted stages don't cover.
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

// placeVersion makes chains for one version from the free engines, an even part
// of the possible chains when others are still to be placed. It reports whether
// it made any.
func (p *planner) placeVersion(u modelVersion, remaining int) bool {
	chains := p.groupChains(u.model.Layers, p.freeStages())
	take := (len(chains) + remaining - 1) / remaining
	for _, stages := range chains[:take] {
		p.placeChain(u, stages)
	}
	return take > 0
}

func (p *planner) placeChain(u modelVersion, stages []Stage) {
	ranges := Split(u.model.Layers, stages)
	name := p.chainName(u, stages)
	for i, s := range stages {
		p.free[s.Target] = false
		if ranges[i].Len() == 0 {
			continue
		}
		next := config.Placement{Target: s.Target, Chain: name, Model: u.model.Name, Version: u.version, Layers: ranges[i]}
		present, ok := p.config.Placements.Get(s.Target)
		if !ok || !present.SameLoad(next) {
			p.changes = append(p.changes, config.Change{Place: &next})
		}
	}
}

// chainName names a chain after its first engine, which belongs to no other.
func (p *planner) chainName(u modelVersion, stages []Stage) string {
	return fmt.Sprintf("%s@%s/%s", u.model.Name, u.version, stages[0].Target)
}

// hallStages holds the free engines of one hall.
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

// groupChains makes chains within halls, and further chains from the engines that are
// left over in all halls.
func (p *planner) groupChains(layers int, halls []hallStages) [][]Stage {
	var chains [][]Stage
	var left []Stage
	for _, h := range halls {
		made, rest := buildChains(layers, h.stages)
		chains = append(chains, made...)
		left = append(left, rest...)
	}
	made, _ := buildChains(layers, left)
	return append(chains, made...)
}

// buildChains makes as many chains as the memory allows, each from engines of
// similar speed, since the slowest one bounds the chain.
func buildChains(layers int, stages []Stage) (chains [][]Stage, left []Stage) {
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

// Bound returns the upper bound on tokens per second of any placement, with all
// engines fully utilized.
func Bound(layers int, stages []Stage) float64 {
	var speed float64
	for _, s := range stages {
		speed += s.Speed
	}
	return speed / float64(layers)
}
