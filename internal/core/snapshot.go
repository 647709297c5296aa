package core

import "fmt"

// Snapshot is the control state after the entry at Index.
type Snapshot struct {
	Index   Index        `cbor:"index"`
	Term    Term         `cbor:"term"`
	Members Membership   `cbor:"members"`
	Machine StateMachine `cbor:"machine"`
}

// snapshotTail is the number of entries before a snapshot that stay in the log, so
// that a follower that lags slightly needs no snapshot.
const snapshotTail = 100

// maybeSnapshot saves a snapshot when the log has grown by SnapshotEvery.
func (n *Node) maybeSnapshot() {
	r := &n.replica
	if r.applied < r.log.base+Index(n.settings.SnapshotEvery)+snapshotTail {
		return
	}
	snapshot := n.snapshotNow()
	members := n.membersAt(r.applied - snapshotTail)
	r.log.compact(r.applied - snapshotTail)
	r.baseMembers = members
	n.saveSnapshot(snapshot)
}

// snapshotNow returns a snapshot at the last applied entry.
func (n *Node) snapshotNow() Snapshot {
	r := &n.replica
	term, _ := r.log.term(r.applied)
	return Snapshot{Index: r.applied, Term: term, Members: n.membersAt(r.applied), Machine: n.machine.clone()}
}

// membersAt returns the membership in force at index.
func (n *Node) membersAt(index Index) Membership {
	r := &n.replica
	members := r.baseMembers
	for _, e := range r.log.entries {
		if e.Index > index {
			break
		}
		if e.Members != nil {
			members = *e.Members
		}
	}
	return members
}

func (n *Node) saveSnapshot(s Snapshot) {
	r := &n.replica
	n.leader.snapshot = s
	n.persistence.issued++
	n.emit(SaveSnapshot{
		Sequence: n.persistence.issued,
		Snapshot: s,
		Hard:     r.hard,
		Tail:     r.log.after(s.Index, int(r.log.last())),
	})
	r.syncMarks = append(r.syncMarks, syncMark{sequence: n.persistence.issued, index: r.log.last()})
}

// handleInstall replaces the log and the state with the leader's snapshot, if that is
// newer than the committed state.
func (n *Node) handleInstall(from ReplicaID, i Install) {
	if n.recordLeaderContact(from, i.Term) {
		return
	}
	r := &n.replica
	if i.Snapshot.Index > r.commit {
		r.log.reset(i.Snapshot.Index, i.Snapshot.Term)
		r.synced = 0
		r.syncMarks = nil
		r.baseMembers = i.Snapshot.Members
		r.reloadMembers()
		r.commit = i.Snapshot.Index
		r.applied = i.Snapshot.Index
		n.machine = i.Snapshot.Machine.clone()
		n.saveSnapshot(i.Snapshot)
		n.note("state is replaced by a snapshot of the leader", fmt.Sprintf("index=%d revision=%d", i.Snapshot.Index, n.machine.Config.Revision))
	}
	n.sendAfterSync(from.VM, Message{AppendReply: &AppendReply{Term: r.hard.Term, Match: i.Snapshot.Index, Round: i.Round}})
}
