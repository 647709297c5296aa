package daemon

import (
	"context"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

const (
	// startTime is how long after its start a process may not know what to do with
	// a call: an election, a renewal and the beats of the targets.
	startTime = 4 * time.Second
	// startHold is how long a call waits for that: callers give a stream up after
	// 2 s without an event.
	startHold = 1600 * time.Millisecond
)

// awaitStart holds a call of a process that has just started until it has a lease
// and knows targets. After a loss of power all callers come back at once, most for
// the last time, before the control VMs have a leader and have heard the targets.
func (g *Gateway) awaitStart(ctx context.Context) {
	left := min(clock.Until(g.started.Add(startTime)), startHold)
	if left <= 0 || !g.policy.Has(relay.StartWait) {
		return
	}
	select {
	case <-g.informed:
	case <-time.After(left):
	case <-ctx.Done():
	}
}

func (g *Gateway) admit(call *Call) (*relay.Route, *relay.Organisation, *relay.Refusal) {
	now := clock.Sampled()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.leaseUntil) {
		return nil, nil, &relay.Refusal{Kind: relay.RefusedNoDocument, RetryAt: now.Add(comeBackElsewhere), Reason: "this VM is out of touch with the control VMs"}
	}
	route, org, refusal := g.router.Admit(call.Host, call.Path, call.Key, now)
	if refusal == nil {
		refusal = g.outlasts(call, route, now)
	}
	return route, org, refusal
}

// comeBackElsewhere is when a caller that met a VM without a lease tries again:
// it opens a new connection then, most likely to another VM. Where all of them
// have none, an election ends within twice this time.
const comeBackElsewhere = 500 * time.Millisecond

// comeBackAtOnce is when a caller whose request no target took tries again.
const comeBackAtOnce = 50 * time.Millisecond
