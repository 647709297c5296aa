package daemon

import (
	"context"
	"sync"
	"time"
)

// probes asks engines which requests stand still. Probes are priced, so that
// many streams that stop at once share one.
type probes struct {
	engines Engines
	mu      sync.Mutex
	known   map[string]*probe
}

// probe is one question to one engine, under way or answered.
type probe struct {
	at      time.Time
	done    chan struct{}
	stalled map[string]string
	err     error
}

const (
	// probeKept is the age up to which an answer serves others too: reports lag by
	// some 200 ms themselves.
	probeKept = 150 * time.Millisecond
	// probeLimit bounds the wait for an answer; one takes about 2 ms.
	probeLimit = 300 * time.Millisecond
)

// ask returns what stands still at an engine.
func (p *probes) ask(ctx context.Context, address string) (map[string]string, error) {
	p.mu.Lock()
	q, ok := p.known[address]
	if !ok || time.Since(q.at) > probeKept {
		q = &probe{at: time.Now(), done: make(chan struct{})}
		p.known[address] = q
		go p.run(q, address)
	}
	p.mu.Unlock()
	select {
	case <-q.done:
		return q.stalled, q.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *probes) run(q *probe, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	q.stalled, q.err = p.engines.Stalled(ctx, address)
	close(q.done)
}
