package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// leaderState is the leader's volatile state, in addition to the replicated state. Except for
// the snapshot and the deltas, which every replica keeps, it is lost with the leadership and
// rebuilt by the next leader.
type leaderState struct {
	snapshot Snapshot
	// operators, claims and records hold the waiters for the log entry at an index.
	operators map[Index]*operatorWaiter
	claims    map[Index]claimWaiter
	records   map[Index]recordWaiter
	leases    map[VMName]*lease
	deltas    deltaHistory
	view      entryList
	// viewCompleteAt is when the list of entry VMs is complete after an election: until
	// then holders keep the list of the former leader.
	viewCompleteAt time.Time
	// formerLeasesUntil is when the leases granted by former leaders have expired.
	formerLeasesUntil time.Time
	// reports holds the newest report of each target by each watcher.
	reports map[string]map[VMName]receivedReport
	// platformLeaving has the VMs and targets that the platform lists as leaving.
	platformLeaving map[string]bool
	platformAt      time.Time
	orders          map[string]*orderState
	// ordersAt is when placements are next compared with the layers that engines hold.
	ordersAt time.Time
	// plannedRevision is the revision that placements were last planned for, and pendingPlanIndex
	// the log index of the newest proposed change of placements or conditions.
	plannedRevision  config.Revision
	pendingPlanIndex Index
	conditionsAt     time.Time
	layerPlacement   layerPlacement
	fleet            fleetTotals
	work             changeLog[relay.Work]
	marks            changeLog[relay.Mark]
	// joining are the replicas that have asked to join as learners.
	joining   map[ReplicaID]Member
	documents documentQueue
	// aggregates are the reports of other control VMs on the entry VMs that renew with them.
	aggregates map[VMName]receivedAggregate
	// suspects are the fingerprints of runs that have crashed targets, and pendingItems those of
	// which a change of the quarantine is proposed and not committed yet.
	suspects     relay.Suspects
	pendingItems map[relay.Fingerprint]bool
	// permitAllocator grants the permits of rate-limited targets to entry VMs.
	permitAllocator *relay.PermitAllocator[ReplicaID]
	// workCompleteAt is when the work of all entry VMs is known after an election.
	workCompleteAt time.Time
}

type claimWaiter struct {
	from    ReplicaID
	request ClaimRequest
}

type recordWaiter struct {
	from    ReplicaID
	request RecordRequest
}

// lease is a lease that the leader has granted to an entry VM.
type lease struct {
	holder ReplicaID
	// until is when the lease expires by the leader's clock, including the drift
	// bound.
	until time.Time
	// via is the control VM that the holder renews with.
	via     VMName
	renewal Renewal
	// renewedAt is when the newest renewal arrived.
	renewedAt time.Time
}

// receivedAggregate is a control VM's report on its holders, with the time of its arrival.
type receivedAggregate struct {
	FleetAggregate
	following int
	expected  []VMName
	at        time.Time
}

// receivedReport is a report on a target, with the time of its arrival.
type receivedReport struct {
	report TargetReport
	at     time.Time
}

// reset clears the leader's state. The snapshot and the deltas, which any replica has, stay.
func (l *leaderState) reset() {
	snapshot := l.snapshot
	deltas := l.deltas
	*l = leaderState{
		snapshot:   snapshot,
		deltas:     deltas,
		operators:  make(map[Index]*operatorWaiter),
		claims:     make(map[Index]claimWaiter),
		records:    make(map[Index]recordWaiter),
		leases:     make(map[VMName]*lease),
		aggregates: make(map[VMName]receivedAggregate),
		joining:    make(map[ReplicaID]Member),
		suspects:   relay.NewSuspects(), pendingItems: make(map[relay.Fingerprint]bool),
		reports:         make(map[string]map[VMName]receivedReport),
		platformLeaving: make(map[string]bool),
		orders:          make(map[string]*orderState),
		layerPlacement:  layerPlacement{orders: make(map[relay.TargetID]layerOrder), inFlight: make(map[relay.TargetID]bool), queued: make(map[string][]relay.Assignment), logged: make(map[string]planLog), capacity: make(map[string]relay.Capacity), capacityAt: make(map[string]time.Time)},
	}
}

func (n *Node) startLeading() {
	n.leader.reset()
	n.leader.permitAllocator = relay.NewPermitAllocator[ReplicaID](n.rand.Uint64(), n.settings.Timing.Lengthened(relay.PermitTTL), n.now)
	n.leader.permitAllocator.GrantRepeats(n.settings.RepeatBudget)
	n.leader.formerLeasesUntil = n.now.Add(n.settings.Timing.Lengthened(n.settings.Timing.LeaseDuration))
	n.leader.view = newEntryList(uint64(n.replica.hard.Term) << 32)
	n.leader.work = newWorkLog(uint64(n.replica.hard.Term) << 32)
	n.leader.marks = newMarkLog(uint64(n.replica.hard.Term) << 32)
	n.leader.workCompleteAt = n.now.Add(workReportDelay)
	n.leader.viewCompleteAt = n.now.Add(n.settings.Timing.listedDuration())
	n.leader.conditionsAt = n.now.Add(n.settings.Timing.LeaseDuration)
}

func (n *Node) stopLeading() {
	n.failOperators()
	n.dropDocuments()
	n.leader.reset()
}

func (n *Node) tickLeading() {
	if !n.canGrant() {
		return
	}
	n.tickLeases()
	n.tickConditions()
	n.tickPlan()
	n.tickOrders()
	n.tickPlacing()
	n.tickQuarantine()
	for _, index := range slices.Sorted(maps.Keys(n.leader.operators)) {
		n.answerIfDue(index, n.leader.operators[index])
	}
}

// deltaHistory keeps the newest changes to the configuration, so that an entry VM is brought
// up to date without sending the whole configuration. Their revisions are consecutive.
type deltaHistory struct{ deltas []Delta }

// maxDeltas bounds the number of deltas kept.
const maxDeltas = 256

func (d *deltaHistory) add(delta Delta) {
	if last := len(d.deltas) - 1; last >= 0 && delta.Revision != d.deltas[last].Revision+1 {
		// A snapshot has replaced the state in between.
		d.deltas = nil
	}
	if len(d.deltas) >= maxDeltas {
		d.deltas = slices.Clone(d.deltas[maxDeltas/2:])
	}
	d.deltas = append(d.deltas, delta)
}

// since returns the deltas from after revision up to current, and whether all of them are kept.
func (d *deltaHistory) since(revision, current config.Revision) ([]Delta, bool) {
	if revision == current {
		return nil, true
	}
	if last := len(d.deltas) - 1; last < 0 || d.deltas[last].Revision != current {
		return nil, false
	}
	i := slices.IndexFunc(d.deltas, func(delta Delta) bool { return delta.Revision == revision+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(d.deltas[i:]), true
}

// configChanged keeps a change for the entry VMs, and sends it immediately to those that
// renew with this VM.
func (n *Node) configChanged(revision config.Revision, changes []config.Change, accepted bool) {
	last := len(n.leader.deltas.deltas) - 1
	known := last >= 0 && n.leader.deltas.deltas[last].Revision >= revision
	if !accepted || known {
		return
	}
	n.leader.deltas.add(Delta{Revision: revision, Changes: changes})
	for _, c := range changes {
		n.quarantineChanged(c)
	}
	n.pushChange()
	n.forwardGrants()
}
