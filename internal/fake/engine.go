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
	// Speed is the throughput of the whole batch, in layers times tokens a
	// second; 0 simulates no run time.
	Speed float64
	// Batch is the number of runs that execute concurrently.
	Batch int
	// Slots is the number of streams that its memory holds.
	Slots int
	// Fence enables the check of the fence of placement orders.
	Fence bool
	// LoadTime is the time to load a range of layers.
	LoadTime time.Duration
	// ReportInterval is the interval at which its load reports are refreshed.
	ReportInterval time.Duration
	// LinkDelay is added before each hop to the next engine.
	LinkDelay time.Duration
	// Transport carries messages between engines; nil uses HTTP.
	Transport Transport
}

// Transport sends messages from one engine to another.
type Transport interface {
	// Run forwards activations, Boundary fetches retained ones.
	Run(ctx context.Context, to core.Stage, o target.RunOrder) (target.RunReply, error)
	Boundary(ctx context.Context, to core.Stage, o target.BoundaryOrder) (target.BoundaryReply, error)
}

// httpTransport connects engines in separate processes.
type httpTransport struct{ client *target.Client }

// Run implements Transport.
func (h httpTransport) Run(ctx context.Context, to core.Stage, o target.RunOrder) (target.RunReply, error) {
	return h.client.RunOrder(ctx, to.Address, o)
}

// Boundary implements Transport.
func (h httpTransport) Boundary(ctx context.Context, to core.Stage, o target.BoundaryOrder) (target.BoundaryReply, error) {
	return target.Post[target.BoundaryReply](ctx, h.client, to.Address, target.PathBoundary, o)
}

// prefillSpeedup is the speed of a position of a prompt relative to a generated one.
const prefillSpeedup = 20

// Engine is a fake model engine. It holds a range of layers, runs each position of
// a stream once and in order, and forwards the activations.
type Engine struct {
	options EngineOptions
	// batch is a semaphore with one permit per concurrent run.
	batch chan struct{}

	mu         sync.Mutex
	fence      core.Fence
	holding    target.PlaceOrder
	streams    map[core.RequestID]*engineStream
	leaving    bool
	lastReport target.LoadReport
	nextReport time.Time
	audit      Audit
}

// Audit counts the operations of an engine, for tests.
type Audit struct {
	// Runs and Rebuilt count layers times positions, Rebuilt those run to
	// recompute state.
	Runs    int `json:"runs"`
	Rebuilt int `json:"rebuilt"`
	// Repeats counts answers that were repeated from retained outputs, Stale
	// refusals of runs with an older epoch.
	Repeats int `json:"repeats"`
	Stale   int `json:"stale"`
	// Orders counts placement orders that were carried out, Late those that
	// were refused because they arrived after a newer one.
	Orders int `json:"orders"`
	Late   int `json:"late"`
}

// engineStream is the state of one stream at an engine.
type engineStream struct {
	mu     sync.Mutex
	epoch  core.Epoch
	cache  cache
	next   int
	prompt int
	// outputs holds the activations after the range, by position.
	outputs  []uint64
	released bool
}

// NewEngine returns an engine that holds no layers.
func NewEngine(options EngineOptions) *Engine {
	options.Batch = max(options.Batch, 1)
	if options.Transport == nil {
		options.Transport = httpTransport{client: target.NewClient()}
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
	mux.HandleFunc("POST "+target.PathRebuild, jsonHandler(e.Rebuild))
	mux.HandleFunc("POST "+target.PathBoundary, jsonHandler(e.Boundary))
	mux.HandleFunc("POST "+target.PathRelease, jsonHandler(e.Release))
	mux.HandleFunc("POST "+target.PathOrder, jsonHandler(e.Order))
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

// Run runs positions of a stream on this engine and on the later engines of the chain.
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
	loadThousandths := load.Busy * 1000 / max(load.Slots, 1)
	if len(o.Chain) == 1 {
		token, finish := decodeToken(outputs[len(outputs)-1])
		return target.RunReply{Result: core.ResultDone, Next: o.Position + len(outputs), Token: token, Finish: finish, Load: loadThousandths}
	}
	reply := e.forward(ctx, o, outputs, time.Since(began))
	reply.Load = max(reply.Load, loadThousandths)
	return reply
}

// streamFor returns the stream's state and creates it if needed. It returns nil
// and the reason as a result if the run is refused.
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

// advance runs the next positions, or returns the retained outputs of earlier ones.
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
		in = promptActivations(o.Prompt)
	case o.Token != nil:
		in = []uint64{tokenActivation(*o.Token)}
	}
	if !e.simulateWork(ctx, len(in)*s.cache.layers.Len(), o.Position == 0) {
		return nil, core.ResultBroken
	}
	if o.Position == 0 {
		s.prompt = len(in)
	}
	e.runInputs(s, in)
	e.count(func(a *Audit) { a.Runs += len(in) * s.cache.layers.Len() })
	return s.outputs[o.Position:], core.ResultDone
}

// runInputs runs inputs at the stream's next positions and retains the outputs.
func (e *Engine) runInputs(s *engineStream, in []uint64) {
	for _, activation := range in {
		s.outputs = append(s.outputs, s.cache.run(s.next, activation))
		s.next++
	}
}

// simulateWork occupies the batch for the time that work, in layers times positions, takes.
// It reports false if ctx ends first.
func (e *Engine) simulateWork(ctx context.Context, work int, prefill bool) bool {
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

// forward forwards the activations to the next stage. The timeout of each hop is a
// little shorter than that of the hop before, so that the stage reported as broken
// is the one that did not answer.
func (e *Engine) forward(ctx context.Context, o target.RunOrder, outputs []uint64, spent time.Duration) target.RunReply {
	next := o.Chain[1]
	silence := time.Duration(o.TimeoutMillis)*time.Millisecond - spent
	silence = silence * 9 / 10
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	pause(ctx, e.options.LinkDelay)
	reply, err := e.options.Transport.Run(ctx, next, target.RunOrder{
		Stream: o.Stream, Epoch: o.Epoch, Position: o.Position, Model: o.Model,
		Activations: outputs, Chain: o.Chain[1:], Priority: o.Priority, TimeoutMillis: silence.Milliseconds(),
	})
	if err != nil {
		return target.RunReply{Result: core.ResultBroken, Target: next.Target}
	}
	return reply
}

// Rebuild recomputes the state of a range.
func (e *Engine) Rebuild(ctx context.Context, o target.RebuildOrder) target.RebuildReply {
	in, result, failed := e.rebuildInputs(ctx, o)
	if result != core.ResultDone {
		return target.RebuildReply{Result: result, Target: failed}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	existing, ok := e.streams[o.Stream]
	if ok && o.Epoch.Compare(existing.epoch) < 0 {
		return target.RebuildReply{Result: core.ResultStale, Target: o.Stage.Target}
	}
	if !e.holds(o.Model, o.Stage.Layers) {
		return target.RebuildReply{Result: core.ResultRefused, Target: o.Stage.Target}
	}
	s := &engineStream{epoch: o.Epoch, cache: newCache(o.Stage.Layers), prompt: len(in)}
	if o.Prompt != "" {
		s.prompt = len(promptActivations(o.Prompt))
	}
	e.runInputs(s, in)
	e.streams[o.Stream] = s
	e.audit.Rebuilt += len(in) * o.Stage.Layers.Len()
	return target.RebuildReply{Result: core.ResultDone, Target: o.Stage.Target}
}

// rebuildInputs returns the activations that enter the range. If it fails, it returns
// the result and the target at fault.
func (e *Engine) rebuildInputs(ctx context.Context, o target.RebuildOrder) ([]uint64, core.RunResult, string) {
	if o.Source == nil {
		in := promptActivations(o.Prompt)
		for _, t := range o.Tokens {
			in = append(in, tokenActivation(t))
		}
		return e.simulateRebuild(ctx, o, in)
	}
	reply, err := e.options.Transport.Boundary(ctx, *o.Source,
		target.BoundaryOrder{Stream: o.Stream, Epoch: o.Epoch, Layers: o.Source.Layers, BeforePosition: o.Position})
	if err != nil {
		return nil, core.ResultBroken, o.Source.Target
	}
	if reply.Result != core.ResultDone {
		return nil, reply.Result, o.Source.Target
	}
	return e.simulateRebuild(ctx, o, reply.Activations)
}

func (e *Engine) simulateRebuild(ctx context.Context, o target.RebuildOrder, in []uint64) ([]uint64, core.RunResult, string) {
	if !e.simulateWork(ctx, len(in)*o.Stage.Layers.Len(), true) {
		return nil, core.ResultBroken, o.Stage.Target
	}
	return in, core.ResultDone, o.Stage.Target
}

// Boundary returns the activations that were retained after a range.
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
	if s.next < o.BeforePosition {
		return target.BoundaryReply{Result: core.ResultGap}
	}
	return target.BoundaryReply{Result: core.ResultDone, Activations: s.outputs[:o.BeforePosition]}
}

// Release drops the state of a stream. Its epoch is retained, so that a late run
// of an older epoch does not start the stream again.
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

// Order carries out a placement order.
func (e *Engine) Order(ctx context.Context, o target.PlaceOrder) target.PlaceReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.TTLMillis)*time.Millisecond)
	defer cancel()
	if r := e.checkOrder(o); r != target.OrderDone {
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

// checkOrder checks the fence, and refuses to replace layers that streams still use.
func (e *Engine) checkOrder(o target.PlaceOrder) target.OrderResult {
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

// Load returns the load report, whose counts are refreshed every ReportInterval.
func (e *Engine) Load() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); !now.Before(e.nextReport) {
		e.nextReport = now.Add(e.options.ReportInterval)
		e.lastReport = target.LoadReport{Busy: e.busy(), Slots: e.options.Slots}
	}
	report := e.lastReport
	report.Leaving = e.leaving
	report.LastOrder = e.fence.Sequence
	return report
}

func (e *Engine) count(f func(*Audit)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.audit)
}
