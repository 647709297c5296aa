package relay

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file picks the path of one request over model engines.
//
// Problem: engines hold ranges of layers; a path is any sequence of engines that
// runs each layer once, in order. An engine may run a part of what it holds, so that
// ranges that overlap join too. The request should end soon, and no engine may run out
// of memory, for then it drops a request.
//
// Algorithm: the shortest path over layer positions. An engine is an edge between any
// two positions within its range at which the range of some engine begins or ends; its
// length is the time that it takes for this request, as the cost model of the service
// tells: reading the prompt, and for each token of the answer one step at the present
// load and the way to the next engine. Engines without memory for the layers between
// two positions have no edge there. Since edges only lead forward, one pass over the
// positions finds the path.
//
// Loads are what this VM has under way, which is exact, and what the others had
// a moment ago. The hall is drawn at random, so that VMs with the same picture do
// not choose alike.
//
// Invariants: a path runs each layer once, in order; it holds no engine twice.

const (
	// memoryUse is the part of an engine's memory that requests are given; the
	// rest is for answers that get longer than expected and for what other VMs
	// have begun since they last told.
	memoryUse = 0.94
	// crowd is how much a full engine counts above an empty one. An answer is in
	// time by its first event and its pauses, not by its end, so that slow engines
	// serve as well as fast ones until prompts queue up in front of those.
	crowd = 3
	// unreadWeight is how much the wait behind prompts counts above the rest of a
	// request's time: it is what makes a first event late, and the rest does not.
	unreadWeight = 12
	// pipeCaution multiplies the time that a request takes in a pipe between two
	// halls: a pipe that is not yet full is, once others choose it too, since a prompt
	// takes a pipe for some 20 ms and each token waits behind it.
	pipeCaution = 30
	// hallBias is how strongly cheap halls are preferred: with 2, one at half the
	// cost of another gets four times as many requests.
	hallBias = 2.0
	// awayCost multiplies the cost of other halls than the VM's own: the events of an
	// answer then cross between halls, at 8 KB a request.
	awayCost = 2.0
	// suspectCost multiplies the cost of engines under suspicion, which are used
	// only where no path goes without them.
	suspectCost = 4
)

// arrival is the best way found to a layer position.
type arrival struct {
	cost  float64
	last  *target
	first *target
	from  int
	pass  passTimes
	ok    bool
}

// candidate is an engine that a path may run over, with what it would cost. Costs are
// in nanoseconds.
type candidate struct {
	*target
	// perLayer and perStage add up to the cost of a stage: a part for each layer that
	// it runs, and one for the wait behind prompts.
	perLayer float64
	perStage float64
	// pass is the time of a pass over one layer.
	pass passTimes
	// layersMost is the layers that it has memory for, for this request.
	layersMost int
	// mayBegin says that it has a slot and a connection for one request more.
	mayBegin bool
	// suspect says that it is used only where no path goes without it.
	suspect bool
}

func (r *Router) choosePath(s *Service, a Ask, now time.Time) (Path, bool) {
	for _, suspects := range []bool{false, true} {
		engines := r.usable(s.Name, a, now, suspects)
		slices.SortFunc(engines, func(x, y *target) int {
			return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.ID, y.ID))
		})
		if path, ok := r.inOneHall(s, a, engines, now); ok {
			return path, true
		}
		if path, _, ok := r.shortest(s, a, engines, now); ok && r.inTime(a, path) {
			return path, true
		}
	}
	return Path{}, false
}

// inOneHall draws among the best paths that stay in one hall: each with a
// probability that falls with its cost. Were the best one always taken, all VMs
// would take the same one until the next report of their loads, 0.4 s later: on the
// users' grown fleet halls filled up in turn, for a second each.
func (r *Router) inOneHall(s *Service, a Ask, engines []*target, now time.Time) (Path, bool) {
	byHall := make(map[string][]*target)
	for _, t := range engines {
		byHall[t.Hall] = append(byHall[t.Hall], t)
	}
	var best Path
	found := false
	least := 0.0
	for _, hall := range slices.Sorted(maps.Keys(byHall)) {
		path, cost, ok := r.shortest(s, a, byHall[hall], now)
		if !ok || !r.inTime(a, path) {
			continue
		}
		// The least of costs that are each multiplied by a power of an
		// exponential variate falls on one with a probability proportional to
		// its cost to the power of -hallBias.
		drawn := float64(cost)
		if r.settings.Policy.Has(HallDraw) {
			drawn *= math.Pow(r.rand.ExpFloat64(), 1/hallBias)
		}
		if hall != r.settings.Hall && r.settings.Policy.Has(OwnHall) {
			drawn *= awayCost
		}
		if !found || drawn < least {
			best, least, found = path, drawn, true
		}
	}
	return best, found
}

// shortest returns the path of the least cost over engines.
func (r *Router) shortest(s *Service, a Ask, engines []*target, now time.Time) (Path, time.Duration, bool) {
	e := s.Engine
	candidates := r.candidates(s, a, engines, now)
	arrivals := make([]arrival, e.Layers+1)
	arrivals[0].ok = true
	whole := config.Range{Last: e.Layers}
	r.span(e, a, candidates, whole, arrivals)
	if !arrivals[e.Layers].ok {
		return Path{}, 0, false
	}
	stages, changes := stagesTo(arrivals, whole)
	if changes > 0 && !a.Begun && r.changing+changes > r.changesMost(e) {
		return Path{}, 0, false
	}
	return Path{Service: s.Name, Stages: stages, tokens: a.held(), prompt: a.Prompt, changes: changes, pass: arrivals[e.Layers].pass}, time.Duration(arrivals[e.Layers].cost), true
}

// span finds the best ways from the beginning of some layers, which is arrivals, to each
// position within them.
func (r *Router) span(e *Engine, a Ask, candidates []candidate, layers config.Range, arrivals []arrival) {
	ends := bordersOf(e, candidates, layers)
	for _, at := range ends {
		if !arrivals[at].ok {
			continue
		}
		for i := range candidates {
			r.extend(e, a, &candidates[i], at, ends, arrivals)
		}
	}
}

// bordersOf returns the positions at which a path may pass from one engine to the
// next within some layers, sorted: where the layers of an engine begin or end.
func bordersOf(e *Engine, candidates []candidate, layers config.Range) []int {
	is := make([]bool, e.Layers+1)
	is[layers.First], is[layers.Last] = true, true
	for i := range candidates {
		is[candidates[i].Layers.First] = true
		is[candidates[i].Layers.Last] = true
	}
	var borders []int
	for at := layers.First; at <= layers.Last; at++ {
		if is[at] {
			borders = append(borders, at)
		}
	}
	return borders
}

// candidates returns the engines that have room for at least one layer of a request.
func (r *Router) candidates(s *Service, a Ask, engines []*target, now time.Time) []candidate {
	e := s.Engine
	out := make([]candidate, 0, len(engines))
	for _, t := range engines {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok || !e.holds(t.Layers) {
			continue
		}
		kind = kind.Slowed(t.slowdown(now))
		c := r.costsOf(e, kind, a, t)
		c.layersMost = r.layersMost(e, kind, a, t)
		c.mayBegin = a.mayBegin(t.ID) && r.takesMore(t, a, now) && r.load(t).Requests < e.Slots && t.own.Requests < r.connLimit(s)
		c.suspect = t.silent || now.Before(t.suspectUntil)
		if c.layersMost > 0 {
			out = append(out, c)
		}
	}
	return out
}

const (
	// pipeUse is the part of the pipes that new requests may fill: in a full one
	// each event of a stream waits behind the prompts of others.
	pipeUse = 0.5
	// usualTime is how long a request is under way on a path that changes halls:
	// an answer of 200 tokens at 15 ms each.
	usualTime = 3 * time.Second
	// pipesAtLeast is the number of pipes between the halls of a deployment of
	// three halls, the smallest that has more than one.
	pipesAtLeast = 3
)

// changesMost is this VM's part of the changes of halls that the pipes bear.
func (r *Router) changesMost(e *Engine) int {
	if e.PipeBits <= 0 {
		return r.changing + len(r.targets)
	}
	bits := float64(e.UsualPrompt+e.UsualAnswer) * e.HandOnBytes * 8
	most := pipesAtLeast * pipeUse * e.PipeBits / bits * usualTime.Seconds()
	return max(int(most/float64(r.vms)), 1)
}

// extend tries an engine as the next stage after the best way to a position, up to
// each position that it holds the layers to.
func (r *Router) extend(e *Engine, a Ask, c *candidate, at int, ends []int, arrivals []arrival) {
	if at < c.Layers.First || at >= c.Layers.Last || at == 0 && !c.mayBegin {
		return
	}
	before := arrivals[at]
	next := arrival{last: c.target, first: before.first, from: at, ok: true}
	way := 0.0
	if before.last != nil {
		way = float64(time.Duration(a.answer+1)*e.delay(before.last.Hall, c.Hall) + r.pipeCost(e, before.last, c.target, a))
	} else {
		next.first = c.target
		way = float64(e.delay(r.settings.Hall, c.Hall))
	}
	for _, end := range ends {
		if end <= at || end > c.Layers.Last || end-at > c.layersMost {
			continue
		}
		if end-at < c.Layers.Len() && !r.settings.Policy.Has(PartRanges) {
			continue
		}
		next.pass = before.pass.plus(c.pass.times(end - at))
		next.cost = before.cost + way + c.perStage + c.perLayer*float64(end-at)
		if end == e.Layers {
			next.cost += float64(time.Duration(a.answer) * e.delay(c.Hall, next.first.Hall))
		}
		if c.suspect {
			next.cost *= suspectCost
		}
		if present := &arrivals[end]; !present.ok || next.cost < present.cost {
			*present = next
		}
	}
}

// partOf returns a number from 0 to 1 that this VM has drawn for a target, once: drawn for
// each request, a VM without room would have it after some requests more.
func (r *Router) partOf(t *target) float64 {
	return rand.New(rand.NewPCG(r.settings.Seed, uint64(t.key))).Float64()
}

// layersMost returns the layers that a target has memory for, for one request more. A VM
// that takes all others to do as it does admits at random, so that all of them together admit
// about as many as there is room for.
func (r *Router) layersMost(e *Engine, kind Accelerator, a Ask, t *target) int {
	held := t.Layers.Len()
	room := memoryUse*float64(e.tokenLayers(kind, held)) - float64(r.load(t).Tokens)
	need := float64(max(a.held(), 1))
	sampled := !r.othersKnown && r.settings.Policy.Has(StartSampling)
	if sampled {
		need *= r.partOf(t) * float64(r.vms)
	}
	if room < 0 {
		return 0
	}
	if need*float64(held) <= room {
		return held
	}
	if sampled {
		// Parts would add up to more than there is room for: all VMs have some.
		return 0
	}
	return int(room / need)
}

// costsOf returns a target as a candidate, with the time that it takes for the whole
// of a request.
func (r *Router) costsOf(e *Engine, kind Accelerator, a Ask, t *target) candidate {
	load := r.load(t)
	layers := float64(t.Layers.Len())
	share := layers / float64(e.Layers)
	context := float64(load.Tokens)/layers + float64(a.Prompt)
	step := float64(e.StepBase) + float64(e.StepPerRequest)*float64(load.Requests+1) + float64(e.StepPerKilotoken)*context/1000
	read := float64(time.Second) * float64(a.Prompt) / max(e.ReadPerSecond, 1) * kind.Read
	use := (float64(load.Tokens) + float64(a.held())*layers) / float64(max(e.tokenLayers(kind, t.Layers.Len()), 1))
	weight := r.weightOf(t, use)
	c := candidate{
		target:   t,
		perLayer: weight * (read + float64(a.answer)*step*kind.Pace) / float64(e.Layers),
		pass:     e.passOf(kind, load, t.Layers.Len()),
	}
	if r.settings.Policy.Has(UnreadPrompts) {
		c.perStage = weight * unreadWeight * float64(load.Unread) / e.readRate(kind, load, share)
	}
	return c
}

// weightOf returns what the time at a target is multiplied by. Use is the part of its
// memory that is taken.
func (r *Router) weightOf(t *target, use float64) float64 {
	p := r.settings.Policy
	weight := 1.0
	if p.Has(Crowding) {
		weight += crowd * use * use
	}
	if p.Has(FailureMean) {
		weight += t.failures * failurePenalty
	}
	return weight
}

// readRate is the prompt tokens that an engine reads in a nanosecond beside its
// writers: at most a chunk in each pass over all of them.
func (e *Engine) readRate(kind Accelerator, load Work, share float64) float64 {
	context := float64(load.Tokens) / (share * float64(e.Layers))
	step := float64(e.StepBase) + float64(e.StepPerRequest)*float64(load.Requests) + float64(e.StepPerKilotoken)*context/1000
	pass := share * (float64(e.Stride)*step*kind.Pace + float64(time.Second)*float64(e.Chunk)/max(e.ReadPerSecond, 1)*kind.Read)
	return float64(max(e.Chunk, 1)) / max(pass, 1)
}

// pipeCost is what a change of halls counts for.
func (r *Router) pipeCost(e *Engine, from, to *target, a Ask) time.Duration {
	if from.Hall == to.Hall || e.PipeBits <= 0 {
		return 0
	}
	bits := float64(a.Prompt+a.answer) * e.HandOnBytes * 8
	once := bits / e.PipeBits * float64(time.Second)
	if !r.settings.Policy.Has(PipeCaution) {
		return time.Duration(once)
	}
	return time.Duration(pipeCaution * once)
}

// stagesTo follows the best way over some layers back to its beginning, and counts
// the changes of halls on it. An engine that the way leaves and comes back to runs the
// layers between itself: it holds them, and a path names no engine twice.
func stagesTo(arrivals []arrival, layers config.Range) (stages []Stage, changes int) {
	var hops []arrival
	var ends []int
	for at := layers.Last; at > layers.First; {
		hops = append(hops, arrivals[at])
		ends = append(ends, at)
		at = arrivals[at].from
	}
	slices.Reverse(hops)
	slices.Reverse(ends)
	for i := 0; i < len(hops); i++ {
		t, first := hops[i].last, hops[i].from
		for j := len(hops) - 1; j > i; j-- {
			if hops[j].last == t {
				i = j
				break
			}
		}
		if len(stages) > 0 && stages[len(stages)-1].hall != t.Hall {
			changes++
		}
		stages = append(stages, Stage{Target: t.ID, Address: t.Address, Layers: config.Range{First: first, Last: ends[i]}, hall: t.Hall})
	}
	return stages, changes
}
