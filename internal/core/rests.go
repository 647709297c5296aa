package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file keeps the rests that plain services behind the product's own interface ask for, shows
// operators which targets rest, and has entry VMs end rests that an operator ends. A rest is
// known to the VM that was asked for it alone; relay/rests.go has the problem.

// RestsEnded tells the runtime of targets, by name, whose rests an operator has ended.
type RestsEnded struct{ Targets []string }

func (RestsEnded) isEffect() {}

// endRests tells the runtime what a lease has changed of ended rests.
func (n *Node) endRests(before config.State) {
	if targets := n.entry.config.RestsEndedSince(before.Revision); len(targets) > 0 {
		n.emit(RestsEnded{Targets: targets})
	}
}

// restsTable lists the targets that have asked this VM for rest.
func (n *Node) restsTable() Table {
	t := Table{Columns: []string{"vm", "target", "until"}}
	for _, r := range n.entry.findings.Resting {
		t.add(n.settings.Self.VM, r.Target, wall(r.Until).Format(time.RFC3339))
	}
	return t
}

// unreadTable lists the names that targets have used and that nothing on this VM reads.
func (n *Node) unreadTable() Table {
	t := Table{Columns: []string{"vm", "name", "count"}}
	for _, u := range n.entry.findings.Unread {
		t.add(n.settings.Self.VM, u.Name, u.Count)
	}
	return t
}

// restTarget notes that a target wants no calls from this VM until a time. Nothing else
// ends that, and it is never shortened.
func (n *Node) restTarget(name string, until time.Time) {
	if !n.now.Before(until) {
		return
	}
	t := n.target(name)
	if until.After(t.restUntil) {
		t.restUntil = until
		n.note("target has asked for rest until "+wall(until).Format(time.RFC3339), name)
	}
}

// rests reports whether a target wants no calls from this VM.
func (n *Node) rests(name string) bool {
	t, ok := n.entry.targets[name]
	return ok && n.now.Before(t.restUntil)
}

func (n *Node) routeRests(r *route) bool {
	return slices.ContainsFunc(r.stages, func(s Stage) bool { return n.rests(s.Target) })
}

// restEnds returns when the first route of a pool is over its rest, and whether all of them
// rest.
func (n *Node) restEnds(p *pool) (first time.Time, all bool) {
	for _, r := range p.routes {
		if !n.routeRests(r) {
			return time.Time{}, false
		}
		end := n.now
		for _, s := range r.stages {
			end = later(end, n.target(s.Target).restUntil)
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

// poolRests returns the refusal of work that can't begin in time because all that could run it
// rest. It is to come back after the first of the rests, spread over as long again.
func (n *Node) poolRests(p *pool, w *waiting) (Refusal, bool) {
	first, all := n.restEnds(p)
	if !all || first.Before(p.latest(w)) {
		return Refusal{}, false
	}
	spread := max(first.Sub(n.now), time.Second)
	return refusal(RefusedOverload, RanNo, "all that could run it have asked for rest", "come back at the given time").
		WithRetryAt(first.Add(time.Duration(n.rand.Int64N(int64(spread))))), true
}
