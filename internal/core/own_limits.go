package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file keeps the rate limits of plain services behind the product's own interface. Permits
// of their runners are granted in the same way as those of registered targets (limits.go).

// runnerID identifies a declared target in the rate limits.
func runnerID(name string) relay.TargetID { return relay.TargetID(name) }

// recordLimit records the rate limit that a runner reported with an answer.
func (n *Node) recordLimit(name string, answer relay.LimitAnswer) {
	if answer.ReceivedAt.IsZero() {
		return
	}
	if !n.entry.limits.Observe(runnerID(name), answer) {
		return
	}
	if answer.Limited {
		n.note("target limits the requests per second of all VMs", name)
		return
	}
	n.note("target no longer limits the rate of requests", name)
}

// routeLimited reports whether a runner of a route has a limit, and routeLacksPermit whether this
// VM has no permit for one of them.
func (n *Node) routeLimited(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return n.entry.limits.PerSecond(runnerID(s.Target), n.now) > 0 })
}

func (n *Node) routeLacksPermit(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return !n.entry.limits.Available(runnerID(s.Target), n.now) })
}

// takeRoutePermit takes a permit of the runner that a call goes to. It reports whether the runner
// has a limit and a permit was taken.
func (n *Node) takeRoutePermit(stages []Stage) bool {
	id := runnerID(stages[0].Target)
	return n.entry.limits.PerSecond(id, n.now) > 0 && n.entry.limits.Acquire(id, n.now)
}

// recordPermitDemand records that work waits for the runners of a pool, and requests permits if any
// route lacks one.
func (n *Node) recordPermitDemand(p *pool) {
	short := false
	for _, r := range p.routes {
		for _, s := range r.stages {
			n.entry.limits.NoteDemand(runnerID(s.Target), n.now)
		}
		short = short || n.routeLacksPermit(r)
	}
	if short {
		n.renewForPermits()
	}
}

// poolLimitRefusal returns the refusal of work that can't start in time because of the work ahead
// of it and the rate limits of all runners of the pool. The caller is to retry when there is
// likely a permit.
func (n *Node) poolLimitRefusal(p *pool, w *queuedWork, ahead float64) (Refusal, bool) {
	perSecond := 0.0
	for _, r := range p.routes {
		if !n.routeLimited(r) {
			return Refusal{}, false
		}
		for _, s := range r.stages {
			perSecond += n.entry.limits.Rate(runnerID(s.Target), max(len(n.entry.view), 1), n.now)
		}
	}
	if perSecond <= 0 {
		return Refusal{}, false
	}
	begins := n.now.Add(time.Duration((ahead + 1) / perSecond * float64(time.Second)))
	if !begins.After(p.latestStart(w)) {
		return Refusal{}, false
	}
	spread := max(begins.Sub(n.now), time.Second)
	return refusal(RefusedOverload, RanNo, "all that could run it take no more requests a second", "come back at the given time").
		WithRetryAt(begins.Add(time.Duration(n.rand.Int64N(int64(spread))))), true
}
