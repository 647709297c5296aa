package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// leading is what a leader knows beside the replicated state. It is lost with
// the lead and learned anew.
type leading struct {
	snapshot Snapshot
	// operators, claims and records wait for the log entry at the index.
	operators map[Index]*waiter
	claims    map[Index]claimWaiter
	records   map[Index]recordWaiter
	leases    map[VMName]*lease
	deltas    deltaRing
	view      entryList
	// viewFrom is when the list of entry VMs is whole after an election: until
	// then holders keep the list that the leader before has sent.
	viewFrom time.Time
	// blindUntil is when the leases of former leaders have run out.
	blindUntil time.Time
	// reports holds what the watchers last said of each target.
	reports map[string]map[VMName]sighting
	// platform lists the VMs and targets that the platform says are leaving.
	platform   map[string]bool
	platformAt time.Time
	orders     map[string]*orderState
	// ordersAt is when placements are next compared with what engines hold.
	ordersAt     time.Time
	planned      config.Revision
	planPending  Index
	conditionsAt time.Time
	placing      placing
	fleet        fleet
	work         changeLog[relay.Work]
	marks        changeLog[relay.Mark]
	// joining are the replicas that have asked to be taken in as learners.
	joining map[ReplicaID]Member
	putting putting
	// parts are what other control VMs have said of the entry VMs that renew with them.
	parts map[VMName]heardPart
	// suspects are the requests whose runs have ended targets, and quarantining those that
	// are on their way into quarantine.
	suspects     relay.Suspects
	quarantining map[relay.Fingerprint]bool
	// lender lends the permits of targets with limits to entry VMs.
	lender *relay.Lender[ReplicaID]
	// workFrom is when the work of all entry VMs is known after an election.
	workFrom time.Time
}

type claimWaiter struct {
	from    ReplicaID
	request ClaimRequest
}

type recordWaiter struct {
	from    ReplicaID
	request RecordRequest
}

// lease is what the leader has granted to one entry VM.
type lease struct {
	holder ReplicaID
	// until is when the lease has run out by the leader's clock, the bound on
	// drift included.
	until time.Time
	// via is the control VM that the holder renews with.
	via     VMName
	renewal Renewal
	// renewedAt is when the holder last asked.
	renewedAt time.Time
}

// heardPart is what a control VM said of its holders, and when.
type heardPart struct {
	FleetPart
	following int
	expected  []VMName
	at        time.Time
}

// sighting is a report of a target with the time at which it came.
type sighting struct {
	report TargetReport
	at     time.Time
}

// reset empties what is the leader's alone; the snapshot stays.
func (l *leading) reset() {
	snapshot := l.snapshot
	deltas := l.deltas
	*l = leading{
		snapshot:  snapshot,
		deltas:    deltas,
		operators: make(map[Index]*waiter),
		claims:    make(map[Index]claimWaiter),
		records:   make(map[Index]recordWaiter),
		leases:    make(map[VMName]*lease),
		parts:     make(map[VMName]heardPart),
		joining:   make(map[ReplicaID]Member),
		suspects:  relay.NewSuspects(), quarantining: make(map[relay.Fingerprint]bool),
		reports:  make(map[string]map[VMName]sighting),
		platform: make(map[string]bool),
		orders:   make(map[string]*orderState),
		placing:  placing{orders: make(map[relay.TargetID]layerOrder), underWay: make(map[relay.TargetID]bool), queued: make(map[string][]relay.Assignment), noted: make(map[string]planNotes), holds: make(map[string]relay.Capacity), holdsAt: make(map[string]time.Time)},
	}
}

func (n *Node) startLeading() {
	n.leading.reset()
	n.leading.lender = relay.NewLender[ReplicaID](n.rand.Uint64(), n.settings.Timing.Lengthened(relay.PermitLife), n.now)
	n.leading.blindUntil = n.now.Add(n.settings.Timing.Lengthened(n.settings.Timing.LeaseTerm))
	n.leading.view = newEntryList(uint64(n.replica.hard.Term) << 32)
	n.leading.work = newWorkLog(uint64(n.replica.hard.Term) << 32)
	n.leading.marks = newMarkLog(uint64(n.replica.hard.Term) << 32)
	n.leading.workFrom = n.now.Add(workSettle)
	n.leading.viewFrom = n.now.Add(n.settings.Timing.listedFor())
	n.leading.conditionsAt = n.now.Add(n.settings.Timing.LeaseTerm)
}

func (n *Node) stopLeading() {
	n.dropOperators()
	n.dropDocuments()
	n.leading.reset()
}

func (n *Node) tickLeading() {
	if !n.leads() {
		return
	}
	n.tickLeases()
	n.tickConditions()
	n.tickPlan()
	n.tickOrders()
	n.tickPlacing()
	for _, index := range slices.Sorted(maps.Keys(n.leading.operators)) {
		n.answerIfDue(index, n.leading.operators[index])
	}
}

// deltaRing keeps the newest changes, to bring entry VMs from one revision to
// the next without sending the whole configuration.
type deltaRing struct{ deltas []Delta }

// keptDeltas bounds the ring.
const keptDeltas = 256

func (d *deltaRing) add(delta Delta) {
	if len(d.deltas) >= keptDeltas {
		d.deltas = slices.Clone(d.deltas[keptDeltas/2:])
	}
	d.deltas = append(d.deltas, delta)
}

// since returns the changes after revision, and whether the ring has them all.
func (d *deltaRing) since(revision, current config.Revision) ([]Delta, bool) {
	if revision == current {
		return nil, true
	}
	i := slices.IndexFunc(d.deltas, func(delta Delta) bool { return delta.Revision == revision+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(d.deltas[i:]), true
}

// configChanged keeps a change for the entry VMs, and sends it at once to those that renew
// with this VM.
func (n *Node) configChanged(revision config.Revision, changes []config.Change, accepted bool) {
	last := len(n.leading.deltas.deltas) - 1
	known := last >= 0 && n.leading.deltas.deltas[last].Revision >= revision
	if !accepted || known {
		return
	}
	n.leading.deltas.add(Delta{Revision: revision, Changes: changes})
	n.pushChange()
	n.handOnGrants()
}
