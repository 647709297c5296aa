package daemon

import (
	"context"

	"github.com/spoolbank/spoolbank/internal/relay"
)

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
