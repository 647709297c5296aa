package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file keeps the backoffs that plain services behind the product's own interface ask for,
// shows operators which targets have asked for one, and makes entry VMs end the backoffs that
// an operator ends. Only the VM that was asked for a backoff knows of it; relay/backoffs.go has
// the problem.

// BackoffsEnded passes to the runtime the names of targets whose backoffs an operator has
// ended.
type BackoffsEnded struct{ Targets []string }

func (BackoffsEnded) isEffect() {}

// endBackoffs ends the backoffs that an operator has ended since the previous configuration.
func (n *Node) endBackoffs(before config.State) {
	if targets := n.entry.config.BackoffsEndedSince(before.Revision); len(targets) > 0 {
		n.emit(BackoffsEnded{Targets: targets})
	}
}

// backoffsTable lists the targets that have asked this VM to back off.
func (n *Node) backoffsTable() Table {
	t := Table{Columns: []string{"vm", "target", "until"}}
	for _, r := range n.entry.findings.BackedOff {
		t.add(n.settings.Self.VM, r.Target, wallClock(r.Until).Format(time.RFC3339))
	}
	return t
}

// unreadTable lists the names used by targets that nothing on this VM reads.
func (n *Node) unreadTable() Table {
	t := Table{Columns: []string{"vm", "name", "count"}}
	for _, u := range n.entry.findings.Unread {
		t.add(n.settings.Self.VM, u.Name, u.Count)
	}
	return t
}

// backOffTarget records that a target accepts no calls from this VM until the given time. A
// backoff is never shortened, and nothing else ends it.
func (n *Node) backOffTarget(name string, until time.Time) {
	if !n.now.Before(until) {
		return
	}
	t := n.target(name)
	if until.After(t.backoffUntil) {
		t.backoffUntil = until
		n.note("target has asked this VM to back off until "+wallClock(until).Format(time.RFC3339), name)
	}
}

// backedOff reports whether a target currently accepts no calls from this VM.
func (n *Node) backedOff(name string) bool {
	t, ok := n.entry.targets[name]
	return ok && n.now.Before(t.backoffUntil)
}

func (n *Node) routeBackedOff(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return n.backedOff(s.Target) })
}

// backoffEnds returns when the first route of a pool is past its backoff, and whether all of
// its routes have one.
func (n *Node) backoffEnds(p *pool) (first time.Time, all bool) {
	for _, r := range p.routes {
		if !n.routeBackedOff(r) {
			return time.Time{}, false
		}
		end := n.now
		for _, s := range r.stages {
			end = later(end, n.target(s.Target).backoffUntil)
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first, len(p.routes) > 0
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// poolBackoffRefusal returns the refusal of work that can't start in time because every route of
// the pool has a backoff. The caller is to retry after the first backoff ends, spread over the same
// time again.
func (n *Node) poolBackoffRefusal(p *pool, w *queuedWork) (Refusal, bool) {
	first, all := n.backoffEnds(p)
	if !all || first.Before(p.latestStart(w)) {
		return Refusal{}, false
	}
	spread := max(first.Sub(n.now), time.Second)
	return refusal(RefusedOverload, RanNo, "all that could run it have asked to back off", "come back at the given time").
		WithRetryAt(first.Add(time.Duration(n.rand.Int64N(int64(spread))))), true
}
