package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// probes asks engines for their reports. Probes have a cost, so streams that stall at the same
// time share one.
type probes struct {
	engines Engines
	mu      sync.Mutex
	known   map[string]*probe
}

// probe is one report request to one engine, in progress or answered.
type probe struct {
	at     time.Time
	done   chan struct{}
	report EngineReport
	err    error
}

const (
	// probeTTL is the age up to which a report is shared: reports themselves lag by some 200 ms.
	probeTTL = 150 * time.Millisecond
	// probeTimeout bounds the wait for a report; one takes about 2 ms.
	probeTimeout = 300 * time.Millisecond
	// livenessTTL is the age up to which a report proves an engine alive: a pause is more than
	// twice as long when its engines are checked.
	livenessTTL = 40 * time.Millisecond
	// livenessTimeout is the time within which a live engine answers: ten times the usual 2 ms,
	// over a new connection.
	livenessTimeout = 20 * time.Millisecond
)

// start returns a probe of an engine that is no older than ttl.
func (p *probes) start(engine relay.Stage, ttl time.Duration) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.known[engine.Address]
	if !ok || clock.Since(q.at) > ttl {
		q = &probe{at: clock.Now(), done: make(chan struct{})}
		p.known[engine.Address] = q
		go p.run(q, engine)
	}
	return q
}

// ask returns an engine's report.
func (p *probes) ask(ctx context.Context, engine relay.Stage) (EngineReport, error) {
	q := p.start(engine, probeTTL)
	select {
	case <-q.done:
		return q.report, q.err
	case <-ctx.Done():
		return EngineReport{}, ctx.Err()
	}
}

func (p *probes) run(q *probe, engine relay.Stage) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q.report, q.err = p.engines.Report(ctx, engine)
	close(q.done)
}

// livenessResult is the outcome of a liveness check of a path's engines.
type livenessResult struct {
	// silent are the engines that did not answer, or where another incarnation answered.
	silent []relay.TargetID
	// paces are the engines that reported how slow they are.
	paces map[relay.TargetID]float64
	// certain is set if engines without an answer are lost: others did answer, and this process
	// was running meanwhile.
	certain bool
}

// checkLiveness checks the liveness of all engines of a path at once.
func (p *probes) checkLiveness(ctx context.Context, path relay.Path) livenessResult {
	asked := make([]*probe, len(path.Stages))
	for i, s := range path.Stages {
		asked[i] = p.start(s, livenessTTL)
	}
	until := clock.Now().Add(livenessTimeout)
	timer := time.NewTimer(livenessTimeout)
	defer timer.Stop()
	for _, q := range asked {
		select {
		case <-q.done:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	r := livenessResult{paces: make(map[relay.TargetID]float64)}
	for i, q := range asked {
		id := path.Stages[i].Target
		select {
		case <-q.done:
			switch {
			case errors.Is(q.err, ErrEngineSilent), q.err == nil && id.OtherIncarnation(q.report.StartMillis):
				r.silent = append(r.silent, id)
			case q.err == nil && q.report.Pace > 0:
				r.paces[id] = q.report.Pace
			}
		default:
			r.silent = append(r.silent, id)
		}
	}
	r.certain = ctx.Err() == nil && len(r.silent) < len(asked) && clock.Since(until) < maxWakeDelay
	return r
}

// slow returns the engines that report slower steps than usual.
func (r livenessResult) slow() map[relay.TargetID]float64 {
	slow := make(map[relay.TargetID]float64)
	for id, pace := range r.paces {
		if pace > 1 {
			slow[id] = pace
		}
	}
	return slow
}
