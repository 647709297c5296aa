package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has the leader report the work of all entry VMs to each of them.
//
// Problem: each entry VM chooses targets by the work in flight at each, and there are ten
// targets per VM. If each lease carried the work at all of them, the leader's bytes would grow
// with the square of the deployment.
//
// Algorithm: the leader sums the work of all entry VMs, which control VMs sum for the ones that
// renew with them (forwarding.go), and numbers each target whose work has changed much since it
// was last reported. A holder names the highest number that it has, and its next lease carries
// the changes after it, oldest first and for at most maxWorkPerGrant targets. A lost lease
// costs nothing, since the holder asks again from the number that it has.
//
// A new leader reports no work until all entry VMs that follow it have renewed with it, or have
// had the time to: until then its sums would be too low, and holders do better with those of
// the previous leader.
//
// Invariants: a holder that has a number has received the work of every target whose newest
// number is at most that; the numbers of a term are above those of all earlier terms.
//
// Limits: where more than maxWorkPerGrant targets change within one renewal interval, holders
// fall behind by as many renewals as it takes.

const (
	// minWorkChange is the change in requests at a target that is reported, and
	// minWorkChangeRatio the same as a fraction of the number reported last. The larger of the
	// two applies.
	minWorkChange      = 2
	minWorkChangeRatio = 0.1
	// maxWorkPerGrant bounds the targets with changed work in one lease, which is sent often.
	maxWorkPerGrant = 256
	// maxMarksPerGrant bounds the targets with changed marks in one lease.
	maxMarksPerGrant = 1024
	// maxTargetsPerBatch bounds the targets in one batch; a control VM is sent all of them only
	// after an election.
	maxTargetsPerBatch = 2048
	// workReportDelay is how long after its election a leader knows the work of all entry VMs: they
	// renew every 0.5 s and find a new leader within two renewals.
	workReportDelay = 1200 * time.Millisecond
	// controlsEvery is the interval between two checks for live control VMs.
	controlsEvery = 300 * time.Millisecond
)

// newWorkLog returns a log of the work at targets whose numbers are above first.
func newWorkLog(first uint64) changeLog[relay.Work] { return newChangeLog(first, changedMuch) }

// newMarkLog returns a log of the marks of targets whose numbers are above first.
func newMarkLog(first uint64) changeLog[relay.Mark] {
	return newChangeLog(first, func(sent, now relay.Mark) bool { return sent != now })
}

func changedMuch(sent, now relay.Work) bool {
	if (sent.Requests == 0) != (now.Requests == 0) {
		return true
	}
	change := now.Requests - sent.Requests
	return max(change, -change) >= max(minWorkChange, int(minWorkChangeRatio*float64(sent.Requests)))
}

// fleetState returns the fleet state that this VM reports to its holders: its own sums if it
// leads, otherwise what it last received from the leader.
func (n *Node) fleetState() *fleetReport {
	if !n.canGrant() {
		return &n.forwarding.report
	}
	f := n.leader.fleetNow(n)
	report := &fleetReport{
		term: n.replica.hard.Term, leader: n.settings.Self.VM, vms: f.vms,
		workKnown: n.knowsWork(), work: n.leader.work, marks: n.leader.marks, usage: f.usage, usageVMs: f.usageVMs,
	}
	if !n.now.Before(n.leader.viewCompleteAt) {
		report.view = n.leader.view
	}
	return report
}

// addToGrant adds to a lease the known state of all entry VMs and targets.
func (t *fleetReport) addToGrant(g *Grant, to Renew) {
	g.VMs = t.vms
	marks := t.marks.since(to.MarksSeen, maxMarksPerGrant)
	g.Marks, g.MarksThrough, g.MarksComplete = marks.values, marks.through, marks.complete
	if !t.workKnown {
		g.WorkThrough = to.WorkSeen
		return
	}
	g.WorkReported = true
	g.Usage, g.UsageVMs = t.usage, t.usageVMs
	work := t.work.since(to.WorkSeen, maxWorkPerGrant)
	g.Others, g.WorkThrough, g.OthersComplete = work.values, work.through, work.complete
	for key, w := range g.Others {
		g.Others[key] = w.Minus(to.Work[key])
	}
}

// addFleetToBatch adds to a batch the leader's state of all entry VMs and targets.
func (n *Node) addFleetToBatch(b RenewBatch, g *GrantBatch) {
	f := n.leader.fleetNow(n)
	g.VMs = f.vms
	marks := n.leader.marks.since(b.MarksSeen, maxTargetsPerBatch)
	g.Marks, g.MarksThrough, g.MarksComplete = marks.values, marks.through, marks.complete
	if !n.knowsWork() {
		g.WorkThrough = b.WorkSeen
		return
	}
	g.WorkReported = true
	g.Usage, g.UsageVMs = f.usage, f.usageVMs
	work := n.leader.work.since(b.WorkSeen, maxTargetsPerBatch)
	g.Work, g.WorkThrough, g.WorkComplete = work.values, work.through, work.complete
}

// knowsWork reports whether this leader knows the work of all entry VMs.
func (n *Node) knowsWork() bool {
	return !n.now.Before(n.leader.workCompleteAt) || n.allHaveReported()
}

// allHaveReported reports whether each control VM that follows this one has reported its entry
// VMs, and each entry VM has renewed since the election. After a loss of all VMs that is the
// case one second before workReportDelay ends, and all entry VMs choose by their own work alone
// until then.
func (n *Node) allHaveReported() bool {
	for vm, f := range n.registry.followers {
		if _, reported := n.leader.aggregates[vm]; f.control && n.now.Before(f.until) && !reported {
			return false
		}
	}
	settled := !n.now.Before(n.leader.workCompleteAt.Add(-workReportDelay + n.settings.Timing.RenewInterval))
	return settled && n.hasEntryFollowers() && n.leasesHeld() == n.entriesKnown()
}

// hasEntryFollowers reports whether any entry VM follows a control VM, as those that renew do.
func (n *Node) hasEntryFollowers() bool {
	following := n.entryFollowers()
	for _, p := range n.leader.aggregates {
		following += p.following
	}
	return following > 0
}

// entriesKnown counts the entry VMs that have a lease, or follow a control VM and will ask for
// a lease.
func (n *Node) entriesKnown() int {
	known := make(map[VMName]bool)
	for vm, l := range n.leader.leases {
		if n.now.Before(l.until) {
			known[vm] = true
		}
	}
	expected := n.expectedHolders()
	for _, p := range n.leader.aggregates {
		if n.now.Before(p.at.Add(n.aggregateTTL())) {
			expected = append(expected, p.expected...)
		}
	}
	for _, vm := range expected {
		known[vm] = true
	}
	return len(known)
}

// leasesHeld counts the leases that haven't expired.
func (n *Node) leasesHeld() int {
	held := 0
	for _, l := range n.leader.leases {
		if n.now.Before(l.until) {
			held++
		}
	}
	return held
}

// aggregateTTL is how long a control VM's report on its holders is valid; by then its holders
// renew elsewhere.
func (n *Node) aggregateTTL() time.Duration { return n.settings.Timing.listedDuration() }

// fleetTotals is the sum over all entry VMs. It is cached, since hundreds of leases per second
// carry it.
type fleetTotals struct {
	at   time.Time
	vms  int
	work map[relay.TargetKey]relay.Work
	// usage counts the requests and repeats of usageVMs entry VMs, by service.
	usage    map[string]relay.Usage
	usageVMs int
	// marks are those of silent targets, of targets that far more entry VMs find failed than
	// healthy, of engines that are to give up layers, and of slow or limited targets.
	marks map[relay.TargetKey]relay.Mark
}

// fleetMaxAge is the age at which the sum is recomputed.
const fleetMaxAge = 100 * time.Millisecond

func (l *leaderState) fleetNow(n *Node) fleetTotals {
	if n.now.Before(l.fleet.at.Add(fleetMaxAge)) {
		return l.fleet
	}
	l.fleet = fleetTotals{at: n.now, work: make(map[relay.TargetKey]relay.Work), usage: make(map[string]relay.Usage)}
	failed := make(map[relay.TargetKey]int)
	healthy := make(map[relay.TargetKey]int)
	var slow []relay.TargetKey
	add := func(aggregate FleetAggregate) {
		l.fleet.usageVMs += aggregate.VMs
		for service, s := range aggregate.Usage {
			l.fleet.usage[service] = l.fleet.usage[service].Plus(s)
		}
		for id, w := range aggregate.Work {
			l.fleet.work[id] = l.fleet.work[id].Plus(w)
		}
		for id, vms := range aggregate.Failed {
			failed[id] += vms
		}
		for id, vms := range aggregate.Healthy {
			healthy[id] += vms
		}
		slow = append(slow, aggregate.Slow...)
	}
	add(n.sumHolders())
	for _, aggregate := range l.aggregates {
		if n.now.Before(aggregate.at.Add(n.aggregateTTL())) {
			add(aggregate.FleetAggregate)
		}
	}
	l.fleet.vms = n.entriesKnown()
	l.work.update(l.fleet.work)
	l.fleet.marks = n.marksOf(failed, healthy)
	for _, key := range slow {
		l.fleet.marks[key] = l.fleet.marks[key].With(relay.MarkSlow)
	}
	l.permitAllocator.Forget(n.now)
	for _, key := range l.permitAllocator.Limited() {
		l.fleet.marks[key] = l.fleet.marks[key].With(relay.MarkLimited)
	}
	l.marks.update(l.fleet.marks)
	return l.fleet
}

// marksOf returns the marks of targets, given how many entry VMs find each failed or healthy.
//
// An engine that holds no layers yet isn't marked: an order takes nothing from its users. At a
// start all engines are ordered at once.
func (n *Node) marksOf(failed, healthy map[relay.TargetKey]int) map[relay.TargetKey]relay.Mark {
	marks := make(map[relay.TargetKey]relay.Mark)
	for _, id := range n.silentTargets() {
		marks[id.Key()] = relay.MarkSilent
	}
	for key, vms := range failed {
		if vms >= minFailedFindings && vms >= failedRatio*healthy[key] {
			marks[key] = relay.MarkSilent
		}
	}
	for id, order := range n.leader.layerPlacement.orders {
		// An engine that reports the ordered layers has moved, though its order is checked up
		// to half a second later. Marked until then, it would receive no requests for that
		// time.
		if t, ok := n.registry.targets.Get(id); ok && t.Layers.Len() > 0 && t.Layers != order.layers {
			marks[id.Key()] = marks[id.Key()].With(relay.MarkMoving)
		}
	}
	return marks
}

// applyFleet applies the fleet state that came with a lease.
func (n *Node) applyFleet(g Grant) {
	if len(g.ControlVMs) > 0 {
		n.entry.controls, n.entry.controlsSeen = g.ControlVMs, g.ControlsVersion
		n.preferFirstOfHall()
	}
	n.applyPermits(g)
	if !n.hasRegisteringTargets() {
		return
	}
	n.entry.workSeen, n.entry.marksSeen = g.WorkThrough, g.MarksThrough
	n.emit(FleetLearned{LeaseUntil: n.entry.lease.until, VMs: g.VMs, Others: g.Others, OthersComplete: g.OthersComplete, OthersReported: g.WorkReported, Usage: g.Usage, UsageVMs: g.UsageVMs, Marks: g.Marks, MarksComplete: g.MarksComplete})
}
