package core

import (
	"maps"
	"slices"
)

// Member is one replica of the control state. A learner gets the log and has
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

// NewMembership returns the membership of one sole voter.
func NewMembership(id ReplicaID) Membership {
	return Membership{Members: []Member{{ID: id, Voter: true}}}
}

// With returns a membership that has m, in place of one of the same identity.
func (m Membership) With(member Member) Membership {
	members := append(m.Without(member.ID).Members, member)
	slices.SortFunc(members, func(a, b Member) int { return compareReplicas(a.ID, b.ID) })
	return Membership{Members: members}
}

// Without returns a membership that lacks id.
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

// Quorum returns how many voters decide.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// tickMembership takes at most one step towards the wanted voters. One change
// at a time keeps any two quorums overlapping; a leader first commits an entry
// of its own term, without which an older change could be undone.
//
// A lost voter is removed before its replacement gets a vote. The quorum then
// never grows past the replicas that are alive, and a second loss after the
// replacement is survived.
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
	if n.takeJoining() {
		return
	}
	if gone, ok := n.learnerToForget(); ok {
		n.proposeMembers(r.members.Without(gone))
	}
}

// voterToRemove returns a voter that will not come back under its identity, or
// that has been silent for long, when a caught-up learner can take its place.
func (n *Node) voterToRemove() (ReplicaID, bool) {
	r := &n.replica
	voters := r.voters()
	for _, id := range voters {
		p := r.progress[id]
		if id == r.id || p == nil {
			continue
		}
		if n.reborn(id) && len(voters) > 1 {
			return id, true
		}
		silent := !n.now.Before(p.heardAt.Add(n.settings.Timing.ReplaceAfter))
		if _, spare := n.caughtUpLearner(); silent && spare && len(voters) >= n.settings.Voters {
			return id, true
		}
	}
	return ReplicaID{}, false
}

// reborn reports whether the VM of id has joined under a later identity, which
// it does only when the folder of id is gone.
func (n *Node) reborn(id ReplicaID) bool {
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

// isCaughtUp reports whether a replica has synced all that is committed and
// has been heard of lately.
func (n *Node) isCaughtUp(id ReplicaID) bool {
	p := n.replica.progress[id]
	if p == nil || p.match < n.replica.commit {
		return false
	}
	return n.now.Before(p.heardAt.Add(n.settings.Timing.ElectionMax))
}

func (n *Node) learnerToForget() (ReplicaID, bool) {
	for _, m := range n.replica.members.Members {
		p := n.replica.progress[m.ID]
		if !m.Voter && p != nil && !n.now.Before(p.heardAt.Add(n.settings.Timing.ReplaceAfter)) {
			return m.ID, true
		}
	}
	return ReplicaID{}, false
}

// joinAsked takes a replica in as a learner.
func (n *Node) joinAsked(from ReplicaID, j Join) {
	r := &n.replica
	n.delegateTo(from, j)
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
		n.leading.joining[from] = Member{ID: from, Volatile: j.Volatile}
	}
}

// takeJoining takes in the replicas that have asked since the last change, all at once: a
// learner is part of no quorum. After a loss of all VMs a dozen ask together, and serve
// their halls from then on. A learner of an earlier life of the same VM goes.
func (n *Node) takeJoining() bool {
	r := &n.replica
	if len(n.leading.joining) == 0 {
		return false
	}
	members := r.members
	for _, id := range slices.SortedFunc(maps.Keys(n.leading.joining), compareReplicas) {
		for _, m := range members.Members {
			if m.ID.VM == id.VM && m.ID != id && !m.Voter {
				members = members.Without(m.ID)
			}
		}
		members = members.With(n.leading.joining[id])
		n.note("learner joins", id.String())
	}
	clear(n.leading.joining)
	n.proposeMembers(members)
	return true
}

func (n *Node) proposeMembers(m Membership) { n.propose(Entry{Members: &m}) }
