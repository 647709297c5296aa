package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the sending side of the registry: what a control VM sends to its followers, and
// when. registry.go has the problem and the algorithm as a whole.

// handleFollow answers a follower of this VM's registry. A new incarnation of a follower is sent
// everything.
func (n *Node) handleFollow(id ReplicaID, f Follow) {
	if !n.settings.Control {
		return
	}
	if f.Acknowledge {
		n.updateAcknowledged(id, f)
		return
	}
	if !f.Heartbeats && len(n.betterControls(f.Hall, f.HallUnreachable)) > 0 {
		return
	}
	from := id.VM
	known, ok := n.registry.followers[from]
	if !ok || known.id != id {
		known = &follower{id: id}
		n.registry.followers[from] = known
	}
	known.until = n.now.Add(followerExpiry)
	known.askedAt = n.now
	known.hall = f.Hall
	known.control = f.Heartbeats
	if !known.acknowledge(f.positionIn(n.settings.Seed), n.now) && !known.expireInFlight(n.now) {
		n.sendHeartbeats(from, known)
		return
	}
	if !f.OwnOnly {
		n.sendAll(from, known, f.Digest)
		return
	}
	n.sendUpdate(from, known, n.changedAfter(known.after, true), RegistryUpdate{})
}

// updateAcknowledged handles a follower's acknowledgement. What changed meanwhile is sent with
// the next push, together with the changes until then: sent at once, each of 3,000 targets that
// load would cost one message per follower. An acknowledgement doesn't make its sender a
// follower, since it may by now follow another control VM.
func (n *Node) updateAcknowledged(id ReplicaID, f Follow) {
	known, ok := n.registry.followers[id.VM]
	if !ok || known.id != id || !known.acknowledge(f.positionIn(n.settings.Seed), n.now) {
		return
	}
	n.registry.changesPending = n.registry.changesPending || n.registry.targets.Change() > known.after
}

// positionIn returns the last change of an incarnation that the asker has, or 0 if it has none.
func (f Follow) positionIn(incarnation uint64) uint64 {
	if f.Incarnation != incarnation {
		return 0
	}
	return f.After
}

// acknowledge records the last change that a follower has, and reports whether more may be
// sent, which isn't the case while earlier updates are in flight.
func (f *follower) acknowledge(after uint64, now time.Time) bool {
	if after >= f.sent {
		f.resendAt = time.Time{}
		f.unacknowledged = 0
	}
	f.acknowledged = after
	if now.Before(f.resendAt) {
		return false
	}
	f.after = after
	return true
}

// expireInFlight counts the updates in flight to a follower as lost once they have had time to
// arrive, and reports whether it did. The caller has just received a request of the follower for
// what they carry, so that the follower can reach this VM.
func (f *follower) expireInFlight(now time.Time) bool {
	if now.Before(f.overdueAt) {
		return false
	}
	f.resendAt = time.Time{}
	f.unacknowledged = 0
	f.after = f.acknowledged
	return true
}

// sendHeartbeats sends a control VM the heartbeats that are due while other updates to it are
// in flight, since targets whose heartbeats are missing count as silent. It leaves out the
// targets whose reports are in flight: a heartbeat has the number of its report, and the report
// would count as outdated when it arrives.
func (n *Node) sendHeartbeats(vm VMName, f *follower) {
	if !f.control {
		return
	}
	inFlight := make(map[relay.TargetID]bool)
	for _, t := range n.changedAfter(f.acknowledged, true) {
		inFlight[t.ID] = true
	}
	heartbeats := slices.DeleteFunc(n.registry.targets.HeartbeatsSince(f.heartbeatsAt), func(b relay.Heartbeat) bool { return inFlight[b.ID] })
	n.send(vm, Message{TargetNews: &RegistryUpdate{Incarnation: n.settings.Seed, After: f.acknowledged, Through: f.acknowledged, Heartbeats: heartbeats}})
}

// recordLeaving records that some of the given targets are leaving.
func (n *Node) recordLeaving(targets []relay.Target) {
	if slices.ContainsFunc(targets, func(t relay.Target) bool { return !t.AcceptsWork() }) {
		n.registry.leavingChange = n.registry.targets.Change()
	}
}

// sendLeaving sends a follower the leaving targets while other updates to it are in flight. The
// follower then gives them no new work after the drain bound, however long the other updates
// take. The follower's position doesn't change, and the same targets are sent again with the
// next updates.
func (n *Node) sendLeaving(vm VMName, f *follower) {
	after := max(f.after, f.leavingSent)
	if n.registry.leavingChange <= after {
		return // no cost while no target leaves
	}
	f.leavingSent = n.registry.targets.Change()
	leaving := slices.DeleteFunc(n.changedAfter(after, f.control), func(t relay.Target) bool { return t.AcceptsWork() })
	if len(leaving) > 0 {
		n.send(vm, Message{TargetNews: &RegistryUpdate{Incarnation: n.settings.Seed, After: f.acknowledged, Through: f.acknowledged, Targets: leaving}})
	}
}

// sendAll sends a follower everything that is new to it. A follower that has nothing from this
// VM is sent the live targets, or those that its digest lacks.
func (n *Node) sendAll(vm VMName, f *follower, d relay.Digest) {
	whole := f.after == 0
	n.extendShortlists()
	targets := n.changedAfter(f.after, false)
	switch {
	case f.control:
		targets = n.withoutSilent(n.registry.targets.ChangedSince(f.after))
	case whole && len(d) > 0:
		targets = n.registry.targets.Differing(d)
	case whole:
		targets = n.withoutSilent(targets)
	}
	n.sendUpdate(vm, f, targets, RegistryUpdate{Complete: whole})
}

// push sends changes to all followers: all of them to entry VMs, and those that this VM
// received from targets to control VMs. Most followers are at the same change, so that the
// targets are looked up once per change.
func (n *Node) push() {
	type batchKey struct {
		after uint64
		own   bool
	}
	// Updates are in flight until the follower acknowledges them. A follower that is slow or
	// behind a full link then receives all later changes in one update. If each change were
	// sent as it happens, and again in reply to each request that crosses it on the way, a
	// leader whose targets are loading layers would send several times what is new.
	updates := make(map[batchKey][]relay.Target)
	n.extendShortlists()
	for _, vm := range slices.Sorted(maps.Keys(n.registry.followers)) {
		f := n.registry.followers[vm]
		if n.now.After(f.until) {
			delete(n.registry.followers, vm)
			continue
		}
		if n.now.Before(f.resendAt) {
			n.sendLeaving(vm, f)
			continue
		}
		if f.unacknowledged > 0 {
			f.after = f.acknowledged
		}
		if f.after == 0 && !f.control {
			n.sendAll(vm, f, nil)
			continue
		}
		at := batchKey{after: f.after, own: f.control}
		targets, known := updates[at]
		if !known {
			targets = n.changedAfter(at.after, at.own)
			updates[at] = targets
		}
		if len(targets) > 0 {
			n.sendUpdate(vm, f, targets, RegistryUpdate{})
		}
	}
}

// changedAfter returns the targets that changed after the given change: for a control VM those
// that report to this VM, for an entry VM those that are advertised.
func (n *Node) changedAfter(change uint64, control bool) []relay.Target {
	if change > 0 && change == n.registry.targets.Change() {
		return nil
	}
	if control {
		return n.registry.targets.DirectChangedSince(change)
	}
	return n.registry.targets.ListedChangedSince(change)
}

const (
	// initialResendDelay is the wait for an acknowledgement before updates are sent again: far
	// longer than they take on a link that isn't full, and short enough for a leaving target to
	// be sent twice within the 2 s that this may take. Each consecutive loss doubles it, at
	// most maxResendDoublings times and up to maxResendDelay.
	initialResendDelay = 700 * time.Millisecond
	maxResendDoublings = 3
	maxResendDelay     = 5 * time.Second
	// resendDelayPerTarget is added for each target in an update: about 70 bytes, over a link
	// of 20 Mbit/s shared by 15 followers.
	resendDelayPerTarget = 500 * time.Microsecond
)

// sendUpdate sends a follower an update of the given targets, which brings it to the newest
// change.
func (n *Node) sendUpdate(vm VMName, f *follower, targets []relay.Target, update RegistryUpdate) {
	update.Incarnation = n.settings.Seed
	update.After = f.after
	update.Through = n.registry.targets.Change()
	update.AbsenceNotes = n.registry.targets.AbsenceNotes()
	for _, t := range targets {
		if n.registry.targets.UpdateSuffices(t.ID, f.after) {
			update.Updates = append(update.Updates, t.Update())
			continue
		}
		update.Targets = append(update.Targets, t)
	}
	if f.control {
		update.Heartbeats = n.registry.targets.HeartbeatsSince(f.heartbeatsAt)
		f.heartbeatsAt = n.now
	}
	f.after = update.Through
	if len(targets) > 0 {
		f.sent = update.Through
		transfer := time.Duration(len(targets)) * resendDelayPerTarget
		f.resendAt = n.now.Add(min(initialResendDelay<<min(f.unacknowledged, maxResendDoublings), maxResendDelay) + transfer)
		f.overdueAt = n.now.Add(initialResendDelay + transfer)
		f.unacknowledged++
	}
	n.send(vm, Message{TargetNews: &update})
}
