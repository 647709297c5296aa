package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// This file picks the path of one request over model engines.
//
// Problem: engines hold ranges of layers; a path is any sequence of engines
// whose ranges join from the first layer to the last. The request should end
// soon, and no engine may run out of memory, for then it drops a request.
//
// Algorithm: the shortest path over layer positions. An engine is an edge from
// its first layer to its last; its length is the time that it takes for this
// request, as the cost model of the service tells: reading the prompt, and for
// each token of the answer one step at the present load and the way to the next
// engine. Engines without memory for the request are left out. Since ranges only
// lead forward, one pass over the engines sorted by first layer finds it.
//
// Loads are what this VM has under way, which is exact, and what the others had
// a moment ago. The hall is drawn at random, so that VMs with the same picture do
// not choose alike.
//
// Invariants: a path runs each layer once, in order; it holds no engine twice.

const (
	// memoryUse is the part of an engine's memory that requests are given; the
	// rest is for answers that get longer than expected and for what other VMs
	// have begun since they last told. Tried on scale-1 of the users' grown Kyklos fleet:
	// 0.9 and a heldShare of 0.7 gave a worth of 0.564, 0.617 and 0.688, 0.94 and 0.6 of
	// 0.703 and 0.732, with as many requests that engines put back (198 and 255, 211).
	memoryUse = 0.94
	// crowd is how much a full engine counts above an empty one. An answer is in
	// time by its first event and its pauses, not by its end, so that slow engines
	// serve as well as fast ones until prompts queue up in front of those.
	crowd = 3
	// unreadWeight is how much the wait behind prompts counts above the rest of a
	// request's time: it is what makes a first event late, and the rest does not.
	// Tried on two grown days: 4 gave a worth of 0.554 and 0.603, 12 of 0.578 and 0.623.
	unreadWeight = 12
	// pathNoise is the spread of the random part of costs.
	pathNoise = 0.05
	// pipeCaution multiplies the time that a request takes in a pipe between two
	// halls. On a quiet day of the users, 0 of 719 requests that stayed in their
	// hall had a late pause, and 283 of 1,010 that did not: pipes fill at once.
	pipeCaution = 30
	// standbyCost multiplies the cost of a standby: it gets requests only when
	// others are full, so that it can be moved at once to where layers are lost. An
	// engine with requests took 12 s to be free.
	standbyCost = 2
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

// reach is the best way found to a layer position.
type reach struct {
	cost  time.Duration
	last  *target
	first *target
	from  int
	ok    bool
}

func (r *Router) choosePath(s *Service, a Ask, now time.Time) (Path, bool) {
	r.findStandbys(s)
	for _, suspects := range []bool{false, true} {
		engines := r.usable(s.Name, a, now, suspects)
		slices.SortFunc(engines, func(x, y *target) int {
			return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.ID, y.ID))
		})
		if path, ok := r.inOneHall(s, a, engines, now); ok {
			return path, true
		}
		if path, _, ok := r.shortest(s, a, engines, now); ok {
			return path, true
		}
	}
	return Path{}, false
}

// inOneHall draws among the best paths that stay in one hall: each with a
// probability that falls with its cost. Were the best one always taken, all VMs
// would take the same one until the next word on their loads, 0.4 s later: on the
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
		if !ok {
			continue
		}
		// The least of costs that are each multiplied by a power of an
		// exponential variate falls on one with a probability proportional to
		// its cost to the power of -hallBias.
		drawn := float64(cost) * math.Pow(r.rand.ExpFloat64(), 1/hallBias)
		if hall != r.settings.Hall {
			drawn *= awayCost
		}
		if !found || drawn < least {
			best, least, found = path, drawn, true
		}
	}
	return best, found
}

// shortest returns the path of the least cost over engines that are sorted by
// their first layer.
func (r *Router) shortest(s *Service, a Ask, engines []*target, now time.Time) (Path, time.Duration, bool) {
	e := s.Engine
	reached := make([]reach, e.Layers+1)
	reached[0].ok = true
	for _, t := range engines {
		r.extend(s, a, t, reached, now)
	}
	if !reached[e.Layers].ok {
		return Path{}, 0, false
	}
	stages, changes := stagesTo(reached, e.Layers)
	if changes > 0 && !a.Begun && r.changing+changes > r.changesMost(e) {
		return Path{}, 0, false
	}
	return Path{Service: s.Name, Stages: stages, tokens: a.held(), prompt: a.Prompt, changes: changes}, reached[e.Layers].cost, true
}

const (
	// pipeUse is the part of the pipes that new requests may fill: in a full one
	// each event of a stream waits behind the prompts of others.
	pipeUse = 0.5
	// usualTime is how long a request is under way on a path that changes halls,
	// as measured on the users' days.
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

// extend tries a target as the next stage after the best way to its first layer.
func (r *Router) extend(s *Service, a Ask, t *target, reached []reach, now time.Time) {
	e := s.Engine
	layers := t.Layers
	if layers.Len() <= 0 || layers.Last > e.Layers || !reached[layers.First].ok {
		return
	}
	kind, ok := e.accelerator(t.Accelerator)
	if !ok || !r.hasRoom(s, kind, a, t, layers.First == 0) {
		return
	}
	before := reached[layers.First]
	stage := r.stageCost(e, kind, a, t)
	if t.standby {
		stage *= standbyCost
	}
	cost := before.cost + stage
	next := reach{last: t, first: before.first, from: layers.First, ok: true}
	if before.last != nil {
		cost += time.Duration(a.answer+1)*e.delay(before.last.Hall, t.Hall) + e.pipeCost(before.last, t, a)
	} else {
		next.first = t
		cost += e.delay(r.settings.Hall, t.Hall)
	}
	if layers.Last == e.Layers {
		cost += time.Duration(a.answer) * e.delay(t.Hall, next.first.Hall)
	}
	if t.silent || now.Before(t.suspectUntil) {
		cost *= suspectCost
	}
	next.cost = cost
	if present := &reached[layers.Last]; !present.ok || cost < present.cost {
		*present = next
	}
}

// hasRoom reports whether a target has memory, and as the first stage a slot and
// a connection, for one request more.
func (r *Router) hasRoom(s *Service, kind Accelerator, a Ask, t *target, first bool) bool {
	e := s.Engine
	load := r.load(t)
	room := memoryUse*float64(e.tokens(kind, t.Layers.Len())) - float64(load.Tokens)
	if !r.fits(float64(a.held()), room) {
		return false
	}
	return !first || load.Requests < e.Slots && t.own.Requests < r.connLimit(s)
}

// fits reports whether a request fits into what is left of a target's memory. A VM that
// takes all others to do as it does admits at random: where 76 VMs have a request each
// and there is room for 50, each admits its own with a probability of 50 in 76.
func (r *Router) fits(tokens, room float64) bool {
	if r.othersKnown {
		return tokens <= room
	}
	return r.rand.Float64()*tokens*float64(r.vms) <= room
}

// stageCost is the time that a target takes for the whole of a request.
func (r *Router) stageCost(e *Engine, kind Accelerator, a Ask, t *target) time.Duration {
	load := r.load(t)
	share := float64(t.Layers.Len()) / float64(e.Layers)
	step := float64(e.StepBase) + float64(e.StepPerRequest)*float64(load.Requests+1) +
		float64(e.StepPerKilotoken)*float64(load.Tokens+a.Prompt)/1000
	read := float64(time.Second) * float64(a.Prompt) / max(e.ReadPerSecond, 1) * kind.Read
	cost := share * (read + float64(a.answer)*step*kind.Pace)
	use := float64(load.Tokens+a.held()) / float64(max(e.tokens(kind, t.Layers.Len()), 1))
	cost += unreadWeight * float64(load.Unread) / e.readRate(kind, load, share)
	cost *= 1 + crowd*use*use + t.failures*failurePenalty + pathNoise*r.rand.Float64()
	return time.Duration(cost)
}

// readRate is the prompt tokens that an engine reads in a nanosecond beside its
// writers: at most a chunk in each pass over all of them.
func (e *Engine) readRate(kind Accelerator, load Work, share float64) float64 {
	step := float64(e.StepBase) + float64(e.StepPerRequest)*float64(load.Requests) + float64(e.StepPerKilotoken)*float64(load.Tokens)/1000
	pass := share * (float64(e.Stride)*step*kind.Pace + float64(time.Second)*float64(e.Chunk)/max(e.ReadPerSecond, 1)*kind.Read)
	return float64(max(e.Chunk, 1)) / max(pass, 1)
}

// pipeCost is what a change of halls counts for.
func (e *Engine) pipeCost(from, to *target, a Ask) time.Duration {
	if from.Hall == to.Hall || e.PipeBits <= 0 {
		return 0
	}
	bits := float64(a.Prompt+a.answer) * e.HandOnBytes * 8
	return time.Duration(pipeCaution * bits / e.PipeBits * float64(time.Second))
}

// stagesTo follows the best way to a position back to its beginning, and counts
// the changes of halls on it.
func stagesTo(reached []reach, at int) (stages []Stage, changes int) {
	after := ""
	for at > 0 {
		t := reached[at].last
		if after != "" && after != t.Hall {
			changes++
		}
		after = t.Hall
		stages = append(stages, Stage{Target: t.ID, Address: t.Address, Layers: t.Layers})
		at = reached[at].from
	}
	slices.Reverse(stages)
	return stages, changes
}
