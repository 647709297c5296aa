package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file keeps the limits of plain services behind the product's own interface: the permits
// of their runners are lent as those of registered targets are (limits.go).

// runnerID names a declared target among those that have limits.
func runnerID(name string) relay.TargetID { return relay.TargetID(name) }

// hearLimit takes what a runner says of its limit with an answer.
func (n *Node) hearLimit(name string, answer relay.LimitAnswer) {
	if answer.HeardAt.IsZero() {
		return
	}
	if !n.entry.limits.Hear(runnerID(name), answer) {
		return
	}
	if answer.Limited {
		n.note("target takes so many requests a second from all VMs", name)
		return
	}
	n.note("target takes as many requests as come again", name)
}

// routeLimited reports whether a runner of a route has a limit, and routeShort whether this VM has
// no permit for it.
func (n *Node) routeLimited(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return n.entry.limits.PerSecond(runnerID(s.Target), n.now) > 0 })
}

func (n *Node) routeShort(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return !n.entry.limits.Room(runnerID(s.Target), n.now) })
}

// routePermit takes a permit of the runner that a call goes to, and reports whether that has a limit.
func (n *Node) routePermit(stages []Stage) bool {
	id := runnerID(stages[0].Target)
	return n.entry.limits.PerSecond(id, n.now) > 0 && n.entry.limits.Take(id, n.now)
}

// wantPermits notes that work wants the runners of a pool, and asks for permits where they are
// all that it lacks.
func (n *Node) wantPermits(p *pool) {
	short := false
	for _, r := range p.routes {
		for _, s := range r.stages {
			n.entry.limits.Want(runnerID(s.Target), n.now)
		}
		short = short || n.routeShort(r)
	}
	if short {
		n.renewForPermits()
	}
}

// poolLimited returns the refusal of work behind so much other work that the limits of all that
// could run it don't let it begin in time. It is to come back when there is likely a permit.
func (n *Node) poolLimited(p *pool, w *waiting, ahead float64) (Refusal, bool) {
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
	if !begins.After(p.latest(w)) {
		return Refusal{}, false
	}
	spread := max(begins.Sub(n.now), time.Second)
	return refusal(RefusedOverload, RanNo, "all that could run it take no more requests a second", "come back at the given time").
		WithRetryAt(begins.Add(time.Duration(n.rand.Int64N(int64(spread))))), true
}
