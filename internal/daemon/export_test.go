package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/settings"
)

// DecodeHints decodes the hints that a control VM stores of targets.
var DecodeHints = decodeHints

// LogLimiter is the rate limit on log lines for each writer.
type LogLimiter = logLimiter

// Allow reports whether a line about a writer may be logged, and how many were suppressed.
func (l *logLimiter) Allow(writer string, now time.Time) (bool, int) { return l.allow(writer, now) }

// NewGatewayAlone returns the gateway of an entry VM that has a lease, a document and
// targets, but no control VM.
func NewGatewayAlone(p Platform, document *relay.Document, targets []relay.Target) (*Gateway, error) {
	d := &Daemon{log: logr.Discard(), platform: &p, events: make(chan core.Event, eventQueueSize), outbox: newOutbox(settings.Limits{}, logr.Discard())}
	d.intake = newIntake(d, 0)
	d.context, d.cancel = context.WithCancel(context.Background())
	var err error
	if d.metrics, err = newMetrics(d); err != nil {
		return nil, err
	}
	g, err := newGateway(d, p)
	if err != nil {
		return nil, err
	}
	g.started = time.Time{} // long ago: it waits for no other VM
	g.leaseUntil = time.Now().Add(time.Hour)
	g.configStatus.ConfirmBy = g.leaseUntil
	g.router.SetVMCount(1)
	g.router.SetDocument(document)
	g.router.UpdateTargets(targets)
	g.router.SetOthersWork(nil, true)
	ReceiveRequests(g)
	return g, nil
}

// ReceiveRequests gives a gateway without a leader a past: the requests of two windows, which
// allow repeats.
func ReceiveRequests(g *Gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	for _, s := range g.router.Document().Services {
		for at := now.Add(-20 * time.Second); at.Before(now); at = at.Add(50 * time.Millisecond) {
			g.router.CountRequest(s.Name, at)
		}
	}
}

// Suspect marks a target as found dead by a gateway.
func Suspect(g *Gateway, id relay.TargetID) { g.recordFailure(id, true) }

// ServeCallersOn serves callers on a listener.
func (g *Gateway) ServeCallersOn(server *http.Server, l net.Listener) { g.serveCallersOn(server, l) }

// Kill ends what a gateway without a control VM serves.
func (g *Gateway) Kill() { g.daemon.Kill() }

// InFlight returns how many requests a gateway has in flight at targets.
func InFlight(g *Gateway) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, w := range g.router.OwnWork() {
		total += w.Requests
	}
	return total
}

// WriteRefusal writes a refusal to a caller of spoolbank's own interface.
var WriteRefusal = writeRefusal

// ProbeEngines probes the engines of a path.
func ProbeEngines(ctx context.Context, e Engines, p relay.Path) (silent []relay.TargetID, paces map[relay.TargetID]float64, certain bool) {
	q := probes{engines: e, known: make(map[string]*probe)}
	r := q.checkLiveness(ctx, p)
	return r.silent, r.paces, r.certain
}

// Exchanges are the exchanges in flight at targets.
type Exchanges struct{ exchanges }

// NewExchanges returns Exchanges with nothing in flight.
func NewExchanges() *Exchanges {
	return &Exchanges{exchanges{inFlight: make(map[relay.TargetID]map[*exchange]bool)}}
}

// Track returns a context that is canceled when an incarnation ends.
func (x *Exchanges) Track(ctx context.Context, id relay.TargetID) (context.Context, func()) {
	return x.track(ctx, id)
}

// CancelAll cancels the exchanges in flight at an incarnation.
func (x *Exchanges) CancelAll(id relay.TargetID) int { return x.cancelAll(id) }

// GatewayFor returns a gateway that serves by a document at once, without a cluster.
func GatewayFor(s settings.Settings, log logr.Logger, p Platform, doc *relay.Document, targets []relay.Target) (*Gateway, error) {
	d := &Daemon{settings: s, log: log, inspect: make(chan func(*core.Node)), outbox: newOutbox(s.Limits, log)}
	d.intake = newIntake(d, int64(s.Limits.MemoryMB)<<20)
	d.context, d.cancel = context.WithCancel(context.Background())
	d.tomb.Kill(nil) // nothing waits for the Node, which does not run
	var err error
	if d.metrics, err = newMetrics(d); err != nil {
		return nil, err
	}
	g, err := newGateway(d, p)
	if err != nil {
		return nil, err
	}
	g.router.SetDocument(doc)
	g.router.UpdateTargets(targets)
	g.router.SetOthersWork(nil, true)
	g.leaseUntil = time.Now().Add(time.Hour)
	g.configStatus.ConfirmBy = g.leaseUntil
	g.leaseHeld = true
	g.signalRoutable()
	return g, nil
}

// Suspects reports whether a target is suspected.
func (g *Gateway) Suspects(id relay.TargetID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.IsSuspect(id, time.Now())
}

// CallerListener returns a listener whose connections buffer data that their callers have not read.
func (g *Gateway) CallerListener(server *http.Server, l net.Listener) net.Listener {
	return g.daemon.outbox.callerListener(server, l)
}

// Upkeep maintains the buffered data, as of a time.
func (g *Gateway) Upkeep(now time.Time) { g.daemon.outbox.upkeep(now) }

// Held returns the bytes buffered for callers and targets, the bound on both together, how
// many callers are behind and how many were ended.
func (g *Gateway) Held() (bytes, bound int64, behind int, ended int64) {
	o := g.daemon.outbox
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holdings.Held(relay.SideCallers) + o.holdings.Held(relay.SideTargets), o.holdings.Bound(), o.holdings.Behind(), o.ended
}

// InFlight returns how many requests are in flight at targets.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, w := range g.router.OwnWork() {
		n += w.Requests
	}
	return n
}

// AddTarget adds a target of the service "llm" to the gateway.
func (g *Gateway) AddTarget(id relay.TargetID, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.UpdateTargets([]relay.Target{{ID: id, Service: "llm", Address: address, Hall: "h", Slots: 1000}})
}

// CallerListener returns a listener whose connections buffer unread data.
func CallerListener(limits settings.Limits, l net.Listener) net.Listener {
	return newOutbox(limits, logr.Discard()).callerListener(&http.Server{}, l)
}

// Metrics returns the present values of the gauges and counters of buffered data.
func (g *Gateway) Metrics() (map[string]float64, error) {
	families, err := g.daemon.metrics.registry.Gather()
	values := make(map[string]float64)
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), "spoolbank_held") {
			continue
		}
		for _, m := range f.GetMetric() {
			values[f.GetName()] += m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return values, err
}

// Posted returns the next event that a gateway without a control VM posts to its Node, or nil.
func Posted(ctx context.Context, g *Gateway) core.Event {
	select {
	case event := <-g.daemon.events:
		return event
	case <-ctx.Done():
		return nil
	}
}

// TakeTarget passes a target to a gateway.
func TakeTarget(g *Gateway, t relay.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.UpdateTargets([]relay.Target{t})
}

// Quarantine sets the one request in quarantine at a gateway.
func Quarantine(g *Gateway, request relay.Fingerprint, until time.Time) {
	item := config.QuarantineItem{Fingerprint: request.String(), Until: until, Trials: []config.Trial{{Items: 1, At: until}}}
	g.setQuarantine(core.QuarantineInForce{Held: map[relay.Fingerprint]relay.Hold{request: {QuarantineItem: item}}})
}

// EndChecks are the checks of targets with which requests broke off.
type EndChecks struct{ endChecks }

// NewEndChecks returns Endings without any.
func NewEndChecks() *EndChecks { return &EndChecks{} }

// Record adds a run, and reports whether its target is to be checked.
func (e *EndChecks) Record(s relay.Stage, request relay.Fingerprint, started bool, now time.Time) bool {
	return e.record(s, run{fingerprints: []labelled{{Fingerprint: request}}, began: now, started: started}, now)
}

// Take ends the check of a target, and returns the requests that had received nothing and how
// many others there were.
func (e *EndChecks) Take(id relay.TargetID) (starting []relay.Fingerprint, midway int) {
	known := e.take(id)
	_, starting, _ = known.describe()
	return starting, known.midway
}

// ApplyNotice makes a gateway apply a notice of a target.
func ApplyNotice(g *Gateway, id relay.TargetID, notice relay.Notice) {
	g.applyNotice(id, notice, clock.Now(), clock.Now())
}

// EnginesOf returns the Engines that a gateway uses.
func EnginesOf(g *Gateway) Engines { return g.platform.Engines }

// FindingsOf returns a gateway's recent findings about targets.
func FindingsOf(g *Gateway) relay.Findings {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Findings(clock.Now())
}

// Execute makes a gateway's daemon execute an effect of its Node.
func Execute(g *Gateway, effect core.Effect) {
	g.daemon.gateway = g
	g.daemon.execute(effect)
}

// UnreadOf returns the names that targets have used and a gateway does not read.
func UnreadOf(g *Gateway) []relay.UnreadName { return g.unread.list() }

// LimitOf returns the limit that a target has reported to a gateway, or 0.
func LimitOf(g *Gateway, id relay.TargetID) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Limit(id, clock.Now())
}

// WaitForPermits makes a number of requests wait for permits of a service.
func WaitForPermits(g *Gateway, service string, requests int) {
	for range requests {
		g.waitForPermit(service, 1)
	}
}

// IncompleteOf sums up the incomplete answers of a gateway.
func IncompleteOf(g *Gateway) string { return g.incomplete.String() }

// RepeatsOf returns how many repeats a gateway has taken.
func RepeatsOf(g *Gateway) (int, error) {
	families, err := g.daemon.metrics.registry.Gather()
	taken := 0.0
	for _, f := range families {
		if f.GetName() != "spoolbank_gateway_repeats_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetName() == "allowed" && label.GetValue() == "true" {
					taken += m.GetCounter().GetValue()
				}
			}
		}
	}
	return int(taken), err
}

// PermitRequestsOf returns what a gateway reports of limits and of repeats to the leader.
func PermitRequestsOf(g *Gateway) []relay.PermitRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.PermitRequests(clock.Now())
}

// ConnectVMs sets the other entry VMs that a gateway knows.
func ConnectVMs(g *Gateway, others func() []core.EntryAddress) { g.tunnels.init(others) }

// ServePeers serves other VMs on a listener, until ctx ends.
func ServePeers(ctx context.Context, g *Gateway, l net.Listener) error {
	g.daemon.gateway, g.daemon.peerListener = g, l
	return g.daemon.servePeersUntil(ctx)
}

// CheckReach makes the checks of a gateway's ways to targets that are due.
func CheckReach(g *Gateway) { g.checkReach() }

// IsolatedFrom reports whether a gateway is isolated from a service.
func IsolatedFrom(g *Gateway, service string) bool { return g.isolatedFrom(service) }

// CarriedTunnels returns how many tunnels a gateway carries for others.
func CarriedTunnels(g *Gateway) int { return int(g.tunnels.carried.Load()) }

// UsageOf returns what a gateway counts of a service in the last window.
func UsageOf(g *Gateway, service string) relay.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Usage(clock.Now())[service]
}

// LeaveRepeats uses the credit of a gateway for a service until n repeats are left.
func LeaveRepeats(g *Gateway, service string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	for g.router.RepeatAccount(service, now).UnstartedLeft > n {
		g.router.AllowRepeat(service, true, now)
	}
}

// GivenUpRuns are the runs that a gateway has given up.
type GivenUpRuns struct{ runs givenUpRuns }

// NewGivenUpRuns returns GivenUpRuns without any.
func NewGivenUpRuns() *GivenUpRuns { return &GivenUpRuns{} }

// Add adds a run.
func (g *GivenUpRuns) Add(id relay.TargetID, request relay.Fingerprint, began, ended time.Time) {
	g.runs.add(givenUpRun{run: run{fingerprints: []labelled{{Fingerprint: request}}, began: began}, target: id, endedAt: ended})
}

// Take returns and removes the runs that were given up at a target.
func (g *GivenUpRuns) Take(id relay.TargetID, now time.Time) []relay.CrashedRun {
	return g.runs.take(id, now)
}

// Len returns the number of runs that are kept.
func (g *GivenUpRuns) Len() int { return len(g.runs.runs) }

// SetConfigStatus sets how current the document of a gateway is.
func SetConfigStatus(g *Gateway, s core.ConfigStatus) { g.setConfigStatus(s) }

// StopGateway begins the planned stop of a gateway.
func StopGateway(g *Gateway) { g.stop() }

// CallersAlone returns the product's own interface of a daemon whose Node does not run, and a function that ends the
// daemon.
func CallersAlone(s settings.Settings) (http.Handler, func(), error) {
	d := &Daemon{settings: s, log: logr.Discard(), events: make(chan core.Event, eventQueueSize), outbox: newOutbox(s.Limits, logr.Discard())}
	d.intake = newIntake(d, 0)
	var err error
	if d.metrics, err = newMetrics(d); err != nil {
		return nil, nil, err
	}
	d.callers = newCallers(d)
	return d.callers.routes(), d.Kill, nil
}

// SetLog sets the log of a gateway.
func SetLog(g *Gateway, log logr.Logger) { g.log = log }

// CloseIdle closes the idle connections of a gateway to targets, which nothing else closes without its upkeep.
func CloseIdle(g *Gateway) { g.exchanger.CloseExpired(clock.Now().Add(time.Hour)) }
