package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// These tests simulate entry VMs in front of the three targets of a plain service, without a
// network. Targets that refuse a request ask its VM to back off.
const (
	backoffVMs            = 10
	backoffTargets        = 3
	backoffSlots          = 6
	backoffQueue          = 24
	backoffWork           = 30 * time.Millisecond
	requestedBackoff      = 3 * time.Second
	backoffNetworkDelay   = time.Millisecond
	backoffDuration       = 20 * time.Second
	backoffShedFrom       = 2 * time.Second
	backoffLatencyTarget  = 150 * time.Millisecond
	backoffSlack          = 500 * time.Millisecond
	backoffReportInterval = 500 * time.Millisecond
)

// backoffCase is a load on the simulated VMs.
type backoffCase struct {
	// perSecond is the rate of requests, sheds the number of targets that refuse everything for
	// shedFor.
	perSecond float64
	sheds     int
	shedFor   time.Duration
	// deadline is how long callers wait in all.
	deadline time.Duration
	seed     uint64
}

type backOffTarget struct {
	id      relay.TargetID
	running int
	waiting []*backoffCall
	sheds   func(now time.Time) bool
	// asked is when each VM was asked to back off, and until when.
	asked map[int][2]time.Time
}

type backoffCall struct {
	vm       int
	began    time.Time
	path     relay.Path
	avoid    []relay.TargetID
	sent     int
	most     int
	returned bool
}

type backoffEvent struct {
	at time.Time
	n  int
	do func()
}

type backoffEvents []backoffEvent

func (e backoffEvents) Len() int { return len(e) }
func (e backoffEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e backoffEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *backoffEvents) Push(x any)   { *e = append(*e, x.(backoffEvent)) }
func (e *backoffEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backoffWorld simulates a case.
type backoffWorld struct {
	backoffCase
	rand    *rand.Rand
	now     time.Time
	events  backoffEvents
	number  int
	vms     []*relay.Router
	route   relay.Route
	targets map[relay.TargetID]*backOffTarget
	backoffResult
}

// backoffResult counts the outcomes of the calls.
type backoffResult struct {
	asked, inTime, late, refused int
	// turnedAway counts what targets refused, and duringBackoff what reached one in its backoff.
	turnedAway, duringBackoff int
}

func newBackoffWorld(c backoffCase) *backoffWorld {
	w := &backoffWorld{backoffCase: c, rand: rand.New(rand.NewPCG(c.seed, 1)), now: start, targets: make(map[relay.TargetID]*backOffTarget)}
	w.route = relay.Route{Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatAlways, Timeout: time.Minute, MaxTargets: 2, Shares: []relay.Share{{Service: "web", Weight: 1}}}
	document := &relay.Document{Version: 1, Services: []relay.Service{{Name: "web", MaxConns: 540}}, Routes: []relay.Route{w.route}}
	var known []relay.Target
	for i := range backoffTargets {
		id := relay.TargetID(fmt.Sprintf("t%d", i))
		known = append(known, relay.Target{ID: id, Service: "web", Address: string(id) + ":80", Hall: "a", Slots: backoffSlots, Call: 1})
		target := &backOffTarget{id: id, asked: make(map[int][2]time.Time), sheds: func(time.Time) bool { return false }}
		if i < c.sheds {
			from, until := start.Add(backoffShedFrom), start.Add(backoffShedFrom+c.shedFor)
			target.sheds = func(now time.Time) bool { return !now.Before(from) && now.Before(until) }
		}
		w.targets[id] = target
	}
	for i := range backoffVMs {
		r := relay.NewRouter(relay.Settings{Hall: "a", Seed: c.seed<<8 + uint64(i), Started: start.Add(-time.Hour), Budget: relay.BudgetTerms{Share: 0.2, Fixed: 200, Window: 10 * time.Second}})
		r.SetVMCount(backoffVMs)
		r.SetDocument(document)
		r.UpdateTargets(known)
		r.SetOthersWork(nil, true)
		w.vms = append(w.vms, r)
	}
	return w
}

func (w *backoffWorld) at(t time.Time, do func()) {
	w.number++
	heap.Push(&w.events, backoffEvent{at: t, n: w.number, do: do})
}

func (w *backoffWorld) play() backoffResult {
	w.arrive()
	w.report()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(backoffEvent)
		w.now = e.at
		e.do()
	}
	return w.backoffResult
}

func (w *backoffWorld) arrive() {
	gap := time.Duration(w.rand.ExpFloat64() / w.perSecond * float64(time.Second))
	if next := w.now.Add(gap); next.Before(start.Add(backoffDuration)) {
		w.at(next, func() {
			w.asked++
			most := 1 + w.rand.IntN(2)
			w.ask(&backoffCall{vm: w.rand.IntN(backoffVMs), began: w.now, most: most})
			w.arrive()
		})
	}
}

// report sends all VMs the work in flight of the others.
func (w *backoffWorld) report() {
	if !w.now.Before(start.Add(backoffDuration)) {
		return
	}
	var own []map[relay.TargetKey]relay.Work
	for _, r := range w.vms {
		own = append(own, r.OwnWork())
	}
	w.at(w.now.Add(backoffReportInterval/2), func() {
		for i, r := range w.vms {
			others := make(map[relay.TargetKey]relay.Work)
			for j, work := range own {
				if j == i {
					continue
				}
				for key, one := range work {
					others[key] = others[key].Plus(one)
				}
			}
			r.SetOthersWork(others, true)
			r.ForgetBackoffs(w.now)
		}
	})
	w.at(w.now.Add(backoffReportInterval), w.report)
}

func (w *backoffWorld) ask(c *backoffCall) {
	path, refusal := w.vms[c.vm].Choose(relay.PathRequest{Route: &w.route, Avoid: c.avoid}, w.now)
	if refusal != nil {
		w.refuse(c, refusal.RetryAt)
		return
	}
	c.path = path
	c.sent++
	w.at(w.now.Add(backoffNetworkDelay), func() { w.reach(c) })
}

// refuse has a caller come back once, within a third of its time.
func (w *backoffWorld) refuse(c *backoffCall, retryAt time.Time) {
	if c.returned {
		w.refused++
		return
	}
	c.returned = true
	left := c.began.Add(w.deadline).Sub(w.now)
	wait := min(retryAt.Sub(w.now), left/3)
	c.avoid, c.sent, c.vm = nil, 0, w.rand.IntN(backoffVMs)
	w.at(w.now.Add(wait), func() { w.ask(c) })
}

func (w *backoffWorld) reach(c *backoffCall) {
	target := w.targets[c.path.First().Target]
	if asked := target.asked[c.vm]; w.now.After(asked[0].Add(backoffSlack)) && w.now.Before(asked[1]) {
		w.duringBackoff++
	}
	if target.sheds(w.now) || len(target.waiting) >= backoffQueue {
		target.asked[c.vm] = [2]time.Time{w.now, w.now.Add(requestedBackoff)}
		w.turnedAway++
		w.at(w.now.Add(backoffNetworkDelay), func() { w.refusedByTarget(c) })
		return
	}
	target.waiting = append(target.waiting, c)
	w.work(target)
}

func (w *backoffWorld) work(target *backOffTarget) {
	for target.running < backoffSlots && len(target.waiting) > 0 {
		c := target.waiting[0]
		target.waiting = target.waiting[1:]
		target.running++
		took := time.Duration(w.rand.ExpFloat64() * float64(backoffWork))
		w.at(w.now.Add(took), func() {
			target.running--
			w.work(target)
			w.at(w.now.Add(backoffNetworkDelay), func() { w.answered(c) })
		})
	}
}

func (w *backoffWorld) answered(c *backoffCall) {
	r := w.vms[c.vm]
	id := c.path.First().Target
	r.Release(c.path, false)
	r.RecordSuccess(id, w.now)
	if w.now.Sub(c.began) <= backoffLatencyTarget {
		w.inTime++
		return
	}
	w.late++
}

// refusedByTarget processes the answer of a target that asks for a backoff.
func (w *backoffWorld) refusedByTarget(c *backoffCall) {
	r := w.vms[c.vm]
	id := c.path.First().Target
	r.Release(c.path, false)
	r.RecordBackoff(id, w.now.Add(requestedBackoff), w.now)
	c.avoid = append(c.avoid, id)
	if c.sent < c.most {
		w.ask(c)
		return
	}
	w.refuse(c, r.RetryAt("web", 50*time.Millisecond, w.now))
}

const (
	// servedLeast is the part of what targets can run that must be served in an overload.
	servedLeast = 0.8
	// turnedAwayMost is the part of the requests that targets may refuse.
	turnedAwayMost = 0.1
)

// servable returns how many requests the targets could run, at most all that are asked.
func (c backoffCase) servable(asked int) float64 {
	perSecond := backoffSlots / backoffWork.Seconds()
	availableSeconds := backoffTargets*backoffDuration.Seconds() - float64(c.sheds)*c.shedFor.Seconds()
	return min(float64(asked), perSecond*availableSeconds)
}

// The load of a target that VMs back off from goes to the others, which are then full and ask for
// a backoff too: without a bound on what they are given, two of five requests that they could run
// are refused, and three of four in a larger overload. Where all targets ask for a backoff and
// callers come back at its end, nearly all of these are refused again.
func TestBackoffsKeepThroughput(t *testing.T) {
	for name, c := range map[string]backoffCase{
		"one target backs off":                        {perSecond: 300, sheds: 1, shedFor: 8 * time.Second},
		"one target backs off, too much for two":      {perSecond: 500, sheds: 1, shedFor: 8 * time.Second},
		"two targets back off":                        {perSecond: 300, sheds: 2, shedFor: 8 * time.Second},
		"all targets back off, and callers come back": {perSecond: 500, sheds: 3, shedFor: 4 * time.Second, deadline: 20 * time.Second},
		"overload without shedding targets":           {perSecond: 700},
		"more than twice the capacity":                {perSecond: 1500},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				c.seed = seed + 1
				if c.deadline == 0 {
					c.deadline = 2500 * time.Millisecond
				}
				r := newBackoffWorld(c).play()
				require.Zero(t, r.duringBackoff, "requests that reach a target in its backoff")
				require.GreaterOrEqual(t, float64(r.inTime+r.late), servedLeast*c.servable(r.asked))
				require.LessOrEqual(t, float64(r.turnedAway), turnedAwayMost*float64(r.asked))
			}
		})
	}
}
