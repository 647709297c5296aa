package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has the leader tell entry VMs what all of them have under way.
//
// Problem: each entry VM chooses by the work at every target, and there are ten
// targets to a VM. Were each lease to carry the work at all of them, the leader's bytes
// would grow with the square of the deployment.
//
// Algorithm: the leader sums up the work of all entry VMs, which control VMs sum up for
// those that renew with them (forwarding.go), and numbers what has changed
// much since it was last told. A holder names the number that it has, and its next
// lease carries what has changed after it, the oldest first and no more than workMost
// targets. A lease that is lost costs nothing, since its holder asks from where it is.
//
// A new leader tells nothing until all entry VMs that follow it have renewed with it, or
// would have: its sums would be
// too low, and holders do better with those of the leader before.
//
// Invariants: a holder that has a number has been told of every target whose newest
// number is at most that; the numbers of a term are above those of all terms before.
//
// Limits: where more than workMost targets change within a renewal, holders fall behind
// by as many renewals as it takes.

const (
	// workStep is the change of requests at a target that is told of, and workShare
	// that as a part of what was told last.
	workStep  = 2
	workShare = 0.1
	// workMost bounds the targets with changed work in one lease, which comes often.
	workMost = 256
	// marksMost bounds the targets with changed marks in one lease.
	marksMost = 1024
	// batchWorkMost bounds the targets in one batch, which a control VM is sent in full only
	// after an election.
	batchWorkMost = 2048
	// workSettle is how long after its election a leader has been told of the work of all
	// entry VMs: they renew every 0.5 s, and find a new leader in two renewals.
	workSettle = 1200 * time.Millisecond
	// controlsEvery is the interval between two looks at which control VMs live.
	controlsEvery = 300 * time.Millisecond
)

// newWorkLog returns a log of the work at targets whose numbers are above first.
func newWorkLog(first uint64) changeLog[relay.Work] { return newChangeLog(first, differsMuch) }

// newMarkLog returns a log of the marks of targets whose numbers are above first.
func newMarkLog(first uint64) changeLog[relay.Mark] {
	return newChangeLog(first, func(sent, now relay.Mark) bool { return sent != now })
}

func differsMuch(sent, now relay.Work) bool {
	if (sent.Requests == 0) != (now.Requests == 0) {
		return true
	}
	change := now.Requests - sent.Requests
	return max(change, -change) >= max(workStep, int(workShare*float64(sent.Requests)))
}

// fleetToReport returns what this VM may tell its holders of the fleet: its own sums where it
// leads, what the leader last said elsewhere.
func (n *Node) fleetToReport() *fleetReport {
	if !n.leads() {
		return &n.forwarding.report
	}
	f := n.leading.fleetNow(n)
	report := &fleetReport{
		term: n.replica.hard.Term, leader: n.settings.Self.VM, vms: f.vms,
		known: n.knowsWork(), work: n.leading.work, marks: n.leading.marks, usage: f.usage, usageBy: f.usageBy,
	}
	if !n.now.Before(n.leading.viewFrom) {
		report.view = n.leading.view
	}
	return report
}

// addTo adds to a lease what is known of all entry VMs and targets.
func (t *fleetReport) addTo(g *Grant, to Renew) {
	g.VMs = t.vms
	marks := t.marks.since(to.MarksSeen, marksMost)
	g.Marks, g.MarksUpto, g.MarksWhole = marks.values, marks.upto, marks.whole
	if !t.known {
		g.WorkUpto = to.WorkSeen
		return
	}
	g.WorkReported = true
	g.Usage, g.UsageBy = t.usage, t.usageBy
	work := t.work.since(to.WorkSeen, workMost)
	g.Others, g.WorkUpto, g.OthersWhole = work.values, work.upto, work.whole
	for key, w := range g.Others {
		g.Others[key] = w.Minus(to.Work[key])
	}
}

// addWork adds to a batch what the leader knows of all entry VMs and targets.
func (n *Node) addWork(b RenewBatch, g *GrantBatch) {
	f := n.leading.fleetNow(n)
	g.VMs = f.vms
	marks := n.leading.marks.since(b.MarksSeen, batchWorkMost)
	g.Marks, g.MarksUpto, g.MarksWhole = marks.values, marks.upto, marks.whole
	if !n.knowsWork() {
		g.WorkUpto = b.WorkSeen
		return
	}
	g.WorkReported = true
	g.Usage, g.UsageBy = f.usage, f.usageBy
	work := n.leading.work.since(b.WorkSeen, batchWorkMost)
	g.Work, g.WorkUpto, g.WorkWhole = work.values, work.upto, work.whole
}

// knowsWork reports whether this leader has been told the work of all entry VMs.
func (n *Node) knowsWork() bool {
	return !n.now.Before(n.leading.workFrom) || n.heardOfAll()
}

// heardOfAll reports whether each control VM that follows this one has told of its entry
// VMs, and each entry VM has renewed since the election. After a loss of all VMs that is so
// a second before workSettle is over, and all of them choose by their own work alone until
// then.
func (n *Node) heardOfAll() bool {
	for vm, f := range n.registry.followers {
		if _, heard := n.leading.parts[vm]; f.control && n.now.Before(f.until) && !heard {
			return false
		}
	}
	settled := !n.now.Before(n.leading.workFrom.Add(-workSettle + n.settings.Timing.RenewEvery))
	return settled && n.entriesFollow() && n.leasesHeld() == n.entriesKnown()
}

// entriesFollow reports whether any entry VM follows a control VM: those that renew do.
func (n *Node) entriesFollow() bool {
	following := n.entryFollowers()
	for _, p := range n.leading.parts {
		following += p.following
	}
	return following > 0
}

// entriesKnown counts the entry VMs that have a lease, or follow a control VM and will ask
// for one.
func (n *Node) entriesKnown() int {
	known := make(map[VMName]bool)
	for vm, l := range n.leading.leases {
		if n.now.Before(l.until) {
			known[vm] = true
		}
	}
	expected := n.expectedHolders()
	for _, p := range n.leading.parts {
		if n.now.Before(p.at.Add(n.partKept())) {
			expected = append(expected, p.expected...)
		}
	}
	for _, vm := range expected {
		known[vm] = true
	}
	return len(known)
}

// leasesHeld counts the leases that have not run out.
func (n *Node) leasesHeld() int {
	held := 0
	for _, l := range n.leading.leases {
		if n.now.Before(l.until) {
			held++
		}
	}
	return held
}

// partKept is how long what a control VM said of its holders counts: its holders renew
// elsewhere by then.
func (n *Node) partKept() time.Duration { return n.settings.Timing.listedFor() }

// fleet is the sum over all entry VMs. It is made anew seldom, for each of
// hundreds of leases a second carries it.
type fleet struct {
	at   time.Time
	vms  int
	work map[relay.TargetKey]relay.Work
	// usage is what usageBy entry VMs have asked and repeated, by service.
	usage   map[string]relay.Usage
	usageBy int
	// marks are those of the targets that say nothing of late, or that far more entry VMs
	// find dead than sound, and of engines that are to give up layers.
	marks map[relay.TargetKey]relay.Mark
}

// fleetEvery is the age at which the sum is made anew.
const fleetEvery = 100 * time.Millisecond

func (l *leading) fleetNow(n *Node) fleet {
	if n.now.Before(l.fleet.at.Add(fleetEvery)) {
		return l.fleet
	}
	l.fleet = fleet{at: n.now, work: make(map[relay.TargetKey]relay.Work), usage: make(map[string]relay.Usage)}
	dead := make(map[relay.TargetKey]int)
	sound := make(map[relay.TargetKey]int)
	var slow []relay.TargetKey
	add := func(part FleetPart) {
		l.fleet.usageBy += part.VMs
		for service, s := range part.Usage {
			l.fleet.usage[service] = l.fleet.usage[service].Plus(s)
		}
		for id, w := range part.Work {
			l.fleet.work[id] = l.fleet.work[id].Plus(w)
		}
		for id, vms := range part.Dead {
			dead[id] += vms
		}
		for id, vms := range part.Sound {
			sound[id] += vms
		}
		slow = append(slow, part.Slow...)
	}
	add(n.partOfFleet())
	for _, part := range l.parts {
		if n.now.Before(part.at.Add(n.partKept())) {
			add(part.FleetPart)
		}
	}
	l.fleet.vms = n.entriesKnown()
	l.work.take(l.fleet.work)
	l.fleet.marks = n.marksOf(dead, sound)
	for _, key := range slow {
		l.fleet.marks[key] = l.fleet.marks[key].With(relay.MarkSlow)
	}
	l.lender.Forget(n.now)
	for _, key := range l.lender.Limited() {
		l.fleet.marks[key] = l.fleet.marks[key].With(relay.MarkLimited)
	}
	l.marks.take(l.fleet.marks)
	return l.fleet
}

// marksOf returns the marks of targets, of which so many entry VMs find some dead or sound.
//
// An engine that holds nothing yet has no use that an order takes away: it is not marked. At
// a start all engines are ordered at once.
func (n *Node) marksOf(dead, sound map[relay.TargetKey]int) map[relay.TargetKey]relay.Mark {
	marks := make(map[relay.TargetKey]relay.Mark)
	for _, id := range n.silentTargets() {
		marks[id.Key()] = relay.MarkSilent
	}
	for key, vms := range dead {
		if vms >= deadAtLeast && vms >= deadRatio*sound[key] {
			marks[key] = relay.MarkSilent
		}
	}
	for id, order := range n.leading.placing.orders {
		// One that says it holds what it was ordered has moved, though its order is looked at
		// only later: marked until then, it got nothing for up to half a second.
		if t, ok := n.registry.targets.Get(id); ok && t.Layers.Len() > 0 && t.Layers != order.layers {
			marks[id.Key()] = marks[id.Key()].With(relay.MarkMoving)
		}
	}
	return marks
}

// fleetTaken hands on what came with a lease.
func (n *Node) fleetTaken(g Grant) {
	if len(g.Control) > 0 {
		n.entry.controls = g.Control
		n.renewAtFirstOfHall()
	}
	n.permitsTaken(g)
	if !n.followsTargets() {
		return
	}
	n.entry.workSeen, n.entry.marksSeen = g.WorkUpto, g.MarksUpto
	n.emit(FleetLearned{LeaseUntil: n.entry.tenure.until, VMs: g.VMs, Others: g.Others, OthersWhole: g.OthersWhole, OthersReported: g.WorkReported, Usage: g.Usage, UsageBy: g.UsageBy, Marks: g.Marks, MarksWhole: g.MarksWhole})
}
