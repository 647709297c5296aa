package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// probes asks engines how they are. Probes are priced, so that many streams that stop at
// once share one.
type probes struct {
	engines Engines
	mu      sync.Mutex
	known   map[string]*probe
}

// probe is one question to one engine, under way or answered.
type probe struct {
	at     time.Time
	done   chan struct{}
	report EngineReport
	err    error
}

const (
	// probeKept is the age up to which an answer serves others too: reports lag by
	// some 200 ms themselves.
	probeKept = 150 * time.Millisecond
	// probeLimit bounds the wait for an answer; one takes about 2 ms.
	probeLimit = 300 * time.Millisecond
	// aliveKept is the age up to which an answer tells whether an engine lives: a pause is
	// over twice as long when its engines are asked.
	aliveKept = 40 * time.Millisecond
	// aliveWithin is the time within which an engine that lives has answered: ten times the
	// usual 2 ms, over a connection that is made for it.
	aliveWithin = 20 * time.Millisecond
)

// start returns the question to an engine whose answer is no older than kept.
func (p *probes) start(engine relay.Stage, kept time.Duration) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.known[engine.Address]
	if !ok || clock.Since(q.at) > kept {
		q = &probe{at: clock.Now(), done: make(chan struct{})}
		p.known[engine.Address] = q
		go p.run(q, engine)
	}
	return q
}

// ask returns what an engine says.
func (p *probes) ask(ctx context.Context, engine relay.Stage) (EngineReport, error) {
	q := p.start(engine, probeKept)
	select {
	case <-q.done:
		return q.report, q.err
	case <-ctx.Done():
		return EngineReport{}, ctx.Err()
	}
}

func (p *probes) run(q *probe, engine relay.Stage) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	q.report, q.err = p.engines.Report(ctx, engine)
	close(q.done)
}

// roll is what the engines of a path answered.
type roll struct {
	// silent are those that did not answer, or where another incarnation did.
	silent []relay.TargetID
	// paces are those that told how slow they are.
	paces map[relay.TargetID]float64
	// certain says that an engine which did not answer is lost: some did answer, and this
	// process was awake meanwhile.
	certain bool
}

// call asks all engines of a path at once who of them lives.
func (p *probes) call(ctx context.Context, path relay.Path) roll {
	asked := make([]*probe, len(path.Stages))
	for i, s := range path.Stages {
		asked[i] = p.start(s, aliveKept)
	}
	until := clock.Now().Add(aliveWithin)
	timer := time.NewTimer(aliveWithin)
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
	r := roll{paces: make(map[relay.TargetID]float64)}
	for i, q := range asked {
		id := path.Stages[i].Target
		select {
		case <-q.done:
			switch {
			case errors.Is(q.err, ErrEngineSilent), q.err == nil && id.OtherIncarnation(q.report.Born):
				r.silent = append(r.silent, id)
			case q.err == nil && q.report.Pace > 0:
				r.paces[id] = q.report.Pace
			}
		default:
			r.silent = append(r.silent, id)
		}
	}
	r.certain = ctx.Err() == nil && len(r.silent) < len(asked) && clock.Since(until) < lateWake
	return r
}

// slow returns the engines that say that their steps take longer than usual.
func (r roll) slow() map[relay.TargetID]float64 {
	slow := make(map[relay.TargetID]float64)
	for id, pace := range r.paces {
		if pace > 1 {
			slow[id] = pace
		}
	}
	return slow
}
