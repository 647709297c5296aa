package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the control VM's side of the leases of the entry VMs that renew with it.
//
// Problem: if every entry VM renewed with the leader, the leader's messages and bytes would
// grow with the deployment. Renewals, and a copy of each configuration change for each entry
// VM, would delay its heartbeats until its own load cost it the leadership.
//
// Algorithm: an entry VM renews with a control VM of its own data hall, which collects the
// renewals of some time into one RenewBatch to the leader. The leader's GrantBatch grants all
// of them and carries the changes of the fleet. The control VM has everything else that a grant
// carries from the log: it forwards the configuration changes, and sends each entry VM the
// fleet changes that it lacks. A leader does the same for the entry VMs that renew with it,
// without a batch.
//
// Invariants: an entry VM's lease counts from when it sent its renewal, and the leader grants
// it after that, so that a forwarding hop shortens a lease and never extends it; a grant is
// forwarded only once this VM has applied the leader's revision; a grant that pushes a change
// carries a number that was already granted, which extends no lease.
//
// Limits: what a batch carries is up to one batch interval (batchIntervalPerMember for each
// member) older than if each entry VM asked for itself.

const (
	// batchIntervalPerMember is the interval between two batches, per member of the cluster. A
	// batch costs the leader about 0.3 ms to process and answer, so that batches take about a
	// sixteenth of its time, however many control VMs there are.
	batchIntervalPerMember = 5 * time.Millisecond
	// aggregateIntervalPerMember is the interval between two reports of the sums over holders,
	// per member of the cluster. The leader computes its own sum no more often, and reads every
	// report in full.
	aggregateIntervalPerMember = 15 * time.Millisecond
	// maxBatchesInFlight bounds the batches that can still be answered.
	maxBatchesInFlight = 16
	// controlLiveFor is how long after its last Follow a control VM counts as one that entry
	// VMs can be redirected to: three heartbeat intervals.
	controlLiveFor = 3 * heartbeatsEvery
)

// holder is an entry VM that renews with this control VM.
type holder struct {
	id        ReplicaID
	renew     Renew
	renewedAt time.Time
	// granted is the number of its newest renewal that the leader has granted.
	granted  uint64
	delivery delivery
	// permits were granted for its renewal permitsNumber and aren't forwarded yet.
	permits       []relay.Permits
	permitsNumber uint64
}

// forwarding is a control VM's state of the entry VMs that renew with it, and of the fleet as
// last received from the leader.
type forwarding struct {
	holders map[VMName]*holder
	// waiting are the holders whose newest renewal is in no batch yet.
	waiting []VMName
	batchAt time.Time
	// idleAt is when a batch is sent although no renewal waits, so that the leader knows the
	// entry VMs that follow this VM.
	idleAt      time.Time
	batchNumber uint64
	// aggregateAt is when the sums over holders are next sent to the leader aggregateTo.
	// aggregateAcknowledged is set once it has answered the batch aggregateNumber with them.
	aggregateAt           time.Time
	aggregateTo           ReplicaID
	aggregateNumber       uint64
	aggregateAcknowledged bool
	// crashes are the crashed runs to report to the leader.
	crashes crashes
	// trials are the trials that holders ask for, to forward to the leader.
	trials []HolderTrials
	// batches holds the renewals of the batches in flight.
	batches map[uint64][]batchedRenewal
	// deferredGrants are grant batches that wait until this VM has applied their revision.
	deferredGrants []GrantBatch
	report         fleetReport
	// controls are the live control VMs at the last check, and controlsVersion counts the
	// changes of that list. Holders acknowledge the version that they have.
	controls        []ControlVM
	controlsVersion uint64
	controlsAt      time.Time
}

// batchedRenewal is a renewal in a batch.
type batchedRenewal struct {
	holder ReplicaID
	number uint64
}

// fleetReport is the state of the fleet as last received from the leader.
type fleetReport struct {
	term   Term
	leader VMName
	vms    int
	// view is the list of entry VMs, with this VM's own version numbers for its holders: the
	// full list of a new leader changes only the lines that differ. viewSeen is the leader's
	// version.
	view     entryList
	viewSeen uint64
	// usage is the requests and repeats of usageVMs entry VMs.
	usage    map[string]relay.Usage
	usageVMs int
	// total is the work of all entry VMs; workKnown reports whether the leader knows it.
	total     changeFollower[relay.Work]
	workKnown bool
	// marked are the marks of targets.
	marked changeFollower[relay.Mark]
	// work and marks number the changes of total and marked for the holders.
	work  changeLog[relay.Work]
	marks changeLog[relay.Mark]
}

func (n *Node) startForwarding() {
	n.forwarding = forwarding{
		holders:         make(map[VMName]*holder),
		batches:         make(map[uint64][]batchedRenewal),
		controlsVersion: firstForwarderNumber(n.settings.Seed),
		report: fleetReport{
			total:  newChangeFollower[relay.Work](),
			marked: newChangeFollower[relay.Mark](),
			work:   newWorkLog(firstForwarderNumber(n.settings.Seed)),
			marks:  newMarkLog(firstForwarderNumber(n.settings.Seed)),
			view:   newEntryList(firstForwarderNumber(n.settings.Seed)),
		},
	}
}

// firstForwarderNumber returns the first change number of this incarnation of a control VM. The
// numbers of leaders are lower, and two incarnations have the same one once in 2^30, so that a
// holder that comes from another control VM is sent the full state.
func firstForwarderNumber(seed uint64) uint64 {
	const incarnations = 1 << 30
	return 1<<62 | seed%incarnations<<32
}

// canGrant reports whether this VM may grant leases.
func (n *Node) canGrant() bool { return n.holdsLease() && n.replica.committedOwnTerm() }

// handleRenew handles the renewal of an entry VM: grants it, queues it for the next batch to the
// leader, or redirects the entry VM.
func (n *Node) handleRenew(from ReplicaID, r Renew) {
	if controls := n.betterControls(r.Address.Hall, r.HallUnreachable); len(controls) > 0 {
		n.deliver(from.VM, Message{Redirect: &Redirect{Controls: controls}})
		return
	}
	if !n.canGrant() && !n.hasOtherLeader() {
		n.deliver(from.VM, Message{Redirect: &Redirect{Leader: n.leaderHint()}})
		return
	}
	n.crashesReported(crashNews{crashed: r.Crashed, survived: r.Survived, labels: r.Labels})
	n.trialsWanted(HolderTrials{From: from, Trials: r.Trials, Unused: r.Unused})
	n.drainingReported(r.Draining, from.VM)
	h := n.recordRenewal(from, r)
	if n.canGrant() {
		n.renewLease(n.settings.Self.VM, r.renewal(from))
		h.granted = r.Number
		h.permits, h.permitsNumber = n.grantPermits(from, r.Number, r.Limits), r.Number
		n.grant(h)
		return
	}
	if !slices.Contains(n.forwarding.waiting, from.VM) {
		n.forwarding.waiting = append(n.forwarding.waiting, from.VM)
	}
}

// hasOtherLeader reports whether this VM has recently received a message from another VM that
// leads.
func (n *Node) hasOtherLeader() bool { return n.replica.role != Leader && n.hasLeaderContact() }

// recordRenewal records the renewal of an entry VM.
func (n *Node) recordRenewal(id ReplicaID, r Renew) *holder {
	h, ok := n.forwarding.holders[id.VM]
	if !ok || h.id != id {
		h = &holder{id: id}
		n.forwarding.holders[id.VM] = h
		n.emit(PeerFound{VM: id.VM, Address: r.Address.Peers})
	}
	h.renew = r
	h.renewedAt = n.now
	h.delivery = h.delivery.WithAcknowledged(r.Revision)
	return h
}

// betterControls returns the control VMs of the given hall if an entry VM of that hall should
// renew with one of them instead of this VM.
func (n *Node) betterControls(hall string, away bool) []ControlVM {
	if away || hall == "" || hall == n.settings.Address.Hall {
		return nil
	}
	return slices.DeleteFunc(n.liveControls(), func(c ControlVM) bool { return c.Hall != hall })
}

// liveControls returns this VM and the control VMs that have recently sent it a Follow. The
// others are sorted.
func (n *Node) liveControls() []ControlVM {
	controls := []ControlVM{{VM: n.settings.Self.VM, Hall: n.settings.Address.Hall}}
	for _, vm := range slices.Sorted(maps.Keys(n.registry.followers)) {
		if f := n.registry.followers[vm]; f.control && n.now.Before(f.askedAt.Add(controlLiveFor)) {
			controls = append(controls, ControlVM{VM: vm, Hall: f.hall})
		}
	}
	return controls
}

// refreshControls refreshes the list of live control VMs every controlsEvery. Holders receive
// each change with their next grant: those that came first after a start know only one control
// VM.
func (n *Node) refreshControls() {
	f := &n.forwarding
	if n.now.Before(f.controlsAt) {
		return
	}
	f.controlsAt = n.now.Add(controlsEvery)
	if live := n.liveControls(); !slices.Equal(live, f.controls) {
		f.controls = live
		f.controlsVersion++
	}
}

// tickForwarding sends the queued renewals and removes holders that renew elsewhere.
func (n *Node) tickForwarding() {
	f := &n.forwarding
	for vm, h := range f.holders {
		if !n.now.Before(h.renewedAt.Add(n.settings.Timing.listedDuration())) {
			delete(f.holders, vm)
		}
	}
	n.forwardGrants()
	if !n.hasOtherLeader() || n.now.Before(f.batchAt) || len(f.waiting) == 0 && n.now.Before(f.idleAt) {
		return
	}
	f.batchAt = n.now.Add(time.Duration(len(n.replica.members.Members)) * batchIntervalPerMember)
	f.idleAt = n.now.Add(n.settings.Timing.RenewInterval)
	n.sendBatch()
}

func (n *Node) sendBatch() {
	f := &n.forwarding
	f.batchNumber++
	delete(f.batches, f.batchNumber-maxBatchesInFlight)
	b := RenewBatch{
		Number: f.batchNumber, ViewVersion: f.report.viewSeen, WorkSeen: f.report.total.seen, MarksSeen: f.report.marked.seen,
		Following: n.entryFollowers(), Expected: n.expectedHolders(), Aggregate: n.aggregateDue(),
		Crashed: f.crashes.reports(n.now), Survived: f.crashes.survivals(n.now), Labels: f.crashes.labels(), Trials: f.trials,
	}
	f.crashes, f.trials = crashes{}, nil
	for _, vm := range f.waiting {
		h, ok := f.holders[vm]
		if !ok {
			continue
		}
		b.Renewals = append(b.Renewals, h.renew.renewal(h.id))
		if len(h.renew.Limits) > 0 {
			b.Limits = append(b.Limits, HolderRequests{From: h.id, Number: h.renew.Number, Requests: h.renew.Limits})
		}
		f.batches[f.batchNumber] = append(f.batches[f.batchNumber], batchedRenewal{holder: h.id, number: h.renew.Number})
	}
	f.waiting = nil
	n.send(n.replica.leader.VM, Message{RenewBatch: &b})
}

// aggregateDue returns the sums over holders if they are to be sent to the leader now.
func (n *Node) aggregateDue() *FleetAggregate {
	f := &n.forwarding
	if f.aggregateAcknowledged && f.aggregateTo == n.replica.leader && n.now.Before(f.aggregateAt) {
		return nil
	}
	f.aggregateTo, f.aggregateNumber, f.aggregateAcknowledged = n.replica.leader, f.batchNumber, false
	f.aggregateAt = n.now.Add(time.Duration(len(n.replica.members.Members)) * aggregateIntervalPerMember)
	aggregate := n.sumHolders()
	return &aggregate
}

// entryFollowers counts the entry VMs that follow this VM.
func (n *Node) entryFollowers() int {
	vms := 0
	for _, f := range n.registry.followers {
		if !f.control && n.now.Before(f.until) {
			vms++
		}
	}
	return vms
}

// expectedHolders returns, sorted, the entry VMs that follow this VM and haven't renewed with
// it yet.
func (n *Node) expectedHolders() []VMName {
	var expected []VMName
	for _, vm := range slices.Sorted(maps.Keys(n.registry.followers)) {
		f := n.registry.followers[vm]
		if _, holds := n.forwarding.holders[vm]; !holds && !f.control && n.now.Before(f.until) {
			expected = append(expected, vm)
		}
	}
	return expected
}

// sumHolders sums the work and findings of the holders.
func (n *Node) sumHolders() FleetAggregate {
	aggregate := FleetAggregate{
		Work: make(map[relay.TargetKey]relay.Work), Usage: make(map[string]relay.Usage), VMs: len(n.forwarding.holders),
		Failed: make(map[relay.TargetKey]int), Healthy: make(map[relay.TargetKey]int),
	}
	for _, h := range n.forwarding.holders {
		for service, s := range h.renew.Usage {
			aggregate.Usage[service] = aggregate.Usage[service].Plus(s)
		}
		for id, w := range h.renew.Work {
			aggregate.Work[id] = aggregate.Work[id].Plus(w)
		}
		for _, id := range h.renew.Failed {
			aggregate.Failed[id]++
		}
		for _, id := range h.renew.Healthy {
			aggregate.Healthy[id]++
		}
		aggregate.Slow = append(aggregate.Slow, h.renew.Slow...)
	}
	slices.Sort(aggregate.Slow)
	aggregate.Slow = slices.Compact(aggregate.Slow)
	return aggregate
}

// handleGrantBatch handles the leader's reply to a batch.
func (n *Node) handleGrantBatch(from ReplicaID, b GrantBatch) {
	f := &n.forwarding
	if b.Term < f.report.term || n.replica.role == Leader {
		return
	}
	f.aggregateAcknowledged = f.aggregateAcknowledged || from == f.aggregateTo && b.Number == f.aggregateNumber
	f.report.update(from.VM, b)
	f.deferredGrants = append(f.deferredGrants, b)
	n.forwardGrants()
}

// update records the fleet state in a leader's batch.
func (t *fleetReport) update(leader VMName, b GrantBatch) {
	t.term, t.leader = b.Term, leader
	t.vms = b.VMs
	t.marked.apply(b.Marks, b.MarksThrough, b.MarksComplete)
	t.marks.update(t.marked.values)
	t.usage, t.usageVMs = b.Usage, b.UsageVMs
	if b.ViewVersion > t.viewSeen {
		t.viewSeen = b.ViewVersion
		t.view.merge(b.View, b.Removed, b.ViewComplete)
	}
	t.workKnown = b.WorkReported
	if !b.WorkReported {
		return
	}
	t.total.apply(b.Work, b.WorkThrough, b.WorkComplete)
	t.work.update(t.total.values)
}

// forwardGrants forwards the leader's grants whose revision this VM has applied.
func (n *Node) forwardGrants() {
	f := &n.forwarding
	waiting := f.deferredGrants[:0]
	for _, b := range f.deferredGrants {
		if n.machine.Config.Revision < b.Revision {
			waiting = append(waiting, b)
			continue
		}
		n.storePermits(b.Permits)
		for _, renewal := range f.batches[b.Number] {
			h, ok := f.holders[renewal.holder.VM]
			if !ok || h.id != renewal.holder || renewal.number < h.granted {
				continue
			}
			h.granted = renewal.number
			n.grant(h)
		}
		delete(f.batches, b.Number)
	}
	f.deferredGrants = waiting[max(0, len(waiting)-maxBatchesInFlight):]
}

// pushChange sends a configuration change to all holders. It doesn't extend their leases: each
// grant repeats the number that was granted last.
func (n *Node) pushChange() {
	for _, vm := range slices.Sorted(maps.Keys(n.forwarding.holders)) {
		if h := n.forwarding.holders[vm]; h.granted > 0 {
			n.grant(h)
		}
	}
}

// grant sends a lease with the changes that its holder lacks. The lease has the number of the
// renewal that it answers, and the holder counts it from when that renewal was sent.
func (n *Node) grant(h *holder) {
	fleet := n.fleetState()
	g := Grant{To: h.id.Incarnation, Term: fleet.term, Leader: fleet.leader, Number: h.granted, Cluster: n.cluster}
	n.addChanges(h, &g)
	fleet.view.addToGrant(h.renew, &g)
	if n.refreshControls(); h.renew.ControlsSeen != n.forwarding.controlsVersion {
		g.ControlVMs, g.ControlsVersion = n.forwarding.controls, n.forwarding.controlsVersion
	}
	if n.hasRegisteringTargets() {
		fleet.addToGrant(&g, h.renew)
	}
	h.addPermits(&g)
	n.deliver(h.id.VM, Message{Grant: &g})
}
