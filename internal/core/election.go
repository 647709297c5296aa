package core

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file elects the leader of the control state.
//
// The algorithm is Raft's (Ongaro and Ousterhout, 2014) with pre-vote, check
// of quorum and a leader lease. A replica that hears no leader for a random
// time between ElectionMin and ElectionMax first asks whether it would be
// voted for, without raising its term, so that one that was cut off disturbs
// nobody when it returns. A replica denies its vote within ElectionMin of
// having heard a leader, or of its own start, since it may have heard one just
// before.
//
// The lease rests on that denial. A leader counts it from the sending of the
// newest round of heartbeats that a quorum has answered, for ElectionMin less
// the bound on drift. Until then no quorum can have elected another, so the
// leader may answer from its own state. Each use compares the lease with the
// time of the event, and the runtime compares it once more before it carries
// an effect out, for a process can be stopped in between.
//
// Invariants: one leader a term; a vote is synced before it is sent; a
// replica counts votes only of identities that its membership lists as voters,
// and an identity does not outlive its folder.
//
// Known limits: clocks must not drift apart by more than DriftPerMille, and
// must go on while a process is stopped. TODO(spoolbank): a VM that is
// suspended with its clock relies on the fence of (term, sequence) alone.

// Role is the part that a replica plays.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// replica is one copy of the control state's log.
type replica struct {
	id   ReplicaID
	rand *rand.Rand
	hard HardState
	log  replicatedLog

	commit       Index
	applied      Index
	members      Membership
	membersIndex Index
	// baseMembers is the membership at the log's beginning.
	baseMembers Membership

	role       Role
	leader     ReplicaID
	electionAt time.Time
	// heardAt is when a leader was last heard, or this process began.
	heardAt time.Time
	votes   map[ReplicaID]bool
	// joinAt is when a replica that is no member asks again to be taken in.
	joinAt time.Time

	progress    map[ReplicaID]*progress
	round       uint64
	roundSent   map[uint64]time.Time
	heartbeatAt time.Time
	leaseUntil  time.Time
	electedAt   time.Time
	// termStart is the index of the entry that the leader began its term with.
	termStart Index
	common    commonStart
	// synced is the last index of the own log that the disk has.
	synced    Index
	syncMarks []syncMark
}

// syncMark says which index a sequence of Persist covers.
type syncMark struct {
	sequence uint64
	index    Index
}

// progress is what a leader knows of one other replica.
type progress struct {
	next     Index
	match    Index
	inFlight bool
	round    uint64
	heardAt  time.Time
}

func (n *Node) startReplica(rec Recovered) {
	r := &n.replica
	r.id = n.settings.Self
	r.rand = n.rand
	r.hard = rec.Hard
	r.log.reset(rec.Snapshot.Index, rec.Snapshot.Term)
	r.log.append(rec.Entries...)
	r.synced = r.log.last()
	r.baseMembers = rec.Snapshot.Members
	r.findMembers()
	r.heardAt = n.now
	n.resetElection()
	n.leading.snapshot = rec.Snapshot
	if rec.Snapshot.Index > 0 {
		n.machine = rec.Snapshot.Machine.clone()
	}
	r.commit = rec.Snapshot.Index
	r.applied = rec.Snapshot.Index
}

func (r *replica) voters() []ReplicaID { return r.members.Voters() }

// findMembers takes the newest membership of the log, committed or not.
func (r *replica) findMembers() {
	r.members = r.baseMembers
	r.membersIndex = r.log.base
	for _, e := range r.log.entries {
		if e.Members != nil {
			r.members = *e.Members
			r.membersIndex = e.Index
		}
	}
}

func (r *replica) committedOwnTerm() bool { return r.commit >= r.termStart }

func (n *Node) resetElection() {
	t := n.settings.Timing
	spread := int64(t.ElectionMax - t.ElectionMin)
	n.replica.electionAt = n.now.Add(t.ElectionMin + time.Duration(n.replica.rand.Int64N(spread)))
}

func (n *Node) tickReplica() {
	r := &n.replica
	if r.role == Leader {
		n.tickLeader()
		return
	}
	n.tickJoin()
	if !r.members.IsVoter(r.id) {
		return
	}
	n.tickCommonStart()
	if !n.now.Before(r.electionAt) && !n.stopping {
		n.preCampaign()
	}
}

// tickJoin asks to be taken in while no leader is heard. Also a replica that
// thinks it has a vote asks: it may have been replaced while it was away, and
// then no leader speaks to it. A leader pays no heed to its members' asking.
func (n *Node) tickJoin() {
	r := &n.replica
	heard := n.now.Before(r.heardAt.Add(n.settings.Timing.ElectionMax))
	if n.now.Before(r.joinAt) || r.members.Has(r.id) && heard {
		return
	}
	r.joinAt = n.now.Add(n.settings.Timing.ElectionMin)
	for _, vm := range n.controlVMs() {
		if vm != r.id.VM {
			n.send(vm, Message{Join: &Join{Volatile: n.settings.Volatile}})
		}
	}
}

func (n *Node) tickLeader() {
	r := &n.replica
	if !n.now.Before(r.leaseUntil.Add(n.settings.Timing.ElectionMax)) {
		n.note("leader steps down: no quorum answers", r.id.String())
		n.becomeFollower(r.hard.Term, ReplicaID{})
		return
	}
	if !n.now.Before(r.heartbeatAt) {
		n.heartbeat()
	}
	n.tickMembership()
}

// preCampaign asks the voters whether they would vote for this replica.
func (n *Node) preCampaign() {
	n.resetElection()
	n.replica.role = PreCandidate
	n.replica.leader = ReplicaID{}
	n.askVotes(Vote{Term: n.replica.hard.Term + 1, Pre: true}, voteAfterSilence)
}

// voteReason says why a vote may be asked for before a leader's lease has run out.
type voteReason int

// The reasons.
const (
	// voteAfterSilence: none, the lease has run out.
	voteAfterSilence voteReason = iota
	// voteAfterHandOver: the leader has given its lease up.
	voteAfterHandOver
	// voteAfterCommonStart: all voters have just started, so that none leads.
	voteAfterCommonStart
)

// campaign stands for election in the next term.
func (n *Node) campaign(reason voteReason) {
	r := &n.replica
	n.resetElection()
	r.role = Candidate
	r.leader = ReplicaID{}
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.id}
	n.persistHard()
	n.askVotes(Vote{Term: r.hard.Term, Transfer: reason == voteAfterHandOver}, reason)
}

func (n *Node) persistHard() {
	hard := n.replica.hard
	n.persist(Persist{Hard: &hard})
}

func (n *Node) askVotes(v Vote, reason voteReason) {
	r := &n.replica
	v.LastIndex = r.log.last()
	v.LastTerm = r.log.lastTerm()
	r.votes = map[ReplicaID]bool{r.id: true}
	for _, id := range r.voters() {
		if id != r.id {
			vote := v
			if reason == voteAfterCommonStart {
				vote.StartedIn = r.common.started[id].incarnation
			}
			n.sendAfterSync(id.VM, Message{Vote: &vote})
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	r := &n.replica
	granted := 0
	for _, id := range r.voters() {
		if r.votes[id] {
			granted++
		}
	}
	if granted < r.members.Quorum() {
		return
	}
	switch r.role {
	case PreCandidate:
		n.campaign(voteAfterSilence)
	case Candidate:
		// The sole voter's own vote counts only once it is synced; with
		// others, sendAfterSync has seen to that.
		if n.persists.synced == n.persists.issued {
			n.becomeLeader()
		}
	}
}

func (n *Node) voteAsked(from ReplicaID, v Vote) {
	r := &n.replica
	if n.mustDeny(v) {
		return
	}
	if !v.Pre && v.Term > r.hard.Term {
		n.becomeFollower(v.Term, ReplicaID{})
	}
	granted := n.wouldVote(from, v)
	if granted && !v.Pre {
		r.hard.Vote = from
		n.persistHard()
		n.resetElection()
	}
	n.sendAfterSync(from.VM, Message{VoteReply: &VoteReply{Term: max(v.Term, r.hard.Term), Pre: v.Pre, Granted: granted}})
}

// mustDeny reports whether a leader may still hold its lease. The request is
// then dropped whole: not even its term is taken.
//
// A planned hand-over needs no such denial. The leader of term T gave its lease
// up before it asked for the candidacy in term T+1, and whoever leads by then was
// elected in T+1 or later, so that no quorum has a vote left for this one.
func (n *Node) mustDeny(v Vote) bool {
	r := &n.replica
	if v.Transfer || v.StartedIn == n.settings.Seed && v.StartedIn != 0 && !r.common.known {
		return false
	}
	if r.role == Leader {
		return n.now.Before(r.leaseUntil)
	}
	return n.now.Before(r.heardAt.Add(n.settings.Timing.ElectionMin))
}

func (n *Node) wouldVote(from ReplicaID, v Vote) bool {
	r := &n.replica
	if v.Term < r.hard.Term || !v.Pre && v.Term == r.hard.Term && !r.hard.Vote.IsZero() && r.hard.Vote != from {
		return false
	}
	if v.LastTerm != r.log.lastTerm() {
		return v.LastTerm > r.log.lastTerm()
	}
	return v.LastIndex >= r.log.last()
}

func (n *Node) voteReplied(from ReplicaID, v VoteReply) {
	r := &n.replica
	if !v.Granted && v.Term > r.hard.Term && !v.Pre {
		n.becomeFollower(v.Term, ReplicaID{})
		return
	}
	expected := r.hard.Term
	if v.Pre {
		expected++
	}
	wanted := r.role == Candidate && !v.Pre || r.role == PreCandidate && v.Pre
	if !wanted || !v.Granted || v.Term != expected {
		return
	}
	r.votes[from] = true
	n.countVotes()
}

func (n *Node) becomeFollower(term Term, leader ReplicaID) {
	r := &n.replica
	wasLeader := r.role == Leader
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
		n.persistHard()
	}
	r.role = Follower
	r.leader = leader
	r.leaseUntil = time.Time{}
	n.resetElection()
	if wasLeader {
		n.stopLeading()
	}
}

func (n *Node) becomeLeader() {
	r := &n.replica
	r.role = Leader
	r.leader = r.id
	r.electedAt = n.now
	r.leaderKnown()
	// The lease begins with the first answered round, not here; until then
	// the date only bounds the wait for a quorum.
	r.leaseUntil = n.now
	r.roundSent = make(map[uint64]time.Time)
	r.progress = make(map[ReplicaID]*progress)
	r.termStart = r.log.last() + 1
	n.note("leader elected", r.id.String())
	n.startLeading()
	n.propose(Entry{})
	n.heartbeat()
}

// holdsLease reports whether this replica leads and no other can.
func (n *Node) holdsLease() bool {
	return n.replica.role == Leader && n.now.Before(n.replica.leaseUntil)
}

// countLease moves the lease to what the answered rounds allow.
func (n *Node) countLease() {
	r := &n.replica
	var rounds []uint64
	for _, id := range r.voters() {
		switch p := r.progress[id]; {
		case id == r.id:
			rounds = append(rounds, r.round)
		case p != nil:
			rounds = append(rounds, p.round)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	slices.Reverse(rounds)
	answered := rounds[r.members.Quorum()-1]
	sent, ok := r.roundSent[answered]
	if !ok {
		return
	}
	until := sent.Add(n.settings.Timing.Shortened(n.settings.Timing.ElectionMin))
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
	for round := range r.roundSent {
		if round < answered {
			delete(r.roundSent, round)
		}
	}
}

// handOver passes leadership on before a planned stop. The lease ends first:
// the successor's votes do not wait for it.
func (n *Node) handOver() {
	r := &n.replica
	if r.role != Leader {
		return
	}
	for _, id := range r.voters() {
		p := r.progress[id]
		if id == r.id || p == nil || p.match < r.log.last() || !n.isCaughtUp(id) {
			continue
		}
		n.note("leadership handed over", id.String())
		n.send(id.VM, Message{TimeoutNow: &TimeoutNow{Term: r.hard.Term}})
		n.becomeFollower(r.hard.Term, ReplicaID{})
		return
	}
}
