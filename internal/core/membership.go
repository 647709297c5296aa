package core

import (
	"maps"
	"slices"
)

// Member is one replica of the control state. A learner receives the log and has
// no vote.
type Member struct {
	ID    ReplicaID `cbor:"id"`
	Voter bool      `cbor:"voter"`
	// Volatile members have no disk and never get a vote.
	Volatile bool `cbor:"volatile,omitempty"`
}

// Membership is an immutable list of members, sorted by identity.
type Membership struct {
	Members []Member `cbor:"members"`
}

// NewMembership returns a membership with a sole voter.
func NewMembership(id ReplicaID) Membership {
	return Membership{Members: []Member{{ID: id, Voter: true}}}
}

// With returns a membership with member added, or replaced if its identity is present.
func (m Membership) With(member Member) Membership {
	members := append(m.Without(member.ID).Members, member)
	slices.SortFunc(members, func(a, b Member) int { return compareReplicas(a.ID, b.ID) })
	return Membership{Members: members}
}

// Without returns a membership with id removed.
func (m Membership) Without(id ReplicaID) Membership {
	members := make([]Member, 0, len(m.Members)+1)
	for _, member := range m.Members {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return Membership{Members: members}
}

// Has reports whether id is a member.
func (m Membership) Has(id ReplicaID) bool {
	return slices.ContainsFunc(m.Members, func(member Member) bool { return member.ID == id })
}

// IsVoter reports whether id is a member with a vote.
func (m Membership) IsVoter(id ReplicaID) bool {
	return slices.Contains(m.Members, Member{ID: id, Voter: true})
}

// Voters returns the identities that have a vote.
func (m Membership) Voters() []ReplicaID {
	var ids []ReplicaID
	for _, member := range m.Members {
		if member.Voter {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// Quorum returns the number of voters that form a quorum.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// tickMembership makes at most one change towards the wanted set of voters. A single
// change at a time keeps any two quorums overlapping. The leader first commits an
// entry of its own term, without which an older change could be undone.
//
// A lost voter is removed before its replacement gets a vote. The quorum thus never
// exceeds the number of live replicas, and the cluster survives a second loss after
// the replacement.
func (n *Node) tickMembership() {
	r := &n.replica
	if r.membersIndex > r.commit || !r.committedOwnTerm() {
		return
	}
	if lost, ok := n.voterToRemove(); ok {
		n.note("voter removed", lost.String())
		n.proposeMembers(r.members.Without(lost))
		return
	}
	if next, ok := n.learnerToPromote(); ok {
		n.note("learner gets a vote", next.String())
		n.proposeMembers(r.members.With(Member{ID: next, Voter: true}))
		return
	}
	if n.addLearners() {
		return
	}
	if lost, ok := n.learnerToRemove(); ok {
		n.proposeMembers(r.members.Without(lost))
	}
}

// voterToRemove returns a voter that will not return under its identity, or one that
// has been silent for ReplaceAfter while a caught-up learner can take its place.
func (n *Node) voterToRemove() (ReplicaID, bool) {
	r := &n.replica
	voters := r.voters()
	for _, id := range voters {
		p := r.progress[id]
		if id == r.id || p == nil {
			continue
		}
		if n.hasNewIncarnation(id) && len(voters) > 1 {
			return id, true
		}
		silent := !n.now.Before(p.lastContact.Add(n.settings.Timing.ReplaceAfter))
		if _, spare := n.caughtUpLearner(); silent && spare && len(voters) >= n.settings.Voters {
			return id, true
		}
	}
	return ReplicaID{}, false
}

// hasNewIncarnation reports whether the VM of id has joined under another identity and has
// caught up. A VM does so only when the data folder of id is lost.
func (n *Node) hasNewIncarnation(id ReplicaID) bool {
	for _, m := range n.replica.members.Members {
		if m.ID.VM == id.VM && m.ID != id && !m.Voter && !m.Volatile && n.isCaughtUp(m.ID) {
			return true
		}
	}
	return false
}

func (n *Node) learnerToPromote() (ReplicaID, bool) {
	if len(n.replica.voters()) >= n.settings.Voters {
		return ReplicaID{}, false
	}
	return n.caughtUpLearner()
}

func (n *Node) caughtUpLearner() (ReplicaID, bool) {
	for _, m := range n.replica.members.Members {
		if !m.Voter && !m.Volatile && n.isCaughtUp(m.ID) {
			return m.ID, true
		}
	}
	return ReplicaID{}, false
}

// isCaughtUp reports whether a replica has synced all committed entries and has
// replied within ElectionMax.
func (n *Node) isCaughtUp(id ReplicaID) bool {
	p := n.replica.progress[id]
	if p == nil || p.match < n.replica.commit {
		return false
	}
	return n.now.Before(p.lastContact.Add(n.settings.Timing.ElectionMax))
}

func (n *Node) learnerToRemove() (ReplicaID, bool) {
	for _, m := range n.replica.members.Members {
		p := n.replica.progress[m.ID]
		if !m.Voter && p != nil && !n.now.Before(p.lastContact.Add(n.settings.Timing.ReplaceAfter)) {
			return m.ID, true
		}
	}
	return ReplicaID{}, false
}

// handleJoin queues a replica to be added as a learner. A follower forwards the
// request to the leader.
func (n *Node) handleJoin(from ReplicaID, j Join) {
	r := &n.replica
	n.delegateBootstrap(from, j)
	if r.role != Leader {
		if j.For.IsZero() && r.leader.VM != "" && r.leader.VM != r.id.VM {
			n.send(r.leader.VM, Message{Join: &Join{For: from, Volatile: j.Volatile}})
		}
		return
	}
	if !j.For.IsZero() {
		from = j.For
	}
	if !r.members.Has(from) {
		n.leader.joining[from] = Member{ID: from, Volatile: j.Volatile}
	}
}

// addLearners adds all replicas that have asked to join since the last change, in one
// change: a learner is part of no quorum. After a loss of all VMs a dozen ask together, and
// serve their data halls once they are added. A learner of another incarnation of the same
// VM is removed.
func (n *Node) addLearners() bool {
	r := &n.replica
	if len(n.leader.joining) == 0 {
		return false
	}
	members := r.members
	for _, id := range slices.SortedFunc(maps.Keys(n.leader.joining), compareReplicas) {
		for _, m := range members.Members {
			if m.ID.VM == id.VM && m.ID != id && !m.Voter {
				members = members.Without(m.ID)
			}
		}
		members = members.With(n.leader.joining[id])
		n.note("learner joins", id.String())
	}
	clear(n.leader.joining)
	n.proposeMembers(members)
	return true
}

func (n *Node) proposeMembers(m Membership) { n.propose(Entry{Members: &m}) }
