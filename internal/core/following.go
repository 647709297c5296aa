package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the receiving side of the registry: which control VM a VM asks for changes of
// targets, and how it applies them. registry.go has the problem and the algorithm as a whole.

// Follow asks a control VM for the changes of its registry.
type Follow struct {
	// Incarnation and After name the last change that the asker has.
	Incarnation uint64 `cbor:"life"`
	After       uint64 `cbor:"after"`
	// Heartbeats also asks for heartbeats.
	Heartbeats bool `cbor:"beats,omitempty"`
	// OwnOnly asks only for the targets that report to the receiver: the asker has already
	// received all others.
	OwnOnly bool `cbor:"own_only,omitempty"`
	// Acknowledge acknowledges the last update and asks for none.
	Acknowledge bool `cbor:"came,omitempty"`
	// Digest is set if the asker knows targets but has received none from the receiver.
	Digest relay.Digest `cbor:"digest,omitempty"`
	// Hall is the asker's data hall. HallUnreachable reports that no control VM of that hall
	// has answered an entry VM.
	Hall            string `cbor:"hall,omitempty"`
	HallUnreachable bool   `cbor:"away,omitempty"`
}

// RegistryUpdate carries the changes of a registry after After, up to Through.
type RegistryUpdate struct {
	Incarnation uint64         `cbor:"life"`
	After       uint64         `cbor:"after,omitempty"`
	Through     uint64         `cbor:"upto"`
	Targets     []relay.Target `cbor:"targets,omitempty"`
	// Updates are of targets that the receiver was sent up to After.
	Updates    []relay.TargetUpdate `cbor:"updates,omitempty"`
	Heartbeats []relay.Heartbeat    `cbor:"beats,omitempty"`
	// AbsenceNotes are incarnations that aren't current although they began last.
	AbsenceNotes []relay.AbsenceNote `cbor:"missed,omitempty"`
	// Complete reports that these are all targets that the sender knows.
	Complete bool `cbor:"whole,omitempty"`
}

// position is the last change received from a control VM, and the incarnation of that VM.
type position struct {
	incarnation uint64
	after       uint64
}

// afterIn returns the last change received from an incarnation, or 0 if there is none.
func (p position) afterIn(incarnation uint64) uint64 {
	if p.incarnation != incarnation {
		return 0
	}
	return p.after
}

func (n *Node) followInterval() time.Duration {
	switch {
	case n.settings.Control:
		return heartbeatsEvery
	case !n.registry.hasFullState:
		return followEveryAtStart
	}
	return followEvery
}

// follow asks for changes: an entry VM asks the control VM that it renews with.
func (n *Node) follow() {
	if n.settings.Control {
		n.followControls()
		return
	}
	source := n.entry.lease.source
	if source == "" || source == n.settings.Self.VM {
		return
	}
	at, known := n.registry.followed[source]
	ask := Follow{Incarnation: at.incarnation, After: at.after, Hall: n.settings.Address.Hall, HallUnreachable: !n.entry.lease.ownHallRetryAt.IsZero()}
	if !known && n.registry.hasFullState {
		ask.Digest = n.registry.targets.Digest()
	}
	n.send(source, Message{Follow: &ask})
}

// followControls asks all other control VMs for changes. Until one of them has sent its full
// state, they are asked for it in turn.
func (n *Node) followControls() {
	r := &n.registry
	others := slices.DeleteFunc(n.controlVMs(), func(vm VMName) bool { return vm == n.settings.Self.VM })
	if len(others) == 0 {
		return
	}
	if r.fullStateFrom == 0 {
		r.fullStateFrom = 1 + n.rand.IntN(len(others))
	}
	for i, vm := range others {
		at := r.followed[vm]
		ask := Follow{Incarnation: at.incarnation, After: at.after, Heartbeats: true, OwnOnly: r.hasFullState || i != r.fullStateFrom%len(others), Hall: n.settings.Address.Hall}
		if !ask.OwnOnly {
			ask.Incarnation, ask.After = 0, 0
		}
		n.send(vm, Message{Follow: &ask})
	}
	r.fullStateFrom++
}

func (n *Node) receiveRegistry(e Envelope) {
	switch b := e.Body; {
	case b.Follow != nil:
		n.handleFollow(e.From, *b.Follow)
	case b.TargetNews != nil:
		n.applyUpdate(e.From.VM, *b.TargetNews)
	}
}

// acknowledgeUpdate acknowledges a control VM's update, so that it sends the next one.
func (n *Node) acknowledgeUpdate(from VMName, update RegistryUpdate) {
	if len(update.Targets) == 0 && len(update.Updates) == 0 {
		return
	}
	at := n.registry.followed[from]
	ask := Follow{Incarnation: at.incarnation, After: at.after, Heartbeats: n.settings.Control, OwnOnly: true, Acknowledge: true, Hall: n.settings.Address.Hall}
	if !n.settings.Control {
		ask.OwnOnly = false
		ask.HallUnreachable = !n.entry.lease.ownHallRetryAt.IsZero()
	}
	n.send(from, Message{Follow: &ask})
}

// applyUpdate applies an update from a control VM.
func (n *Node) applyUpdate(from VMName, update RegistryUpdate) {
	at := n.registry.followed[from]
	if update.After == 0 || update.Incarnation == at.incarnation && update.After <= at.after {
		// After a gap, the update is applied as well, but the position stays, so that the update
		// that was lost is asked for again.
		n.registry.followed[from] = position{incarnation: update.Incarnation, after: max(update.Through, at.afterIn(update.Incarnation))}
	}
	n.registry.hasFullState = n.registry.hasFullState || update.Complete
	for _, m := range update.AbsenceNotes {
		n.registry.targets.ReceiveAbsence(m, n.now)
	}
	var learned []relay.Target
	for _, u := range update.Updates {
		t, known := n.registry.targets.Get(u.ID)
		if !known {
			// It has been removed here: ask for everything again.
			n.registry.followed[from] = position{}
			continue
		}
		update.Targets = append(update.Targets, t.With(u))
	}
	for _, t := range update.Targets {
		if n.registry.targets.ReceiveForwarded(t, n.now) {
			// The sender may not know of a draining notice that this VM has received before.
			known, _ := n.registry.targets.Get(t.ID)
			learned = append(learned, known)
		}
	}
	for _, b := range update.Heartbeats {
		n.registry.targets.ReceiveHeartbeat(b.ID, b.Call, n.now)
	}
	n.acknowledgeUpdate(from, update)
	ended, revived := n.registry.targets.PopTransitions()
	n.endIncarnations(ended, from)
	learned = slices.DeleteFunc(append(learned, revived...), func(t relay.Target) bool { return !n.registry.targets.IsCurrent(t.ID) })
	n.recordLeaving(learned)
	n.registry.changesPending = n.registry.changesPending || len(learned) > 0
	if len(learned) > 0 && n.settings.Entry {
		n.emit(TargetsLearned{Targets: learned})
	}
}

// endIncarnations ends incarnations of targets and removes their placement orders.
func (n *Node) endIncarnations(ended []relay.Succession, reportedBy VMName) {
	if len(ended) == 0 {
		return
	}
	n.registry.changesPending = true
	for _, s := range ended {
		delete(n.leader.layerPlacement.orders, s.Old)
	}
	n.emit(TargetsEnded{Ended: ended, ReportedBy: reportedBy})
}
