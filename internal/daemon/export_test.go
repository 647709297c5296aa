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
