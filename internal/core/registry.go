package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file distributes the reports of targets.
//
// Problem: targets register with any control VM, and each entry VM must learn within the drain
// bound that a target is leaving, also while there is no leader.
//
// Algorithm: soft state, outside the log. A control VM keeps the reports that it receives from
// targets and pushes each change to all its followers, other control VMs among them. Control
// VMs follow each other and forward only what they received from targets themselves: if each of
// k control VMs forwarded all that it knows, every one would receive each report k times. An
// entry VM follows the control VM that it renews with, which forwards all that it knows: a
// report needs two hops, and an entry VM has one peer for it. The reports of one incarnation of
// a target are ordered by its own numbering, and leaving is never taken back. Each VM derives
// from the incarnations that it knows which of them is current (relay/incarnation.go). A
// follower names the last change that it has. A control VM that has just started asks one other
// control VM for everything that it knows of targets, hints included.
//
// A control VM saves its state from time to time, without a sync. After a power loss of all VMs
// these hints let them serve before the targets have reported again, which takes up to 3 s. A
// hint is valid for as long as a report received at the start. If it were valid for half as long,
// hints would expire while live targets still look for a control VM, and their running requests
// would be given up. Requests to a target that has ended find it dead.
//
// Invariants: a control VM without a recent message from the leader accepts no report, so that a
// target reports to one that reaches its followers; what is pushed is what targets reported, never
// an inference.
//
// Limits: a report that only one control VM has received is lost if that VM dies within one
// push. Targets repeat their reports until they end, and the control VM that a target reports to
// next forwards them again.

// TargetSpoke is a report of a target that this VM received.
type TargetSpoke struct {
	Conn   ConnID
	Target relay.Target
}

// TargetDrains is a notice that a target is leaving, received with an answer to something other
// than a request. An entry VM also reports such notices with its renewals.
type TargetDrains struct{ Target relay.TargetID }

// TargetReportReply answers TargetSpoke. Accepted is false where the target should report to
// another control VM.
type TargetReportReply struct {
	Conn     ConnID
	Accepted bool
	// HeldBack reports that no document names the target's service.
	HeldBack bool
}

// WorkCounted is the work of this VM in flight at targets, and which of them it has recently
// found failed or healthy.
type WorkCounted struct {
	Work map[relay.TargetKey]relay.Work
	// Usage counts this VM's requests and repeats in the last window, by service.
	Usage    map[string]relay.Usage
	Findings relay.Findings
	// Limits is what to report to the leader of targets with limits.
	Limits []relay.PermitRequest
}

// SeedsRead are the control VMs that the settings now name.
type SeedsRead struct{ VMs []VMName }

// TargetsLearned passes new reports of targets to the runtime.
type TargetsLearned struct{ Targets []relay.Target }

// TargetsEnded reports to the runtime which incarnations of targets have ended because a later
// one has begun. ReportedBy is the VM that reported it: a control VM, or this VM if the target
// reported to it.
type TargetsEnded struct {
	Ended      []relay.Succession
	ReportedBy VMName
}

// FleetLearned passes the leader's state of the fleet to the runtime of an entry VM.
type FleetLearned struct {
	// LeaseUntil is when this VM's right to act by its document ends.
	LeaseUntil time.Time
	VMs        int
	// Others is the work of other VMs in flight at targets: at all of them if OthersComplete,
	// otherwise where it has changed much.
	Others         map[relay.TargetKey]relay.Work
	OthersComplete bool
	// OthersReported reports whether the leader knows the work of other VMs.
	OthersReported bool
	// Usage counts the requests and repeats of UsageVMs entry VMs in the last window, by
	// service; it is valid where OthersReported is set.
	Usage    map[string]relay.Usage
	UsageVMs int
	// Marks are the changed marks of targets; MarksComplete reports that all other targets have
	// none.
	Marks         map[relay.TargetKey]relay.Mark
	MarksComplete bool
}

func (TargetSpoke) isEvent()  {}
func (WorkCounted) isEvent()  {}
func (SeedsRead) isEvent()    {}
func (TargetDrains) isEvent() {}

func (TargetReportReply) isEffect() {}
func (TargetsLearned) isEffect()    {}
func (TargetsEnded) isEffect()      {}
func (FleetLearned) isEffect()      {}

const (
	// followEvery is the interval between two Follow requests of an entry VM, and
	// heartbeatsEvery that of a control VM, which also brings heartbeats. A change is pushed at
	// once; a lost request delays a change by one interval, of the 2 s that it may take.
	followEvery     = 1500 * time.Millisecond
	heartbeatsEvery = 500 * time.Millisecond
	// followEveryAtStart is that interval until a control VM has sent its full state. Where all
	// VMs start together, the one asked first may not be listening yet, and callers wait. A
	// control VM that receives ten requests a second from 300 followers is busy with them for
	// part of one second.
	followEveryAtStart = 100 * time.Millisecond
	// followerExpiry is how long changes are pushed to a follower that hasn't asked again.
	followerExpiry = 4 * followEvery
	// targetExpiry is the silence after which a target is removed: far longer than a network
	// partition between VMs lasts.
	targetExpiry = 60 * time.Second
	// A target counts as silent when at least minFailedFindings entry VMs find it failed, and at
	// least failedRatio times as many as find it healthy. VMs partitioned from targets find all
	// of them failed, and are fewer than the others.
	minFailedFindings = 2
	failedRatio       = 2
	// pushIntervalPerFollower is the interval between two pushes, per follower, so that the
	// share of the processor that pushes take doesn't grow with the followers. It stays well
	// within the 2 s that a report may take.
	pushIntervalPerFollower = time.Millisecond
	// leaderContactTimeout is the silence of the leader after which a control VM accepts no
	// report; an election ends within it.
	leaderContactTimeout = 1500 * time.Millisecond
)

// registry is a Node's state for the distribution of target reports.
type registry struct {
	targets   *relay.Registry
	followers map[VMName]*follower
	// followed is the last change received from each control VM.
	followed map[VMName]position
	followAt time.Time
	expireAt time.Time
	// fullStateFrom selects, modulo their number, the control VM that is asked for its full
	// state; hasFullState is set once one has sent it.
	fullStateFrom int
	hasFullState  bool
	// changesPending is set when followers are to be sent changes at the next push. Thousands
	// of targets may report within a second, and each push goes to hundreds of followers.
	changesPending bool
	pushAt         time.Time
	// completeAt is when every live target has reported since this process started. Before
	// that, a target's state may be known from hints only, or not at all.
	completeAt time.Time
	// saved is the last change up to which hints were saved, and savedSilent the number of
	// targets that were silent then.
	saved       uint64
	savedSilent int
	saveAt      time.Time
	// checkSilentAt is when to check again whether other targets are silent.
	checkSilentAt   time.Time
	heldBackReports heldBackReports
	// shortlist is kept by a control VM.
	shortlist shortlist
	// leavingChange is the change at which this VM last learned that a target is leaving.
	leavingChange uint64
}

// follower is a VM that changes are pushed to.
type follower struct {
	id    ReplicaID
	after uint64
	until time.Time
	// acknowledged is the last change that it has acknowledged.
	acknowledged uint64
	// sent is the change up to which updates were sent, and resendAt when those in flight count
	// as lost; resendAt is zero where none are in flight. lost counts the updates sent since
	// everything was last acknowledged, including those in flight.
	sent           uint64
	resendAt       time.Time
	unacknowledged int
	// overdueAt is when updates in flight count as lost if the follower asks and reports that
	// it lacks them.
	overdueAt time.Time
	// leavingSent is the change up to which it was sent leaving targets outside the sequence of
	// updates.
	leavingSent uint64
	// askedAt is when it last asked, and hall the data hall that it named.
	askedAt time.Time
	hall    string
	// control is set for a control VM, which receives only what targets reported to this VM.
	control      bool
	heartbeatsAt time.Time
}

func (n *Node) startRegistry(hints []relay.Target) {
	silence := n.settings.Timing.targetTimeout()
	n.registry = registry{
		targets:         relay.NewRegistry(silence),
		followers:       make(map[VMName]*follower),
		followed:        make(map[VMName]position),
		heldBackReports: heldBackReports{targets: relay.NewRegistry(silence)},
	}
	if n.settings.Control {
		n.registry.targets.WithholdEngines()
	}
	n.registry.completeAt = n.now.Add(silence)
	for _, t := range hints {
		n.registry.targets.ReceiveForwarded(t, n.now)
	}
	n.registry.targets.PopTransitions() // nothing has run yet
	n.registry.saved = n.registry.targets.Change()
}

// SaveTargets asks the runtime to store hints for the next start. They may be lost.
type SaveTargets struct{ Targets []relay.Target }

func (SaveTargets) isEffect() {}

// saveEvery is the minimum time between two saves of hints, unless a target leaves.
const saveEvery = 3 * time.Second

// saveTargets saves hints of the live targets when something has changed. A hint of a dead
// target would be as valid as the report of its successor at the same address.
func (n *Node) saveTargets(atOnce bool) {
	r := &n.registry
	changed := r.saved != r.targets.Change()
	if !n.settings.Control || changed && !atOnce && n.now.Before(r.saveAt) || !changed && n.now.Before(r.checkSilentAt) {
		return
	}
	r.checkSilentAt = n.now.Add(saveEvery)
	silent := n.silentTargets()
	if !changed && r.savedSilent == len(silent) {
		return
	}
	r.saveAt = n.now.Add(saveEvery)
	r.saved = r.targets.Change()
	r.savedSilent = len(silent)
	n.emit(SaveTargets{Targets: n.withoutSilent(r.targets.All())})
}

// withoutSilent removes the silent targets from a list.
func (n *Node) withoutSilent(targets []relay.Target) []relay.Target {
	silent := n.silentTargets()
	return slices.DeleteFunc(targets, func(t relay.Target) bool {
		_, is := slices.BinarySearch(silent, t.ID)
		return is
	})
}

// silentTargets returns, sorted, the targets that no VM has recently received a heartbeat of.
func (n *Node) silentTargets() []relay.TargetID {
	return n.registry.targets.SilentTargets(n.now, n.settings.Timing.replacedTargetTimeout())
}

// targetReported handles a report that a target sent to this VM.
func (n *Node) targetReported(s TargetSpoke) {
	if !n.hasLeaderContact() {
		n.emit(TargetReportReply{Conn: s.Conn})
		return
	}
	heldBack := n.holdBackUndeclared(s.Target)
	if !heldBack {
		n.acceptReport(s.Target)
	}
	n.emit(TargetReportReply{Conn: s.Conn, Accepted: true, HeldBack: heldBack})
}

// acceptReport records and distributes a report that a target sent to this VM.
func (n *Node) acceptReport(t relay.Target) {
	changed := n.registry.targets.ReceiveReport(t, n.now)
	ended, revived := n.registry.targets.PopTransitions()
	n.endIncarnations(ended, n.settings.Self.VM)
	if !changed && len(revived) == 0 {
		return
	}
	n.note("target said something new", string(t.ID))
	n.recordLeaving([]relay.Target{t})
	n.registry.changesPending = true
	n.saveTargets(t.Leaving)
}

// drainingReported handles leaving notices that targets sent to a VM with their answers. They have
// the effect of a heartbeat that reports the same.
func (n *Node) drainingReported(ids []relay.TargetID, reportedBy VMName) {
	for _, id := range ids {
		if !n.registry.targets.RecordDraining(id) {
			continue
		}
		n.note("target leaves, as it said with an answer to "+string(reportedBy), string(id))
		n.registry.leavingChange = n.registry.targets.Change()
		n.registry.changesPending = true
		n.saveTargets(true)
	}
}

// hasLeaderContact reports whether this control VM is in contact with a quorum: it leads with a
// lease, or has recently received a message from the leader.
func (n *Node) hasLeaderContact() bool {
	if n.replica.role == Leader {
		return n.holdsLease()
	}
	return n.replica.leader.VM != "" && n.now.Before(n.replica.lastContact.Add(leaderContactTimeout))
}

// controlVMs returns, sorted, the control VMs that this VM knows from its settings, the members
// of the log and the last lease.
func (n *Node) controlVMs() []VMName {
	known := make(map[VMName]bool)
	for _, vm := range n.settings.ControlVMs {
		known[vm] = true
	}
	for _, m := range n.replica.members.Members {
		known[m.ID.VM] = true
	}
	for _, c := range n.entry.controls {
		known[c.VM] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// hasRegisteringTargets reports whether this deployment has targets that register.
func (n *Node) hasRegisteringTargets() bool { return n.settings.DecodeDocument != nil }

func (n *Node) tickRegistry() {
	if !n.hasRegisteringTargets() {
		return
	}
	if !n.now.Before(n.registry.followAt) {
		n.registry.followAt = n.now.Add(n.followInterval())
		n.follow()
	}
	if n.settings.Control {
		n.tickHeldBackReports()
		n.extendShortlists()
	}
	n.saveTargets(false)
	n.registry.changesPending = n.registry.changesPending || n.updateLost()
	if n.registry.changesPending && !n.now.Before(n.registry.pushAt) {
		n.registry.changesPending = false
		n.registry.pushAt = n.now.Add(time.Duration(len(n.registry.followers)) * pushIntervalPerFollower)
		n.push()
	}
	if !n.now.Before(n.registry.expireAt) {
		n.registry.expireAt = n.now.Add(targetExpiry / 10)
		n.registry.targets.Expire(n.now.Add(-targetExpiry))
	}
}

// updateLost reports whether updates to a follower weren't acknowledged in time.
func (n *Node) updateLost() bool {
	for _, f := range n.registry.followers {
		if f.unacknowledged > 0 && !n.now.Before(f.resendAt) {
			return true
		}
	}
	return false
}
