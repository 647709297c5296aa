package core

// Snapshot is the control state after the entry at Index.
type Snapshot struct {
	Index   Index      `cbor:"index"`
	Term    Term       `cbor:"term"`
	Members Membership `cbor:"members"`
	Machine Machine    `cbor:"machine"`
}

// snapshotTail is the number of entries that stay in the log behind a
// snapshot, so that a follower a little behind needs no snapshot.
const snapshotTail = 100

// maybeSnapshot orders a snapshot when the log has grown by SnapshotEvery.
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

// snapshotNow copies the state at the last applied entry.
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
	n.leading.snapshot = s
	n.persists.issued++
	n.emit(SaveSnapshot{
		Sequence: n.persists.issued,
		Snapshot: s,
		Hard:     r.hard,
		Tail:     r.log.after(s.Index, int(r.log.last())),
	})
	r.syncMarks = append(r.syncMarks, syncMark{sequence: n.persists.issued, index: r.log.last()})
}

// installAsked replaces the log and the state by the leader's snapshot.
func (n *Node) installAsked(from ReplicaID, i Install) {
	if n.heardLeader(from, i.Term) {
		return
	}
	r := &n.replica
	if i.Snapshot.Index > r.commit {
		r.log.reset(i.Snapshot.Index, i.Snapshot.Term)
		r.synced = 0
		r.syncMarks = nil
		r.baseMembers = i.Snapshot.Members
		r.findMembers()
		r.commit = i.Snapshot.Index
		r.applied = i.Snapshot.Index
		n.machine = i.Snapshot.Machine.clone()
		n.saveSnapshot(i.Snapshot)
	}
	n.sendAfterSync(from.VM, Message{AppendReply: &AppendReply{Term: r.hard.Term, Match: i.Snapshot.Index, Round: i.Round}})
}
