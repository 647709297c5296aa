package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// errIncarnationEnded cancels an exchange with a target that has restarted and will not answer.
var errIncarnationEnded = errors.New("the target has started again; the request is lost there and may be sent to another")

// exchanges holds the cancel functions of exchanges in flight, by the incarnation of their target.
type exchanges struct {
	mu       sync.Mutex
	inFlight map[relay.TargetID]map[*exchange]bool
}

type exchange struct{ cancel context.CancelCauseFunc }

// track returns a context that is canceled when an incarnation ends, and a function to call when
// the exchange is over.
func (x *exchanges) track(ctx context.Context, id relay.TargetID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{cancel: cancel}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[id] == nil {
		x.inFlight[id] = make(map[*exchange]bool)
	}
	x.inFlight[id][e] = true
	return ctx, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.inFlight[id], e)
		if len(x.inFlight[id]) == 0 {
			delete(x.inFlight, id)
		}
		cancel(nil)
	}
}

// cancelAll cancels the exchanges in flight at an incarnation, and returns their number.
func (x *exchanges) cancelAll(id relay.TargetID) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for e := range x.inFlight[id] {
		e.cancel(errIncarnationEnded)
	}
	return len(x.inFlight[id])
}

// endIncarnations handles ended incarnations of targets: requests in flight there are lost and
// continue elsewhere, and connections to them are closed.
func (g *Gateway) endIncarnations(e core.TargetsEnded) {
	g.mu.Lock()
	addresses := g.router.EndIncarnations(e.Ended)
	g.mu.Unlock()
	for _, a := range addresses {
		g.exchanger.CloseIdle(a)
	}
	lost := 0
	for _, s := range e.Ended {
		lost += g.exchanges.cancelAll(s.Old)
	}
	go g.reportEnded(e.Ended) // the loop must not block on its own queue
	g.meter.targetsEnded(len(e.Ended))
	g.logEnded(e, lost)
}

// reportEnded reports the runs that may have crashed targets which have started again.
func (g *Gateway) reportEnded(ended []relay.Succession) {
	for _, s := range ended {
		g.reportGivenUp(s.Old)
	}
	g.reportCrashed(g.endChecks.takeConfirmed(ended, clock.Now()))
}

// logEnded logs ended incarnations in one line, the first few with their start times.
func (g *Gateway) logEnded(e core.TargetsEnded, lost int) {
	var old, next []string
	var oldStarts, nextStarts []uint64
	for _, s := range e.Ended[:min(len(e.Ended), maxLoggedTargets)] {
		old, oldStarts = append(old, s.Old.Name()), append(oldStarts, s.Old.StartMillis())
		next, nextStarts = append(next, s.New.Name()), append(nextStarts, s.New.StartMillis())
	}
	g.log.Info("targets have started again", "targets", len(e.Ended), "told_by", e.ReportedBy, "requests_lost", lost, "old", old, "old_born", oldStarts, "new", next, "new_born", nextStarts)
}
