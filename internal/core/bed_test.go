package core_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
)

// testBed runs entry Nodes against simulated engines on a virtual clock. An engine runs
// batch positions at a time, each in layers*batch/speed seconds, and honours priorities,
// as the requirements state for engines. Measurements are counts and virtual times, so
// that a figure is the same on every machine.
type testBed struct {
	t        require.TestingT
	now      time.Time
	events   bedEvents
	serial   int
	rand     *rand.Rand
	state    config.State
	nodes    []*core.Node
	names    map[core.VMName]int
	engines  map[string]*bedEngine
	requests map[core.ConnID]*bedRequest
	// tokens counts the positions that were run, for comparison with the bound.
	tokens int
}

type bedEngine struct {
	speed   float64
	batch   int
	slots   int
	running int
	// waiting holds queued work by class, first in first out within each.
	waiting [config.ClassCount][]func()
	streams map[core.RequestID]bool
	dead    bool
	delay   time.Duration
}

// bedRequest is one request and its outcome.
type bedRequest struct {
	class        config.Class
	organisation int
	asked        time.Time
	first        time.Time
	last         time.Time
	maxGap       time.Duration
	tokens       int
	done         time.Time
	refused      *core.Refusal
	refusedAt    time.Time
}

type bedEvent struct {
	at     time.Time
	serial int
	run    func()
}

type bedEvents []bedEvent

func (h bedEvents) Len() int { return len(h) }
func (h bedEvents) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].serial, h[j].serial)) < 0
}
func (h bedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *bedEvents) Push(x any)   { *h = append(*h, x.(bedEvent)) }
func (h *bedEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	bedBatch = 8
	bedSlots = 48
	bedLink  = 500 * time.Microsecond
	bedOrgs  = 10
)

// newTestBed returns a test bed of entry Nodes with forty engines of three kinds in three
// data halls.
func newTestBed(t require.TestingT, entries int, seed uint64) *testBed {
	b := &testBed{t: t, now: epochStart, rand: rand.New(rand.NewPCG(seed, 2)), engines: make(map[string]*bedEngine), names: make(map[core.VMName]int), requests: make(map[core.ConnID]*bedRequest)}
	changes := []config.Change{
		{Model: &config.Model{Name: "m", Layers: benchLayers, Versions: []string{"v1"}}},
		{Pipeline: &config.Pipeline{Name: "p0", Model: "m", Version: "v1", Class: 0, MaxTokens: 1000}},
		{Pipeline: &config.Pipeline{Name: "p2", Model: "m", Version: "v1", Class: 2, MaxTokens: 1000}},
	}
	for i := range bedOrgs {
		changes = append(changes, config.Change{Organisation: &config.Organisation{Name: fmt.Sprintf("o%d", i), Key: config.HashKey(fmt.Sprintf("key%d", i)), Weight: 1}})
	}
	kinds := []struct {
		speed  float64
		memory int
	}{{3200, 12}, {2400, 10}, {9600, 24}}
	for i := range 40 {
		k := kinds[i%3]
		name := fmt.Sprintf("t%02d", i)
		b.engines[name] = &bedEngine{speed: k.speed, batch: bedBatch, slots: bedSlots, streams: make(map[core.RequestID]bool)}
		changes = append(changes, config.Change{Target: &config.Target{Name: name, Address: name, Hall: fmt.Sprintf("hall%d", i/3%3), Speed: k.speed, Memory: k.memory, Slots: bedSlots, Fence: true}})
	}
	state, err := config.State{}.Apply(1, changes)
	require.NoError(t, err)
	b.state = b.planned(state)
	for i := range entries {
		b.nodes = append(b.nodes, core.New(core.Settings{
			Self: core.ReplicaID{VM: benchView(entries)[i].Address.VM, Incarnation: 1}, Entry: true, Address: benchView(entries)[i].Address,
			ControlVMs: []core.VMName{"c1"}, Timing: core.DefaultTiming(), Seed: seed + uint64(i),
		}, core.Recovered{}, b.now))
		b.names[benchView(entries)[i].Address.VM] = i
		b.tick(i)
	}
	b.advance(2 * time.Second)
	return b
}

// planned applies the planner's changes, as if the engines loaded instantly.
func (b *testBed) planned(s config.State) config.State {
	changes := plan.Changes(s)
	for i := range changes {
		if changes[i].Place != nil {
			ready := changes[i].Place.WithReady()
			changes[i].Place = &ready
		}
	}
	next, err := s.Apply(s.Revision+1, changes)
	require.NoError(b.t, err)
	return next
}

// bound returns the throughput that no placement can exceed, in tokens per second.
func (b *testBed) bound() float64 {
	var stages []plan.Stage
	for name, e := range b.engines {
		if !e.dead {
			stages = append(stages, plan.Stage{Target: name, Speed: e.speed})
		}
	}
	return plan.Bound(benchLayers, stages)
}

func (b *testBed) at(delay time.Duration, run func()) {
	b.serial++
	heap.Push(&b.events, bedEvent{at: b.now.Add(delay), serial: b.serial, run: run})
}

func (b *testBed) advance(d time.Duration) {
	end := b.now.Add(d)
	for len(b.events) > 0 && !b.events[0].at.After(end) {
		e := heap.Pop(&b.events).(bedEvent)
		b.now = e.at
		e.run()
	}
	b.now = end
}

func (b *testBed) tick(i int) {
	b.at(tickEvery, func() {
		b.step(i, core.Tick{})
		b.tick(i)
	})
}

func (b *testBed) step(i int, event core.Event) {
	for _, effect := range slices.Clone(b.nodes[i].Step(b.now, event)) {
		b.execute(i, effect)
	}
}

func (b *testBed) execute(i int, effect core.Effect) {
	switch e := effect.(type) {
	case core.Send:
		b.send(i, e.Envelope)
	case core.Run:
		b.run(e, func(ended core.RunEnded) { b.step(i, ended) })
	case core.Rebuild:
		b.rebuild(i, e)
	case core.Release:
		for _, s := range e.Chain {
			delete(b.engines[s.Target].streams, e.Stream)
		}
	case core.Emit:
		b.emit(e)
	case core.Refuse:
		refusal := e.Refusal
		b.requests[e.Conn].refused = &refusal
		b.requests[e.Conn].refusedAt = b.now
	}
}

func (b *testBed) send(i int, e core.Envelope) {
	if r := e.Body.Renew; r != nil {
		b.at(bedLink, func() { b.grant(i, r.Number) })
		return
	}
	if j, ok := b.names[e.To]; ok {
		b.at(bedLink, func() { b.step(j, core.Received{Envelope: e}) })
	}
}

func (b *testBed) grant(i int, number uint64) {
	state := b.state
	b.step(i, core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1"}, Body: core.Message{Grant: &core.Grant{
		To:   1,
		Term: 1, Number: number, Revision: state.Revision, State: &state, ViewVersion: 1, View: benchView(len(b.nodes)), ViewComplete: true,
	}}}})
}

// run runs a position through the stages of a chain.
func (b *testBed) run(r core.Run, done func(core.RunEnded)) {
	ended := core.RunEnded{Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Result: core.ResultDone, Next: r.Position + 1, Token: core.Token{Text: "x"}}
	b.at(bedLink, func() { b.stage(r, 0, ended, done) })
}

func (b *testBed) stage(r core.Run, k int, ended core.RunEnded, done func(core.RunEnded)) {
	if k == len(r.Chain) {
		b.tokens++
		b.at(time.Duration(k)*bedLink, func() { done(ended) })
		return
	}
	s := r.Chain[k]
	e := b.engines[s.Target]
	fail := func(result core.RunResult, after time.Duration) {
		ended.Result, ended.Target = result, s.Target
		b.at(after, func() { done(ended) })
	}
	switch {
	case e.dead:
		fail(core.ResultBroken, bedLink)
		return
	case !e.streams[r.Stream] && r.Position > 0:
		fail(core.ResultGap, bedLink)
		return
	case !e.streams[r.Stream] && len(e.streams) >= e.slots:
		fail(core.ResultRefused, bedLink)
		return
	}
	e.streams[r.Stream] = true
	ended.Load = max(ended.Load, len(e.streams)*1000/e.slots)
	b.serve(e, r.Class, s.Layers.Len(), func() { b.at(bedLink+e.delay, func() { b.stage(r, k+1, ended, done) }) })
}

// serve runs work in the engine's batch once there is room.
func (b *testBed) serve(e *bedEngine, class config.Class, layers int, done func()) {
	work := func() {
		e.running++
		b.at(time.Duration(float64(layers)*float64(e.batch)/e.speed*float64(time.Second)), func() {
			e.running--
			e.next()
			done()
		})
	}
	if e.running < e.batch {
		work()
		return
	}
	e.waiting[class] = append(e.waiting[class], work)
}

// next starts the oldest queued work of the first class that has any.
func (e *bedEngine) next() {
	for class, waiting := range e.waiting {
		if len(waiting) > 0 {
			e.waiting[class] = waiting[1:]
			waiting[0]()
			return
		}
	}
}

// rebuild takes a twentieth of the time that the positions took originally.
func (b *testBed) rebuild(i int, r core.Rebuild) {
	e := b.engines[r.Stage.Target]
	ended := core.RebuildEnded{Stream: r.Stream, Epoch: r.Epoch, Target: r.Stage.Target, Result: core.ResultDone}
	if e.dead {
		ended.Result = core.ResultBroken
		b.at(bedLink, func() { b.step(i, ended) })
		return
	}
	e.streams[r.Stream] = true
	b.serve(e, config.ClassNormal, max(r.Stage.Layers.Len()*r.Position/20, 1), func() { b.step(i, ended) })
}

func (b *testBed) emit(e core.Emit) {
	a := b.requests[e.Conn]
	if len(e.Tokens) > 0 {
		if a.tokens == 0 {
			a.first = b.now
		} else {
			a.maxGap = max(a.maxGap, b.now.Sub(a.last))
		}
		a.tokens += len(e.Tokens)
		a.last = b.now
	}
	if e.Finish != "" {
		a.done = b.now
	}
}

// submit sends a request to a Node.
func (b *testBed) submit(node, organisation int, class config.Class, tokens int, patience time.Duration) *bedRequest {
	a := &bedRequest{class: class, organisation: organisation, asked: b.now}
	conn := core.ConnID(len(b.requests) + 1)
	b.requests[conn] = a
	b.step(node, core.StreamAsked{Conn: conn, ID: core.RequestID(fmt.Sprint(conn)), Key: fmt.Sprintf("key%d", organisation), Request: core.StreamRequest{
		Pipeline: fmt.Sprintf("p%d", class), Prompt: "prompt", MaxTokens: tokens, Deadline: b.now.Add(patience),
	}})
	return a
}
