package core

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
)

// pool is a set of interchangeable routes and the work queued for them: the
// chains of a model version, or the runners of a plain service.
type pool struct {
	name string
	// routes holds the routes of byName; open are those with free capacity.
	routes []*route
	byName map[string]*route
	open   []*route
	// used counts the work in progress by route name. An entry can outlive its
	// route: a repaired chain returns under its old name while earlier work
	// still runs on it.
	used  map[string]int
	queue fairQueue[*queuedWork]
	// served is the rate at which work ends, in units of cost per second, as an
	// exponential mean.
	served   float64
	servedAt time.Time
	// unitTime is the time per unit of cost once work has begun, and costRatio the
	// ratio of actual to requested cost. Both are running means.
	unitTime  time.Duration
	costRatio float64
	// vmsPerRoute is the estimated number of entry VMs that use each route.
	vmsPerRoute float64
}

// route is one chain or runner of a pool.
type route struct {
	name   string
	stages []Stage
	slots  int
	// window bounds what this entry VM may have in progress on it; see window.go.
	window float64
	delay  delayMeter
	// openAt is the index in the pool's open routes, or -1.
	openAt int
}

// targetState is what this entry VM knows of a target from its own work. Keepers that didn't
// acknowledge in time are suspected in the same way, under their VM names.
type targetState struct {
	inFlight int
	// suspectUntil is when the target may get new work again after a failure.
	suspectUntil time.Time
	failures     int
	// backoffUntil is the end of the backoff that it asked this VM for.
	backoffUntil time.Time
	// report is the result of the last watch.
	report TargetReport
}

// suspectInitial is the first pause after a failure. It doubles up to suspectMax. servedHalfLife
// is the half-life of the mean rate at which work ends.
const (
	suspectInitial = 500 * time.Millisecond
	suspectMax     = 8 * time.Second
	servedHalfLife = 2 * time.Second
)

func (n *Node) target(name string) *targetState {
	t, ok := n.entry.targets[name]
	if !ok {
		t = &targetState{}
		n.entry.targets[name] = t
	}
	return t
}

func (n *Node) isSuspect(name string) bool {
	t, ok := n.entry.targets[name]
	return ok && n.now.Before(t.suspectUntil)
}

// suspect withholds new work from a target that has just failed.
func (n *Node) suspect(name string) {
	t := n.target(name)
	pause := min(suspectInitial<<min(t.failures, 8), suspectMax)
	t.failures++
	t.suspectUntil = n.now.Add(pause)
	n.note("target suspected", name)
}

func (n *Node) clearFailures(name string) {
	if t, ok := n.entry.targets[name]; ok {
		t.failures = 0
	}
}

// refreshPools derives the pools from the configuration. Routes that remain keep
// their window and delay.
func (n *Node) refreshPools() {
	c := n.entry.config
	wanted := make(map[string]bool)
	for _, p := range c.Pipelines.Sorted() {
		m, _ := c.Models.Get(p.Model)
		for _, p.Version = range m.Versions {
			name := poolOf(p)
			if wanted[name] {
				continue
			}
			wanted[name] = true
			n.setRoutes(name, chainRoutes(c, p))
		}
	}
	for _, s := range c.Services.Sorted() {
		wanted[s.Name] = true
		n.setRoutes(s.Name, runnerRoutes(c, s.Name))
	}
	for name, p := range n.entry.pools {
		if !wanted[name] && p.queue.length == 0 && len(p.used) == 0 {
			delete(n.entry.pools, name)
		}
	}
	for _, name := range n.poolNames() {
		n.startQueued(n.entry.pools[name])
	}
}

// servingVersion returns the version that a new stream uses: the pipeline's own,
// or, during the rollout to it, another one with free capacity when the
// pipeline's has none.
func (n *Node) servingVersion(p config.Pipeline) string {
	wanted := p.Version
	m, _ := n.entry.config.Models.Get(p.Model)
	best, ok := n.entry.pools[poolOf(p)]
	if ok && len(best.open) > 0 {
		return wanted
	}
	for _, version := range m.Versions {
		p.Version = version
		other := n.entry.pools[poolOf(p)]
		if other == nil || len(other.routes) == 0 {
			continue
		}
		if len(other.open) > 0 || !ok || len(best.routes) == 0 {
			return version
		}
	}
	return wanted
}

func poolOf(p config.Pipeline) string { return p.Model + "@" + p.Version }

func chainRoutes(c config.State, p config.Pipeline) []*route {
	var routes []*route
	for _, chain := range plan.Chains(c, p.Model, p.Version) {
		r := &route{name: chain.Name, slots: chain.Slots}
		for _, placed := range chain.Stages {
			t, _ := c.Targets.Get(placed.Target)
			r.stages = append(r.stages, Stage{Target: t.Name, Address: t.Address, Layers: placed.Layers})
		}
		routes = append(routes, r)
	}
	return routes
}

func runnerRoutes(c config.State, service string) []*route {
	var routes []*route
	for _, t := range c.Targets.Sorted() {
		if t.Service == service && t.Available() {
			routes = append(routes, &route{name: t.Name, slots: t.Slots, stages: []Stage{{Target: t.Name, Address: t.Address}}})
		}
	}
	return routes
}

func (n *Node) setRoutes(name string, all []*route) {
	routes := n.subset(all)
	p, ok := n.entry.pools[name]
	if !ok {
		p = &pool{name: name, used: make(map[string]int), queue: newFairQueue(rankCount, (*queuedWork).isDropped), servedAt: n.now}
		n.entry.pools[name] = p
	}
	p.vmsPerRoute = n.vmsPerRoute(len(all), len(routes))
	byName := make(map[string]*route, len(routes))
	for _, r := range routes {
		r.window = p.initialWindow(r)
		if old := p.byName[r.name]; old != nil {
			r.window = min(old.window, float64(r.slots))
			r.delay = old.delay
		}
		byName[r.name] = r
	}
	p.routes, p.byName, p.open = routes, byName, nil
	for _, r := range routes {
		r.openAt = -1
		p.updateOpen(r)
	}
}

// subsetSize is the number of routes of a pool that an entry VM uses. A pool with
// fewer needs no subset; with more, each VM would connect to every target.
const subsetSize = 16

// subset returns the routes that this VM uses: the first by a hash of the VM and
// the route, so that a change of one route moves no other.
func (n *Node) subset(routes []*route) []*route {
	if len(routes) <= subsetSize {
		return routes
	}
	ranked := slices.Clone(routes)
	score := func(r *route) uint64 { return xxhash.Sum64String(string(n.settings.Self.VM) + "\x00" + r.name) }
	slices.SortFunc(ranked, func(a, b *route) int { return cmp.Compare(score(a), score(b)) })
	return ranked[:subsetSize]
}

// vmsPerRoute estimates the number of entry VMs that use each route.
func (n *Node) vmsPerRoute(all, used int) float64 {
	if all == 0 {
		return 1
	}
	return max(1, float64(len(n.entry.view))*float64(used)/float64(all))
}

// maxDraws bounds the random draws before all open routes are scanned.
const maxDraws = 4

// choose returns the better of two routes drawn at random among those with free
// capacity. With two random choices, entry VMs don't all pick the route that was
// idle in the last report. The cost does not grow with the number of routes: the
// open ones are scanned only when the draws find none that is usable.
func (n *Node) choose(p *pool, w *queuedWork) *route {
	a := n.draw(p, w)
	b := n.draw(p, w)
	if a == nil || b == nil {
		return a
	}
	if n.cost(p, b) < n.cost(p, a) {
		return b
	}
	return a
}

// draw returns a usable open route, at random if a few draws find one. It returns a route that
// uses the target to avoid only if no other is usable.
func (n *Node) draw(p *pool, w *queuedWork) *route {
	for range min(maxDraws, len(p.open)) {
		if r := p.open[n.rand.IntN(len(p.open))]; n.usable(p, r, w) && !r.uses(w.avoid) {
			return r
		}
	}
	var last *route
	for _, r := range p.open {
		if !n.usable(p, r, w) {
			continue
		}
		if !r.uses(w.avoid) {
			return r
		}
		last = r
	}
	return last
}

// usable reports whether a route may take the work. Submissions leave the last
// free place of each runner to lookups.
func (n *Node) usable(p *pool, r *route, w *queuedWork) bool {
	if n.routeSuspect(r) || n.routeBackedOff(r) || n.routeLacksPermit(r) {
		return false
	}
	return !w.isSubmission() || r.window < 2 || float64(p.used[r.name])+1 < r.window
}

// updateOpen updates the list of routes with free capacity after a change of r.
func (p *pool) updateOpen(r *route) {
	hasCapacity := float64(p.used[r.name]) < r.window
	switch {
	case hasCapacity && r.openAt < 0:
		r.openAt = len(p.open)
		p.open = append(p.open, r)
	case !hasCapacity && r.openAt >= 0:
		last := p.open[len(p.open)-1]
		p.open[r.openAt] = last
		last.openAt = r.openAt
		p.open = p.open[:len(p.open)-1]
		r.openAt = -1
	}
}

func (r *route) uses(target string) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return s.Target == target })
}

func (n *Node) routeSuspect(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return n.isSuspect(s.Target) })
}

// cost returns the share of a route's slots that would be used, plus a small
// penalty for each stage in another hall.
func (n *Node) cost(p *pool, r *route) float64 {
	cost := float64(p.used[r.name]+1) / float64(max(r.slots, 1))
	for _, s := range r.stages {
		if t, ok := n.entry.config.Targets.Get(s.Target); ok && t.Hall != n.settings.Address.Hall {
			cost += otherHallCost
		}
	}
	return cost
}

const otherHallCost = 0.01

// reserve counts one unit of work on a route and its targets.
func (n *Node) reserve(poolName, name string, stages []Stage) {
	if p, ok := n.entry.pools[poolName]; ok {
		p.use(name, 1)
	}
	for _, s := range stages {
		n.target(s.Target).inFlight++
	}
}

// release reverses reserve and starts queued work in the capacity that becomes free.
func (n *Node) release(poolName, name string, stages []Stage) {
	for _, s := range stages {
		n.target(s.Target).inFlight--
	}
	p, ok := n.entry.pools[poolName]
	if !ok {
		return
	}
	p.use(name, -1)
	n.startQueued(p)
}

// use changes the count of work in progress on a route.
func (p *pool) use(name string, change int) {
	p.used[name] += change
	if p.used[name] == 0 {
		delete(p.used, name)
	}
	if r := p.byName[name]; r != nil {
		p.updateOpen(r)
	}
}

// meanWeight is the weight of a new sample in a running mean.
const meanWeight = 0.05

// recordEnd updates the time estimates with work that has ended: its requested
// cost, its actual cost and its duration.
func (p *pool) recordEnd(requested, cost float64, took time.Duration, now time.Time) {
	elapsed := now.Sub(p.servedAt)
	p.served = p.served*decay(elapsed) + cost/servedHalfLife.Seconds()*math.Ln2
	p.servedAt = now
	if cost <= 0 || requested <= 0 {
		return
	}
	unit := time.Duration(float64(took) / cost)
	if p.unitTime == 0 {
		p.unitTime, p.costRatio = unit, cost/requested
		return
	}
	p.unitTime += time.Duration(meanWeight * float64(unit-p.unitTime))
	p.costRatio += meanWeight * (cost/requested - p.costRatio)
}

// serviceTime estimates how long work of the given cost takes once it has begun.
func (p *pool) serviceTime(cost float64) time.Duration {
	return time.Duration(cost * p.costRatio * float64(p.unitTime))
}

func decay(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / servedHalfLife.Seconds())
}

// waitTime estimates how long it takes to serve the cost ahead. It is 0 while
// the service rate is unknown.
func (p *pool) waitTime(now time.Time, ahead float64) time.Duration {
	rate := p.served * decay(now.Sub(p.servedAt))
	if rate <= 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * p.costRatio / rate * float64(time.Second))
}

// queued returns the total cost of the queued work.
func (p *pool) queued() float64 {
	var cost float64
	for i := range p.queue.classes {
		cost += p.queue.classes[i].cost
	}
	return cost
}

// load returns the used share of this VM's windows, in thousandths.
func (n *Node) load() int {
	used, capacity := 0, 0.0
	for _, p := range n.entry.pools {
		for _, r := range p.routes {
			used += p.used[r.name]
			capacity += r.window
		}
	}
	if capacity == 0 {
		return 0
	}
	return int(float64(used) / capacity * 1000)
}

// rendezvous orders VMs by their hash with a key (rendezvous hashing). VMs with
// the same list get the same order, and the loss of one moves only its own keys.
func rendezvous(key string, views []EntryView, count int) []VMName {
	type scored struct {
		vm    VMName
		score uint64
	}
	best := make([]scored, 0, count+1)
	for _, v := range views {
		s := scored{vm: v.Address.VM, score: xxhash.Sum64String(key + "\x00" + string(v.Address.VM))}
		at := len(best)
		for at > 0 && best[at-1].score < s.score {
			at--
		}
		if at < count {
			best = slices.Insert(best, at, s)
			best = best[:min(len(best), count)]
		}
	}
	names := make([]VMName, len(best))
	for i, s := range best {
		names[i] = s.vm
	}
	return names
}

func holderHash(id ReplicaID) uint32 {
	return uint32(xxhash.Sum64String(id.String()))
}

func requestKey(organisation, key string) RequestID {
	return RequestID(organisation + "/" + strconv.Quote(key))
}
