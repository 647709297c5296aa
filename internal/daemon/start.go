package daemon

import (
	"context"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

const (
	// startupWindow is how long after its start a process may be unable to route a call: an
	// election, a lease renewal and the heartbeats of the targets.
	startupWindow = 4 * time.Second
	// maxStartupHold is how long a call waits for that: callers abandon a stream after 2 s without
	// an event.
	maxStartupHold = 1600 * time.Millisecond
)

// awaitStart holds a call until this process, if it has just started, has a lease and knows
// targets. After a power loss all callers come back at once, most for their last attempt,
// before the control VMs have a leader and have received the targets' heartbeats.
func (g *Gateway) awaitStart(ctx context.Context) {
	left := min(clock.Until(g.started.Add(startupWindow)), maxStartupHold)
	if left <= 0 || !g.policy.Has(relay.StartWait) {
		return
	}
	select {
	case <-g.routable:
	case <-time.After(left):
	case <-ctx.Done():
	}
}

func (g *Gateway) admit(call *Call) (*relay.Route, *relay.Organisation, *relay.Refusal) {
	now := clock.SampleNow()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.leaseUntil) {
		return nil, nil, &relay.Refusal{Kind: relay.RefusedNoDocument, RetryAt: now.Add(retryElsewhereDelay), Reason: "this VM is out of touch with the control VMs"}
	}
	route, org, refusal := g.router.Admit(call.Host, call.Path, call.Key, now)
	if !g.configStatus.IsCurrent(now) {
		refusal = refusal.WithNewerPossible(now.Add(retryElsewhereDelay))
	}
	if refusal == nil {
		refusal = g.refuseOutlasting(call, route, "", now)
	}
	return route, org, refusal
}

// retryElsewhereDelay is the retry delay for a caller that met a VM without a lease: it then
// opens a new connection, most likely to another VM. Where no VM has a lease, an election ends
// within twice this time.
const retryElsewhereDelay = 500 * time.Millisecond

// retryDelay is the retry delay for a caller whose request no target accepted.
const retryDelay = 50 * time.Millisecond
