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

// This file picks the path of a request over model engines.
//
// Problem: engines hold ranges of layers. A path is a sequence of engines that runs each
// layer once, in order. An engine may run a part of the layers it holds, so overlapping
// ranges can be joined as well. The request should end soon, and no engine may run out of
// memory, since it would then drop a request.
//
// Algorithm: shortest path over layer positions. An engine is an edge between any two
// positions within its range at which the range of some engine begins or ends. The length
// of an edge is the time that the engine takes for this request by the cost model of the
// service: reading the prompt and, for each token of the answer, one step at the present
// load and the transfer to the next engine. An engine without memory for the layers between
// two positions has no edge there. Edges only lead forward, so one pass over the positions
// finds the path.
//
// The load of an engine is the work that this VM has in flight, which is exact, and the
// work of the other VMs as last reported. The hall is drawn at random so that VMs with the
// same view do not all make the same choice.
//
// Invariants: a path runs each layer once, in order, and names no engine twice.

const (
	// maxMemoryShare is the share of an engine's memory that is given to requests. The rest
	// covers answers that get longer than expected and work that other VMs have begun since
	// their last report.
	maxMemoryShare = 0.94
	// crowdingWeight is how much a full engine costs above an empty one. An answer is in
	// time by its first event and its pauses, not by its end, so slow engines serve as well
	// as fast ones until prompts queue at them.
	crowdingWeight = 3
	// unreadPromptWeight is how much the wait behind unread prompts counts above the rest
	// of a request's time. That wait makes a first event late; the rest does not.
	unreadPromptWeight = 12
	// pipeContentionFactor multiplies the transfer time of a request over a pipe between
	// two halls. A pipe that has room now fills up when other VMs choose it too: a prompt
	// occupies it for about 20 ms, and each token waits behind that.
	pipeContentionFactor = 30
	// hallBias is the strength of the preference for cheap halls: with 2, a hall at half
	// the cost of another gets four times as many requests.
	hallBias = 2.0
	// otherHallCost multiplies the cost of halls other than the VM's own: the events of an
	// answer then cross between halls, about 8 KB a request.
	otherHallCost = 2.0
	// suspectCost multiplies the cost of suspect engines, which are used only if there is
	// no path without them.
	suspectCost = 4
)

// arrival is the cheapest way found so far to a layer position.
type arrival struct {
	cost  float64
	last  *target
	first *target
	from  int
	pass  passTimes
	ok    bool
}

// candidate is an engine that a path may use, with its cost for the request. Costs are in
// nanoseconds.
type candidate struct {
	*target
	// perLayer and perStage make up the cost of a stage: one for each layer that it runs,
	// the other for the wait behind unread prompts.
	perLayer float64
	perStage float64
	// pass is the time of a pass over one layer.
	pass passTimes
	// layerLimit is the number of layers that it has memory for, for this request.
	layerLimit int
	// canStart is set if the engine may take the request as the first of its path: it has a
	// free slot and connection.
	canStart bool
	// suspect is set if the engine is to be used only if there is no path without it.
	suspect bool
}

func (r *Router) choosePath(s *Service, a PathRequest, now time.Time) (Path, bool) {
	for _, suspects := range []bool{false, true} {
		engines := r.usable(s.Name, a, now, suspects)
		slices.SortFunc(engines, func(x, y *target) int {
			return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.ID, y.ID))
		})
		if path, ok := r.pathWithinHall(s, a, engines, now); ok {
			return path, true
		}
		if path, _, ok := r.shortest(s, a, engines, now); ok && r.inTime(a, path) {
			return path, true
		}
	}
	return Path{}, false
}

// pathWithinHall draws one of the best paths that stay within a hall, each with a
// probability that falls with its cost. If the cheapest were always chosen, all VMs would
// take the same one until the next load report, 0.4 s later: on the users' grown fleet,
// halls would fill up in turn, for a second each.
func (r *Router) pathWithinHall(s *Service, a PathRequest, engines []*target, now time.Time) (Path, bool) {
	byHall := make(map[string][]*target)
	for _, t := range engines {
		byHall[t.Hall] = append(byHall[t.Hall], t)
	}
	var best Path
	found := false
	leastCost := 0.0
	for _, hall := range slices.Sorted(maps.Keys(byHall)) {
		path, cost, ok := r.shortest(s, a, byHall[hall], now)
		if !ok || !r.inTime(a, path) {
			continue
		}
		// The minimum of costs that are each multiplied by a power of an exponential
		// variate falls on a given one with a probability proportional to its cost to the
		// power of -hallBias.
		drawn := float64(cost)
		if r.settings.Policy.Has(HallDraw) {
			drawn *= math.Pow(r.rand.ExpFloat64(), 1/hallBias)
		}
		if hall != r.settings.Hall && r.settings.Policy.Has(OwnHall) {
			drawn *= otherHallCost
		}
		if !found || drawn < leastCost {
			best, leastCost, found = path, drawn, true
		}
	}
	return best, found
}

// shortest returns the path of least cost over the given engines.
func (r *Router) shortest(s *Service, a PathRequest, engines []*target, now time.Time) (Path, time.Duration, bool) {
	e := s.Engine
	candidates := r.candidates(s, a, engines, now)
	arrivals := make([]arrival, e.Layers+1)
	arrivals[0].ok = true
	whole := config.Range{Last: e.Layers}
	r.relaxRange(e, a, candidates, whole, arrivals)
	if !arrivals[e.Layers].ok {
		return Path{}, 0, false
	}
	stages, changes := reconstruct(arrivals, whole)
	if changes > 0 && !a.Begun && r.crossingsInFlight+changes > r.maxCrossings(e) {
		return Path{}, 0, false
	}
	return Path{Service: s.Name, Stages: stages, tokens: a.memoryTokens(), prompt: a.Prompt, crossings: changes, pass: arrivals[e.Layers].pass}, time.Duration(arrivals[e.Layers].cost), true
}

// relaxRange finds the cheapest ways from the beginning of a range of layers, given in
// arrivals, to each position within it.
func (r *Router) relaxRange(e *Engine, a PathRequest, candidates []candidate, layers config.Range, arrivals []arrival) {
	boundaries := stageBoundaries(e, candidates, layers)
	for _, at := range boundaries {
		if !arrivals[at].ok {
			continue
		}
		for i := range candidates {
			r.relax(e, a, &candidates[i], at, boundaries, arrivals)
		}
	}
}

// stageBoundaries returns the sorted positions within a range at which a path may pass from
// one engine to the next: those where the layers of an engine begin or end.
func stageBoundaries(e *Engine, candidates []candidate, layers config.Range) []int {
	isBoundary := make([]bool, e.Layers+1)
	isBoundary[layers.First], isBoundary[layers.Last] = true, true
	for i := range candidates {
		isBoundary[candidates[i].Layers.First] = true
		isBoundary[candidates[i].Layers.Last] = true
	}
	var boundaries []int
	for at := layers.First; at <= layers.Last; at++ {
		if isBoundary[at] {
			boundaries = append(boundaries, at)
		}
	}
	return boundaries
}

// candidates returns the engines that have room for at least one layer of a request.
func (r *Router) candidates(s *Service, a PathRequest, engines []*target, now time.Time) []candidate {
	e := s.Engine
	out := make([]candidate, 0, len(engines))
	for _, t := range engines {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok || !e.contains(t.Layers) {
			continue
		}
		kind = kind.Slowed(t.slowdown(now))
		c := r.candidateFor(e, kind, a, t)
		c.layerLimit = r.layerLimit(e, kind, a, t)
		c.canStart = a.mayStartOn(t.ID) && r.permitAvailable(t, a, now) && r.load(t).Requests < e.Slots && t.ownWork.Requests < r.connLimit(s)
		c.suspect = t.silent || now.Before(t.suspectUntil)
		if c.layerLimit > 0 {
			out = append(out, c)
		}
	}
	return out
}

const (
	// maxPipeShare is the share of the pipes that new requests may fill: in a full pipe,
	// each event of a stream waits behind the prompts of others.
	maxPipeShare = 0.5
	// crossingDuration is how long a request that changes halls is usually in flight: an
	// answer of 200 tokens at 15 ms each.
	crossingDuration = 3 * time.Second
	// minPipes is the number of pipes between the halls of a deployment of three halls, the
	// smallest that has more than one.
	minPipes = 3
)

// maxCrossings is this VM's share of the changes of halls that the pipes can carry.
func (r *Router) maxCrossings(e *Engine) int {
	if e.PipeBits <= 0 {
		return r.crossingsInFlight + len(r.targets)
	}
	bits := float64(e.UsualPrompt+e.UsualAnswer) * e.ActivationBytes * 8
	capacity := minPipes * maxPipeShare * e.PipeBits / bits * crossingDuration.Seconds()
	return max(int(capacity/float64(r.vms)), 1)
}

// relax tries an engine as the next stage after the cheapest way to a position, up to each
// position that its layers reach.
func (r *Router) relax(e *Engine, a PathRequest, c *candidate, at int, ends []int, arrivals []arrival) {
	if at < c.Layers.First || at >= c.Layers.Last || at == 0 && !c.canStart {
		return
	}
	before := arrivals[at]
	next := arrival{last: c.target, first: before.first, from: at, ok: true}
	transfer := 0.0
	if before.last != nil {
		transfer = float64(time.Duration(a.answer+1)*e.delay(before.last.Hall, c.Hall) + r.pipeCost(e, before.last, c.target, a))
	} else {
		next.first = c.target
		transfer = float64(e.delay(r.settings.Hall, c.Hall))
	}
	for _, end := range ends {
		if end <= at || end > c.Layers.Last || end-at > c.layerLimit {
			continue
		}
		if end-at < c.Layers.Len() && !r.settings.Policy.Has(PartRanges) {
			continue
		}
		next.pass = before.pass.plus(c.pass.times(end - at))
		next.cost = before.cost + transfer + c.perStage + c.perLayer*float64(end-at)
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

// admissionFraction returns a number from 0 to 1 that is fixed for this VM and target. If
// it were drawn anew for each request, a VM that the draw left without room would be given
// room by one of its next few requests.
func (r *Router) admissionFraction(t *target) float64 {
	return rand.New(rand.NewPCG(r.settings.Seed, uint64(t.key))).Float64()
}

// layerLimit returns the number of layers that a target has memory for, for one more
// request. A VM without reports from the others assumes that each of them does as it does,
// and admits at random so that all VMs together admit about as many requests as there is
// room for.
func (r *Router) layerLimit(e *Engine, kind Accelerator, a PathRequest, t *target) int {
	held := t.Layers.Len()
	room := maxMemoryShare*float64(e.tokenLayers(kind, held)) - float64(r.load(t).Tokens)
	need := float64(max(a.memoryTokens(), 1))
	sampled := !r.othersReported && r.settings.Policy.Has(StartSampling)
	if sampled {
		need *= r.admissionFraction(t) * float64(r.vms)
	}
	if room < 0 {
		return 0
	}
	if need*float64(held) <= room {
		return held
	}
	if sampled {
		// Running a part of the range would admit more than there is room for in total,
		// since every VM has some.
		return 0
	}
	return int(room / need)
}

// candidateFor returns a target as a candidate, with the time that it takes for the whole
// request.
func (r *Router) candidateFor(e *Engine, kind Accelerator, a PathRequest, t *target) candidate {
	load := r.load(t)
	layers := float64(t.Layers.Len())
	share := layers / float64(e.Layers)
	context := float64(load.Tokens)/layers + float64(a.Prompt)
	step := float64(e.StepBase) + float64(e.StepPerRequest)*float64(load.Requests+1) + float64(e.StepPerKilotoken)*context/1000
	read := float64(time.Second) * float64(a.Prompt) / max(e.ReadPerSecond, 1) * kind.ReadFactor
	use := (float64(load.Tokens) + float64(a.memoryTokens())*layers) / float64(max(e.tokenLayers(kind, t.Layers.Len()), 1))
	weight := r.costWeight(t, use)
	c := candidate{
		target:   t,
		perLayer: weight * (read + float64(a.answer)*step*kind.StepFactor) / float64(e.Layers),
		pass:     e.passOf(kind, load, t.Layers.Len()),
	}
	if r.settings.Policy.Has(UnreadPrompts) {
		c.perStage = weight * unreadPromptWeight * float64(load.Unread) / e.readRate(kind, load, share)
	}
	return c
}

// costWeight returns the factor for the time at a target. use is the share of its memory in
// use.
func (r *Router) costWeight(t *target, use float64) float64 {
	p := r.settings.Policy
	weight := 1.0
	if p.Has(Crowding) {
		weight += crowdingWeight * use * use
	}
	if p.Has(FailureMean) {
		weight += t.failures * failurePenalty
	}
	return weight
}

// readRate returns the prompt tokens that an engine reads in a nanosecond while it also
// writes answers: at most one chunk in each pass over all requests.
func (e *Engine) readRate(kind Accelerator, load Work, share float64) float64 {
	context := float64(load.Tokens) / (share * float64(e.Layers))
	step := float64(e.StepBase) + float64(e.StepPerRequest)*float64(load.Requests) + float64(e.StepPerKilotoken)*context/1000
	pass := share * (float64(e.Stride)*step*kind.StepFactor + float64(time.Second)*float64(e.Chunk)/max(e.ReadPerSecond, 1)*kind.ReadFactor)
	return float64(max(e.Chunk, 1)) / max(pass, 1)
}

// pipeCost returns the cost of a change of halls.
func (r *Router) pipeCost(e *Engine, from, to *target, a PathRequest) time.Duration {
	if from.Hall == to.Hall || e.PipeBits <= 0 {
		return 0
	}
	bits := float64(a.Prompt+a.answer) * e.ActivationBytes * 8
	uncontended := bits / e.PipeBits * float64(time.Second)
	if !r.settings.Policy.Has(PipeCaution) {
		return time.Duration(uncontended)
	}
	return time.Duration(pipeContentionFactor * uncontended)
}

// reconstruct follows the cheapest way over a range of layers back to its beginning and
// returns its stages and the number of changes of halls. If the way leaves an engine and
// returns to it, the engine also runs the layers in between: it holds them, and a path
// names no engine twice.
func reconstruct(arrivals []arrival, layers config.Range) (stages []Stage, changes int) {
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
