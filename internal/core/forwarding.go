package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is what a control VM does for the entry VMs that renew with it.
//
// Problem: were every entry VM to renew with the leader, its messages and bytes would grow
// with the deployment: its renewals, and a copy of each change for each entry VM, keep it
// from its heartbeats, and it loses the lead to its own load.
//
// Algorithm: an entry VM renews with a control VM of its own data hall, which gathers the
// renewals of some time into one RenewBatch to the leader. The leader's GrantBatch grants
// them all and carries what has changed of the fleet. What entry VMs are granted beside
// that, the control VM has from the log: it hands on the changes of the configuration, and
// tells each entry VM the part of the fleet's changes that it lacks. A leader does the
// same for those that renew with it, without a batch.
//
// Invariants: an entry VM's lease counts from its own asking, and is granted by the leader
// after that, so that the way between costs time and never adds any; a grant is handed on
// only once this VM has applied the revision that the leader had; a grant that pushes a
// change carries a number that was granted before, which lengthens no lease.
//
// Limits: what a batch brings is up to batchEvery older than if each entry VM asked for
// itself.

const (
	// batchShare is the wait between two batches for each control VM: a batch costs the
	// leader some 0.3 ms to take and to answer, so that batches take about a sixteenth
	// of its time however many control VMs there are.
	batchShare = 5 * time.Millisecond
	// partShare is the wait between two sums of what holders have under way, for each
	// control VM: the leader makes its own sum no more often, and reads all of each.
	partShare = 15 * time.Millisecond
	// keptBatches bounds the batches whose answer may still come.
	keptBatches = 16
	// elsewhereAfter is how long a control VM that has not followed this one counts as
	// one that entry VMs can be sent to: three of its follows.
	elsewhereAfter = 3 * heartbeatsEvery
)

// holder is an entry VM that renews with this control VM.
type holder struct {
	id        ReplicaID
	renew     Renew
	renewedAt time.Time
	// granted is the number of its newest renewal that the leader has granted.
	granted uint64
	// revision is what it has, and sent the revision that it was last sent changes to, at
	// sentAt.
	revision config.Revision
	sent     config.Revision
	sentAt   time.Time
	// controlsSent is the change of the control VMs that it was told of last.
	controlsSent uint64
	// permits were lent for its renewal of permitsNumber, and are not handed on yet.
	permits       []relay.Permits
	permitsNumber uint64
}

// forwarding is what a control VM knows of the entry VMs that renew with it, and of the
// fleet as the leader last said.
type forwarding struct {
	holders map[VMName]*holder
	// waiting are the holders whose newest renewal is in no batch yet.
	waiting []VMName
	batchAt time.Time
	// idleAt is when a batch is sent although nobody waits: the leader is to know whom
	// this VM speaks for.
	idleAt time.Time
	number uint64
	// partAt is when the leader partTo is next told what holders have under way. It has
	// answered the batch partNumber, which told it, where partTaken says so.
	partAt     time.Time
	partTo     ReplicaID
	partNumber uint64
	partTaken  bool
	// crashes are the crashed runs that the leader is to be told of.
	crashes crashes
	// batches holds the renewals of the batches under way.
	batches map[uint64][]batched
	// held are answers that wait for this VM's copy of the log.
	held   []GrantBatch
	report fleetReport
	// controls are the control VMs that live, as looked at last, and controlsChange counts
	// their changes.
	controls       []ControlVM
	controlsChange uint64
	controlsAt     time.Time
}

// batched is a renewal in a batch.
type batched struct {
	holder ReplicaID
	number uint64
}

// fleetReport is the fleet as the leader last told it.
type fleetReport struct {
	term   Term
	leader VMName
	vms    int
	// view is the list of entry VMs, numbered by this VM for its holders: a new leader's list,
	// which comes whole, is news to them only where it differs. viewSeen is the leader's number.
	view     entryList
	viewSeen uint64
	// usage is what usageBy entry VMs have asked and repeated.
	usage   map[string]relay.Usage
	usageBy int
	// total is the work of all entry VMs, and known says that the leader knows it.
	total changeFollower[relay.Work]
	known bool
	// marked are the marks of targets.
	marked changeFollower[relay.Mark]
	// work and marks number the changes of total and marked for the holders.
	work  changeLog[relay.Work]
	marks changeLog[relay.Mark]
}

func (n *Node) startForwarding() {
	n.forwarding = forwarding{
		holders: make(map[VMName]*holder),
		batches: make(map[uint64][]batched),
		report: fleetReport{
			total:  newChangeFollower[relay.Work](),
			marked: newChangeFollower[relay.Mark](),
			work:   newWorkLog(forwarderNumbers(n.settings.Seed)),
			marks:  newMarkLog(forwarderNumbers(n.settings.Seed)),
			view:   newEntryList(forwarderNumbers(n.settings.Seed)),
		},
	}
}

// forwarderNumbers returns the first number of the changes of work that this life of a
// control VM tells. Those of leaders are lower, and those of two lives are alike once in
// 2^30, so that one who comes from another control VM is told all.
func forwarderNumbers(seed uint64) uint64 {
	const lives = 1 << 30
	return 1<<62 | seed%lives<<32
}

// leads reports whether this VM may grant leases.
func (n *Node) leads() bool { return n.holdsLease() && n.replica.committedOwnTerm() }

// renewAsked takes the renewal of an entry VM: grants it, hands it to the leader with
// others, or says who else to ask.
func (n *Node) renewAsked(from ReplicaID, r Renew) {
	if controls := n.elsewhere(r.Address.Hall, r.Away); len(controls) > 0 {
		n.deliver(from.VM, Message{Redirect: &Redirect{Controls: controls}})
		return
	}
	if !n.leads() && !n.hearsOtherLeader() {
		n.deliver(from.VM, Message{Redirect: &Redirect{Leader: n.leaderHint()}})
		return
	}
	n.crashesHeard(r.Crashed, r.Survived)
	n.drainingHeard(r.Draining, from.VM)
	h := n.holderOf(from, r)
	if n.leads() {
		n.renewLease(n.settings.Self.VM, r.renewal(from))
		h.granted = r.Number
		h.permits, h.permitsNumber = n.lendPermits(from, r.Number, r.Limits), r.Number
		n.grant(h)
		return
	}
	if !slices.Contains(n.forwarding.waiting, from.VM) {
		n.forwarding.waiting = append(n.forwarding.waiting, from.VM)
	}
}

// hearsOtherLeader reports whether another VM leads and was heard of late.
func (n *Node) hearsOtherLeader() bool { return n.replica.role != Leader && n.hearsLeader() }

// holderOf notes what an entry VM says with its renewal.
func (n *Node) holderOf(id ReplicaID, r Renew) *holder {
	h, ok := n.forwarding.holders[id.VM]
	if !ok || h.id != id {
		h = &holder{id: id}
		n.forwarding.holders[id.VM] = h
		n.emit(PeerFound{VM: id.VM, Address: r.Address.Peers})
	}
	h.renew = r
	h.renewedAt = n.now
	h.revision = r.Revision
	return h
}

// elsewhere returns the control VMs of a hall, where an entry VM of that hall should
// rather renew than here.
func (n *Node) elsewhere(hall string, away bool) []ControlVM {
	if away || hall == "" || hall == n.settings.Address.Hall {
		return nil
	}
	return slices.DeleteFunc(n.liveControls(), func(c ControlVM) bool { return c.Hall != hall })
}

// liveControls returns the control VMs that this one has heard of lately, itself among
// them, sorted.
func (n *Node) liveControls() []ControlVM {
	controls := []ControlVM{{VM: n.settings.Self.VM, Hall: n.settings.Address.Hall}}
	for _, vm := range slices.Sorted(maps.Keys(n.registry.followers)) {
		if f := n.registry.followers[vm]; f.control && n.now.Before(f.askedAt.Add(elsewhereAfter)) {
			controls = append(controls, ControlVM{VM: vm, Hall: f.hall})
		}
	}
	return controls
}

// lookAtControls notes the control VMs that live, where it is time for it. Holders are told
// of each change with their next lease: those who came first after a start know but one.
func (n *Node) lookAtControls() {
	f := &n.forwarding
	if n.now.Before(f.controlsAt) {
		return
	}
	f.controlsAt = n.now.Add(controlsEvery)
	if live := n.liveControls(); !slices.Equal(live, f.controls) {
		f.controls = live
		f.controlsChange++
	}
}

// tickForwarding sends the renewals that wait, and drops holders that renew elsewhere.
func (n *Node) tickForwarding() {
	f := &n.forwarding
	for vm, h := range f.holders {
		if !n.now.Before(h.renewedAt.Add(n.settings.Timing.listedFor())) {
			delete(f.holders, vm)
		}
	}
	n.handOnGrants()
	if !n.hearsOtherLeader() || n.now.Before(f.batchAt) || len(f.waiting) == 0 && n.now.Before(f.idleAt) {
		return
	}
	f.batchAt = n.now.Add(time.Duration(len(n.replica.members.Members)) * batchShare)
	f.idleAt = n.now.Add(n.settings.Timing.RenewEvery)
	n.sendBatch()
}

func (n *Node) sendBatch() {
	f := &n.forwarding
	f.number++
	delete(f.batches, f.number-keptBatches)
	b := RenewBatch{
		Number: f.number, ViewVersion: f.report.viewSeen, WorkSeen: f.report.total.seen, MarksSeen: f.report.marked.seen,
		Following: n.entryFollowers(), Expected: n.expectedHolders(), Part: n.partDue(),
		Crashed: f.crashes.reports(n.now), Survived: f.crashes.cleared(n.now),
	}
	f.crashes = crashes{}
	for _, vm := range f.waiting {
		h, ok := f.holders[vm]
		if !ok {
			continue
		}
		b.Renewals = append(b.Renewals, h.renew.renewal(h.id))
		if len(h.renew.Limits) > 0 {
			b.Limits = append(b.Limits, HolderAsks{From: h.id, Number: h.renew.Number, Asks: h.renew.Limits})
		}
		f.batches[f.number] = append(f.batches[f.number], batched{holder: h.id, number: h.renew.Number})
	}
	f.waiting = nil
	n.send(n.replica.leader.VM, Message{RenewBatch: &b})
}

// partDue returns what holders have under way, where the leader is to be told of it now.
func (n *Node) partDue() *FleetPart {
	f := &n.forwarding
	if f.partTaken && f.partTo == n.replica.leader && n.now.Before(f.partAt) {
		return nil
	}
	f.partTo, f.partNumber, f.partTaken = n.replica.leader, f.number, false
	f.partAt = n.now.Add(time.Duration(len(n.replica.members.Members)) * partShare)
	part := n.partOfFleet()
	return &part
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

// expectedHolders returns the entry VMs that follow this VM and have not renewed with it,
// sorted.
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

// partOfFleet sums up what the holders have under way and have found.
func (n *Node) partOfFleet() FleetPart {
	part := FleetPart{
		Work: make(map[relay.TargetKey]relay.Work), Usage: make(map[string]relay.Usage), VMs: len(n.forwarding.holders),
		Dead: make(map[relay.TargetKey]int), Sound: make(map[relay.TargetKey]int),
	}
	for _, h := range n.forwarding.holders {
		for service, s := range h.renew.Usage {
			part.Usage[service] = part.Usage[service].Plus(s)
		}
		for id, w := range h.renew.Work {
			part.Work[id] = part.Work[id].Plus(w)
		}
		for _, id := range h.renew.Dead {
			part.Dead[id]++
		}
		for _, id := range h.renew.Sound {
			part.Sound[id]++
		}
		part.Slow = append(part.Slow, h.renew.Slow...)
	}
	slices.Sort(part.Slow)
	part.Slow = slices.Compact(part.Slow)
	return part
}

// grantBatchTaken takes the leader's answer to a batch.
func (n *Node) grantBatchTaken(from ReplicaID, b GrantBatch) {
	f := &n.forwarding
	if b.Term < f.report.term || n.replica.role == Leader {
		return
	}
	f.partTaken = f.partTaken || from == f.partTo && b.Number == f.partNumber
	f.report.take(from.VM, b)
	f.held = append(f.held, b)
	n.handOnGrants()
}

// take notes what a leader says of the fleet.
func (t *fleetReport) take(leader VMName, b GrantBatch) {
	t.term, t.leader = b.Term, leader
	t.vms = b.VMs
	t.marked.apply(b.Marks, b.MarksUpto, b.MarksWhole)
	t.marks.take(t.marked.values)
	t.usage, t.usageBy = b.Usage, b.UsageBy
	if b.ViewVersion > t.viewSeen {
		t.viewSeen = b.ViewVersion
		t.view.merge(b.View, b.Gone, b.ViewWhole)
	}
	t.known = b.WorkReported
	if !b.WorkReported {
		return
	}
	t.total.apply(b.Work, b.WorkUpto, b.WorkWhole)
	t.work.take(t.total.values)
}

// handOnGrants grants what the leader has granted, as far as this VM has applied the
// revisions that the leader had.
func (n *Node) handOnGrants() {
	f := &n.forwarding
	waiting := f.held[:0]
	for _, b := range f.held {
		if n.machine.Config.Revision < b.Revision {
			waiting = append(waiting, b)
			continue
		}
		n.holdPermits(b.Permits)
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
	f.held = waiting[max(0, len(waiting)-keptBatches):]
}

// pushChange sends a change of the configuration to all holders. Their leases stay as
// they are: what is granted is what was.
func (n *Node) pushChange() {
	for _, vm := range slices.Sorted(maps.Keys(n.forwarding.holders)) {
		if h := n.forwarding.holders[vm]; h.granted > 0 {
			n.grant(h)
		}
	}
}

// grant sends a lease and what its holder lacks. The lease is numbered by the renewal that
// it answers: the holder counts from that renewal's sending.
func (n *Node) grant(h *holder) {
	c := n.machine.Config
	fleet := n.fleetToReport()
	g := Grant{To: h.id.Incarnation, Term: fleet.term, Leader: fleet.leader, Number: h.granted, Revision: c.Revision, Cluster: n.cluster}
	base := n.baseOf(h)
	if deltas, ok := n.leading.deltas.since(base, c.Revision); ok {
		g.Deltas = deltas
	} else {
		g.State = &c
	}
	if base < c.Revision {
		h.sent, h.sentAt = c.Revision, n.now
	}
	fleet.view.grantTo(h.renew, &g)
	if n.lookAtControls(); h.controlsSent != n.forwarding.controlsChange {
		h.controlsSent = n.forwarding.controlsChange
		g.Control = n.forwarding.controls
	}
	if n.followsTargets() {
		fleet.addTo(&g, h.renew)
	}
	h.addPermits(&g)
	n.deliver(h.id.VM, Message{Grant: &g})
}

// resendAfter is how long changes that were sent to a holder count as on their way. A large
// change takes longer to all holders than the time between two asks: sent again with each, it
// would fill the leader's link.
const resendAfter = time.Second

// baseOf returns the revision from which a holder is brought to the newest: its own, or
// what was sent to it a moment ago. If that was lost, the holder can't use the lease, and
// is sent all again after resendAfter.
func (n *Node) baseOf(h *holder) config.Revision {
	if n.now.Before(h.sentAt.Add(resendAfter)) {
		return max(h.revision, h.sent)
	}
	return h.revision
}
