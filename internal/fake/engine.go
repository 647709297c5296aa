package fake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/target"
)

// EngineOptions describe a fake engine.
type EngineOptions struct {
	Name string
	// Speed is in layers times tokens a second, the whole batch together; 0
	// takes no time.
	Speed float64
	// Batch is how many positions it runs at a time.
	Batch int
	// Slots is how many streams its memory holds.
	Slots int
	// Fence says that it checks the order's fence.
	Fence bool
	// LoadTime is how long it takes to load a range.
	LoadTime time.Duration
	// ReportLag is how old its load reports are.
	ReportLag time.Duration
	// LinkDelay is added before each hop to the next engine.
	LinkDelay time.Duration
	// Hops carries what an engine says to another one; nil is HTTP.
	Hops Hops
}

// Hops is the way from one engine to the next.
type Hops interface {
	// Run hands activations on; Boundary asks for kept ones.
	Run(ctx context.Context, to core.Stage, o target.RunOrder) (target.RunReply, error)
	Boundary(ctx context.Context, to core.Stage, o target.BoundaryOrder) (target.BoundaryReply, error)
}

// httpHops is the way between engines that are processes.
type httpHops struct{ client *target.Client }

// Run implements Hops.
func (h httpHops) Run(ctx context.Context, to core.Stage, o target.RunOrder) (target.RunReply, error) {
	return h.client.RunOrder(ctx, to.Address, o)
}

// Boundary implements Hops.
func (h httpHops) Boundary(ctx context.Context, to core.Stage, o target.BoundaryOrder) (target.BoundaryReply, error) {
	return target.Post[target.BoundaryReply](ctx, h.client, to.Address, target.PathBoundary, o)
}

// prefillSpeedup is how much faster a position of a prompt is run.
const prefillSpeedup = 20

// Engine is a fake model engine: it holds a range of layers, runs positions of
// streams in order, once each, and hands its activations on.
type Engine struct {
	options EngineOptions
	// batch holds a token for each position that is being run.
	batch chan struct{}

	mu      sync.Mutex
	fence   core.Fence
	holding target.PlaceOrder
	streams map[core.RequestID]*engineStream
	leaving bool
	lagged  target.LoadReport
	nextLag time.Time
	audit   Audit
}

// Audit counts what an engine has done, for tests.
type Audit struct {
	// Runs counts layers times positions; Rebuilt those for a lost state.
	Runs    int `json:"runs"`
	Rebuilt int `json:"rebuilt"`
	// Repeats counts answers given again, Stale refusals of an older epoch.
	Repeats int `json:"repeats"`
	Stale   int `json:"stale"`
	// Orders counts placement orders that were carried out, Late those that
	// came after a later one and were refused.
	Orders int `json:"orders"`
	Late   int `json:"late"`
}

// engineStream is what an engine keeps of one stream.
type engineStream struct {
	mu     sync.Mutex
	epoch  core.Epoch
	cache  cache
	next   int
	prompt int
	// outputs are the activations after the range, by position.
	outputs  []uint64
	released bool
}

// NewEngine returns an engine that holds nothing.
func NewEngine(options EngineOptions) *Engine {
	options.Batch = max(options.Batch, 1)
	if options.Hops == nil {
		options.Hops = httpHops{client: target.NewClient()}
	}
	return &Engine{
		options: options,
		batch:   make(chan struct{}, options.Batch),
		streams: make(map[core.RequestID]*engineStream),
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathRuns, func(w http.ResponseWriter, r *http.Request) { target.ServeRuns(w, r, e.Run) })
	mux.HandleFunc("POST "+target.PathRebuild, handle(e.Rebuild))
	mux.HandleFunc("POST "+target.PathBoundary, handle(e.Boundary))
	mux.HandleFunc("POST "+target.PathRelease, handle(e.Release))
	mux.HandleFunc("POST "+target.PathOrder, handle(e.Order))
	mux.HandleFunc("GET "+target.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Load()) })
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Audit()) })
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.leaving = true
		writeJSON(w, struct{}{})
	})
	return mux
}

// Audit returns the counts so far.
func (e *Engine) Audit() Audit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.audit
}

func (e *Engine) holds(m core.ModelRef, layers config.Range) bool {
	h := e.holding
	return h.Model == m.Model && h.Version == m.Version && h.Layers.First <= layers.First && layers.Last <= h.Layers.Last
}

func (e *Engine) busy() int {
	busy := 0
	for _, s := range e.streams {
		if !s.released {
			busy++
		}
	}
	return busy
}

// Run runs positions of a stream on this engine and the ones after it.
func (e *Engine) Run(ctx context.Context, o target.RunOrder) target.RunReply {
	began := time.Now()
	stage := o.Chain[0]
	s, result := e.streamFor(o, stage)
	if s == nil {
		return target.RunReply{Result: result, Target: stage.Target}
	}
	outputs, result := e.advance(ctx, s, o)
	if result != core.ResultDone {
		return target.RunReply{Result: result, Target: stage.Target}
	}
	load := e.Load()
	part := load.Busy * 1000 / max(load.Slots, 1)
	if len(o.Chain) == 1 {
		token, finish := tokenOf(outputs[len(outputs)-1])
		return target.RunReply{Result: core.ResultDone, Next: o.Position + len(outputs), Token: token, Finish: finish, Load: part}
	}
	reply := e.handOn(ctx, o, outputs, time.Since(began))
	reply.Load = max(reply.Load, part)
	return reply
}

// streamFor finds or makes the stream's state, and says why it can't.
func (e *Engine) streamFor(o target.RunOrder, stage core.Stage) (*engineStream, core.RunResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[o.Stream]
	if ok && o.Epoch.Compare(s.epoch) < 0 {
		e.audit.Stale++
		return nil, core.ResultStale
	}
	if ok && !s.released && s.cache.layers == stage.Layers {
		s.epoch = o.Epoch
		return s, core.ResultDone
	}
	if o.Position > 0 {
		return nil, core.ResultGap
	}
	full := e.busy() >= e.options.Slots
	if !e.holds(o.Model, stage.Layers) || full {
		return nil, core.ResultRefused
	}
	s = &engineStream{epoch: o.Epoch, cache: newCache(stage.Layers)}
	e.streams[o.Stream] = s
	return s, core.ResultDone
}

// advance runs the positions that are next, or repeats kept ones.
func (e *Engine) advance(ctx context.Context, s *engineStream, o target.RunOrder) ([]uint64, core.RunResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Position > s.next {
		return nil, core.ResultGap
	}
	if o.Position < s.next {
		e.count(func(a *Audit) { a.Repeats++ })
		count := 1
		if o.Position == 0 {
			count = s.prompt
		}
		return s.outputs[o.Position : o.Position+count], core.ResultDone
	}
	in := o.Activations
	switch {
	case o.Prompt != "":
		in = inputs(o.Prompt)
	case o.Token != nil:
		in = []uint64{inputOf(*o.Token)}
	}
	if !e.spend(ctx, len(in)*s.cache.layers.Len(), o.Position == 0) {
		return nil, core.ResultBroken
	}
	if o.Position == 0 {
		s.prompt = len(in)
	}
	e.take(s, in)
	e.count(func(a *Audit) { a.Runs += len(in) * s.cache.layers.Len() })
	return s.outputs[o.Position:], core.ResultDone
}

// take runs inputs at the stream's next positions.
func (e *Engine) take(s *engineStream, in []uint64) {
	for _, activation := range in {
		s.outputs = append(s.outputs, s.cache.run(s.next, activation))
		s.next++
	}
}

// spend takes the time that so many layers times positions cost.
func (e *Engine) spend(ctx context.Context, work int, prefill bool) bool {
	if e.options.Speed == 0 {
		return true
	}
	cost := float64(work) * float64(e.options.Batch) / e.options.Speed
	if prefill {
		cost /= prefillSpeedup
	}
	select {
	case e.batch <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.batch }()
	return pause(ctx, time.Duration(cost*float64(time.Second)))
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// handOn gives the activations to the next stage. Each hop waits a little less
// than the one before, so that the stage that is named as broken is the one
// that did not answer.
func (e *Engine) handOn(ctx context.Context, o target.RunOrder, outputs []uint64, spent time.Duration) target.RunReply {
	next := o.Chain[1]
	silence := time.Duration(o.SilenceMillis)*time.Millisecond - spent
	silence = silence * 9 / 10
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	pause(ctx, e.options.LinkDelay)
	reply, err := e.options.Hops.Run(ctx, next, target.RunOrder{
		Stream: o.Stream, Epoch: o.Epoch, Position: o.Position, Model: o.Model,
		Activations: outputs, Chain: o.Chain[1:], Priority: o.Priority, SilenceMillis: silence.Milliseconds(),
	})
	if err != nil {
		return target.RunReply{Result: core.ResultBroken, Target: next.Target}
	}
	return reply
}

// Rebuild makes the state of a range anew.
func (e *Engine) Rebuild(ctx context.Context, o target.RebuildOrder) target.RebuildReply {
	in, result, failed := e.rebuildInputs(ctx, o)
	if result != core.ResultDone {
		return target.RebuildReply{Result: result, Target: failed}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	present, ok := e.streams[o.Stream]
	if ok && o.Epoch.Compare(present.epoch) < 0 {
		return target.RebuildReply{Result: core.ResultStale, Target: o.Stage.Target}
	}
	if !e.holds(o.Model, o.Stage.Layers) {
		return target.RebuildReply{Result: core.ResultRefused, Target: o.Stage.Target}
	}
	s := &engineStream{epoch: o.Epoch, cache: newCache(o.Stage.Layers), prompt: len(in)}
	if o.Prompt != "" {
		s.prompt = len(inputs(o.Prompt))
	}
	e.take(s, in)
	e.streams[o.Stream] = s
	e.audit.Rebuilt += len(in) * o.Stage.Layers.Len()
	return target.RebuildReply{Result: core.ResultDone, Target: o.Stage.Target}
}

// rebuildInputs gathers what goes into the range, and says who lacks it.
func (e *Engine) rebuildInputs(ctx context.Context, o target.RebuildOrder) ([]uint64, core.RunResult, string) {
	if o.Source == nil {
		in := inputs(o.Prompt)
		for _, t := range o.Tokens {
			in = append(in, inputOf(t))
		}
		return e.spendRebuild(ctx, o, in)
	}
	reply, err := e.options.Hops.Boundary(ctx, *o.Source,
		target.BoundaryOrder{Stream: o.Stream, Epoch: o.Epoch, Layers: o.Source.Layers, To: o.Position})
	if err != nil {
		return nil, core.ResultBroken, o.Source.Target
	}
	if reply.Result != core.ResultDone {
		return nil, reply.Result, o.Source.Target
	}
	return e.spendRebuild(ctx, o, reply.Activations)
}

func (e *Engine) spendRebuild(ctx context.Context, o target.RebuildOrder, in []uint64) ([]uint64, core.RunResult, string) {
	if !e.spend(ctx, len(in)*o.Stage.Layers.Len(), true) {
		return nil, core.ResultBroken, o.Stage.Target
	}
	return in, core.ResultDone, o.Stage.Target
}

// Boundary gives the activations that were kept after a range.
func (e *Engine) Boundary(_ context.Context, o target.BoundaryOrder) target.BoundaryReply {
	e.mu.Lock()
	s, ok := e.streams[o.Stream]
	if ok && o.Epoch.Compare(s.epoch) < 0 {
		e.mu.Unlock()
		return target.BoundaryReply{Result: core.ResultStale}
	}
	if ok {
		s.epoch = o.Epoch
	}
	e.mu.Unlock()
	if !ok || s.released || s.cache.layers != o.Layers {
		return target.BoundaryReply{Result: core.ResultGap}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next < o.To {
		return target.BoundaryReply{Result: core.ResultGap}
	}
	return target.BoundaryReply{Result: core.ResultDone, Activations: s.outputs[:o.To]}
}

// Release drops a stream. Its epoch stays known, so that a run that is late
// does not begin it anew.
func (e *Engine) Release(_ context.Context, o target.ReleaseOrder) struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[o.Stream]
	if !ok || o.Epoch.Compare(s.epoch) < 0 {
		return struct{}{}
	}
	e.streams[o.Stream] = &engineStream{epoch: o.Epoch, released: true}
	return struct{}{}
}

// Order takes a placement order.
func (e *Engine) Order(ctx context.Context, o target.PlaceOrder) target.PlaceReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.LifeMillis)*time.Millisecond)
	defer cancel()
	if r := e.mayPlace(o); r != target.OrderDone {
		return target.PlaceReply{Result: r}
	}
	if !pause(ctx, e.options.LoadTime) {
		return target.PlaceReply{Result: target.OrderBusy}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fence = o.Fence
	e.holding = o
	e.audit.Orders++
	return target.PlaceReply{Result: target.OrderDone}
}

// mayPlace checks the fence, and whether streams still need what is held.
func (e *Engine) mayPlace(o target.PlaceOrder) target.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	older := o.Fence.Term < e.fence.Term || o.Fence.Term == e.fence.Term && o.Fence.Sequence < e.fence.Sequence
	if e.options.Fence && older {
		e.audit.Late++
		return target.OrderStale
	}
	same := e.holding.Model == o.Model && e.holding.Version == o.Version && e.holding.Layers == o.Layers
	if !same && e.busy() > 0 {
		return target.OrderBusy
	}
	return target.OrderDone
}

// Load returns the report, as old as ReportLag says.
func (e *Engine) Load() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); !now.Before(e.nextLag) {
		e.nextLag = now.Add(e.options.ReportLag)
		e.lagged = target.LoadReport{Busy: e.busy(), Slots: e.options.Slots}
	}
	report := e.lagged
	report.Leaving = e.leaving
	report.Holding = e.fence.Sequence
	return report
}

func (e *Engine) count(f func(*Audit)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.audit)
}
