package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// errIncarnationEnded ends an exchange with a target that has started again: no answer comes.
var errIncarnationEnded = errors.New("the target has started again; the request is lost there and may be sent to another")

// exchanges holds how to end what is under way, by the incarnation of the target that it was sent to.
type exchanges struct {
	mu       sync.Mutex
	underWay map[relay.TargetID]map[*exchange]bool
}

type exchange struct{ cancel context.CancelCauseFunc }

// follow returns a context that ends when an incarnation does, and what is called when the exchange
// is over.
func (x *exchanges) follow(ctx context.Context, id relay.TargetID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{cancel: cancel}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.underWay[id] == nil {
		x.underWay[id] = make(map[*exchange]bool)
	}
	x.underWay[id][e] = true
	return ctx, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.underWay[id], e)
		if len(x.underWay[id]) == 0 {
			delete(x.underWay, id)
		}
		cancel(nil)
	}
}

// end ends what is under way at an incarnation, and returns how much that was.
func (x *exchanges) cancelAll(id relay.TargetID) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for e := range x.underWay[id] {
		e.cancel(errIncarnationEnded)
	}
	return len(x.underWay[id])
}

// endTargets takes incarnations of targets that have ended: what runs there is lost and goes on
// elsewhere, and connections to them are closed.
func (g *Gateway) endIncarnations(e core.TargetsEnded) {
	g.mu.Lock()
	addresses := g.router.End(e.Ended)
	g.mu.Unlock()
	for _, a := range addresses {
		g.exchanger.Drop(a)
	}
	lost := 0
	for _, s := range e.Ended {
		lost += g.exchanges.cancelAll(s.Old)
	}
	go g.reportCrashed(g.endings.confirm(e.Ended, clock.Now())) // the loop must not wait for itself
	g.meter.targetsEnded(len(e.Ended))
	g.logEnded(e, lost)
}

// logEnded notes in one line which incarnations have ended, the first ones with their starts.
func (g *Gateway) logEnded(e core.TargetsEnded, lost int) {
	var old, next []string
	var oldBorn, nextBorn []uint64
	for _, s := range e.Ended[:min(len(e.Ended), maxLoggedTargets)] {
		old, oldBorn = append(old, s.Old.Name()), append(oldBorn, s.Old.Born())
		next, nextBorn = append(next, s.New.Name()), append(nextBorn, s.New.Born())
	}
	g.log.Info("targets have started again", "targets", len(e.Ended), "told_by", e.Teller, "requests_lost", lost, "old", old, "old_born", oldBorn, "new", next, "new_born", nextBorn)
}
