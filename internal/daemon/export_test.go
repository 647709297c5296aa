package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// DecodeHints decodes what a control VM keeps of targets.
var DecodeHints = decodeHints

// LineLimit is the limit of lines on each writer.
type LineLimit = lineLimit

// Pass reports whether a line on a writer may be written, and how many were withheld.
func (l *lineLimit) Pass(writer string, now time.Time) (bool, int) { return l.pass(writer, now) }

// NewGatewayAlone returns the gateway of an entry VM that has a lease, a document and
// targets, and no control VM.
func NewGatewayAlone(p Platform, document *relay.Document, targets []relay.Target) (*Gateway, error) {
	d := &Daemon{log: logr.Discard(), platform: &p, events: make(chan core.Event, eventQueue)}
	d.context, d.cancel = context.WithCancel(context.Background())
	var err error
	if d.metrics, err = newMetrics(d); err != nil {
		return nil, err
	}
	g, err := newGateway(d, p)
	if err != nil {
		return nil, err
	}
	g.started = time.Time{} // long ago: it waits for nobody
	g.leaseUntil = time.Now().Add(time.Hour)
	g.router.TakeVMs(1)
	g.router.TakeDocument(document)
	g.router.TakeTargets(targets)
	g.router.TakeOthers(nil, true)
	return g, nil
}

// Suspect marks a target as found dead at a gateway.
func Suspect(g *Gateway, id relay.TargetID) { g.failed(id, true) }

// ServeCallersOn serves callers on a listener.
func (g *Gateway) ServeCallersOn(server *http.Server, l net.Listener) { g.serveCallersOn(server, l) }

// Kill ends what a gateway alone serves.
func (g *Gateway) Kill() { g.daemon.Kill() }

// UnderWay returns how many requests a gateway has under way at targets.
func UnderWay(g *Gateway) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, w := range g.router.Own() {
		total += w.Requests
	}
	return total
}

// WriteRefusal gives a caller of the product's own interface its refusal.
var WriteRefusal = writeRefusal

// CallEngines asks the engines of a path who of them lives.
func CallEngines(ctx context.Context, e Engines, p relay.Path) (silent []relay.TargetID, paces map[relay.TargetID]float64, certain bool) {
	q := probes{engines: e, known: make(map[string]*probe)}
	r := q.call(ctx, p)
	return r.silent, r.paces, r.certain
}

// Exchanges are what is under way at targets.
type Exchanges struct{ exchanges }

// NewExchanges returns Exchanges with nothing under way.
func NewExchanges() *Exchanges {
	return &Exchanges{exchanges{underWay: make(map[relay.TargetID]map[*exchange]bool)}}
}

// Follow returns a context that ends when a life does.
func (x *Exchanges) Follow(ctx context.Context, id relay.TargetID) (context.Context, func()) {
	return x.follow(ctx, id)
}

// End ends what is under way at a life.
func (x *Exchanges) End(id relay.TargetID) int { return x.end(id) }
