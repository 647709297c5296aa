package daemon

import (
	"context"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// DecodeHints decodes what a control VM keeps of targets.
var DecodeHints = decodeHints

// LineLimit is the limit of lines on each writer.
type LineLimit = lineLimit

// Pass reports whether a line on a writer may be written, and how many were withheld.
func (l *lineLimit) Pass(writer string, now time.Time) (bool, int) { return l.pass(writer, now) }

// CallEngines asks the engines of a path who of them lives.
func CallEngines(ctx context.Context, e Engines, p relay.Path) (silent []relay.TargetID, paces map[relay.TargetID]float64, certain bool) {
	q := probes{engines: e, known: make(map[string]*probe)}
	r := q.call(ctx, p)
	return r.silent, r.paces, r.certain
}
