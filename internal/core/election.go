package core

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file elects the leader of the control state.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, quorum
// check and a leader lease. A replica that receives nothing from a leader for a
// random time between ElectionMin and ElectionMax starts a pre-vote. This does
// not raise its term, so that a replica that was partitioned does not disrupt
// the others when it returns. A replica denies its vote within ElectionMin of
// the last message of a leader, and of its own start, because it may have
// received such a message just before. The exceptions are a planned leadership
// transfer (mustDenyVote) and a common start of all voters (common_start.go).
//
// The lease depends on that denial. It runs for ElectionMin less the drift
// bound from the sending of the newest round of heartbeats that a quorum has
// acknowledged. Until it expires no quorum can have elected another leader, so
// the leader may answer from its own state. Each use compares the lease with the
// time of the event. The runtime compares it again before it executes an
// effect, because a process can be suspended in between.
//
// Invariants: there is at most one leader per term; a vote is synced before it
// is sent; a replica counts only votes of identities that its membership lists
// as voters, and an identity does not outlive its data folder.
//
// Known limits: clocks must not drift apart by more than DriftPerMille, and
// must keep running while a process is suspended. TODO(spoolbank): a VM that is
// suspended together with its clock relies on the fence of (term, sequence) alone.

// Role is the Raft role of a replica.
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

// replica is one replica of the log of the control state.
type replica struct {
	id   ReplicaID
	rand *rand.Rand
	hard HardState
	log  replicatedLog

	commit       Index
	applied      Index
	members      Membership
	membersIndex Index
	// baseMembers is the membership at the base of the log.
	baseMembers Membership

	role       Role
	leader     ReplicaID
	electionAt time.Time
	// lastContact is when a leader's message last arrived, or when this process started.
	lastContact time.Time
	votes       map[ReplicaID]bool
	// nextJoin is when a replica without a leader asks again to join.
	nextJoin time.Time

	progress    map[ReplicaID]*progress
	round       uint64
	roundSent   map[uint64]time.Time
	heartbeatAt time.Time
	leaseUntil  time.Time
	electedAt   time.Time
	// termStart is the index of the entry that the leader began its term with.
	termStart   Index
	commonStart commonStart
	// synced is the last index of the local log that is synced to disk.
	synced    Index
	syncMarks []syncMark
}

// syncMark maps the sequence of a Persist to the last index that it covers.
type syncMark struct {
	sequence uint64
	index    Index
}

// progress is the leader's replication state for one other replica.
type progress struct {
	next        Index
	match       Index
	inFlight    bool
	round       uint64
	lastContact time.Time
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
	r.reloadMembers()
	r.lastContact = n.now
	n.resetElection()
	n.leader.snapshot = rec.Snapshot
	if rec.Snapshot.Index > 0 {
		n.machine = rec.Snapshot.Machine.clone()
	}
	r.commit = rec.Snapshot.Index
	r.applied = rec.Snapshot.Index
}

func (r *replica) voters() []ReplicaID { return r.members.Voters() }

// reloadMembers adopts the newest membership in the log, committed or not.
func (r *replica) reloadMembers() {
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

// tickJoin asks to join the cluster while no leader contacts this replica. A replica
// that is a voter by its own log asks as well: it may have been replaced while it was
// away, and then no leader contacts it. A leader ignores such requests of its members.
func (n *Node) tickJoin() {
	r := &n.replica
	inContact := n.now.Before(r.lastContact.Add(n.settings.Timing.ElectionMax))
	if n.now.Before(r.nextJoin) || r.members.Has(r.id) && inContact {
		return
	}
	r.nextJoin = n.now.Add(n.settings.Timing.ElectionMin)
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

// preCampaign starts a pre-vote.
func (n *Node) preCampaign() {
	n.resetElection()
	n.replica.role = PreCandidate
	n.replica.leader = ReplicaID{}
	n.requestVotes(Vote{Term: n.replica.hard.Term + 1, Pre: true}, voteAfterSilence)
}

// voteReason states why votes are requested. All reasons except voteAfterSilence allow voters to
// grant them before the lease of a leader would have expired.
type voteReason int

// The reasons.
const (
	// voteAfterSilence means that the election timeout has elapsed. Voters deny their vote
	// while a leader may hold its lease.
	voteAfterSilence voteReason = iota
	// voteAfterTransfer means that the leader has given up its lease.
	voteAfterTransfer
	// voteAfterCommonStart means that all voters have just started, so that none leads.
	voteAfterCommonStart
)

// campaign starts an election in the next term.
func (n *Node) campaign(reason voteReason) {
	r := &n.replica
	n.resetElection()
	r.role = Candidate
	r.leader = ReplicaID{}
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.id}
	n.persistHard()
	n.requestVotes(Vote{Term: r.hard.Term, Transfer: reason == voteAfterTransfer}, reason)
}

func (n *Node) persistHard() {
	hard := n.replica.hard
	n.persist(Persist{Hard: &hard})
}

func (n *Node) requestVotes(v Vote, reason voteReason) {
	r := &n.replica
	v.LastIndex = r.log.last()
	v.LastTerm = r.log.lastTerm()
	r.votes = map[ReplicaID]bool{r.id: true}
	for _, id := range r.voters() {
		if id != r.id {
			vote := v
			if reason == voteAfterCommonStart {
				vote.StartedIn = r.commonStart.started[id].incarnation
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
		// A sole voter's own vote counts only once it is synced; with several
		// voters, sendAfterSync ensures that.
		if n.persistence.synced == n.persistence.issued {
			n.becomeLeader()
		}
	}
}

func (n *Node) handleVote(from ReplicaID, v Vote) {
	r := &n.replica
	if n.mustDenyVote(v) {
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

// mustDenyVote reports whether a leader may still hold its lease. The request is
// then ignored, including its term.
//
// A planned leadership transfer needs no such denial. The leader of term T gives up
// its lease before it requests the candidacy in term T+1. If another replica leads by
// then, it was elected in T+1 or later, so that no quorum has a vote left for this one.
// common_start.go states why a common start needs none either.
func (n *Node) mustDenyVote(v Vote) bool {
	r := &n.replica
	if v.Transfer || v.StartedIn == n.settings.Seed && v.StartedIn != 0 && !r.commonStart.leaderSeen {
		return false
	}
	if r.role == Leader {
		return n.now.Before(r.leaseUntil)
	}
	return n.now.Before(r.lastContact.Add(n.settings.Timing.ElectionMin))
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

func (n *Node) handleVoteReply(from ReplicaID, v VoteReply) {
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
	r.recordLeaderSeen()
	// The lease begins with the first acknowledged round, not here. Until then
	// leaseUntil only bounds the wait for a quorum (tickLeader).
	r.leaseUntil = n.now
	r.roundSent = make(map[uint64]time.Time)
	r.progress = make(map[ReplicaID]*progress)
	r.termStart = r.log.last() + 1
	n.note("leader elected", r.id.String())
	n.startLeading()
	n.propose(Entry{})
	n.heartbeat()
}

// holdsLease reports whether this replica leads and no other one can.
func (n *Node) holdsLease() bool {
	return n.replica.role == Leader && n.now.Before(n.replica.leaseUntil)
}

// extendLease extends the lease as far as the acknowledged rounds allow.
func (n *Node) extendLease() {
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
	acknowledged := rounds[r.members.Quorum()-1]
	sent, ok := r.roundSent[acknowledged]
	if !ok {
		return
	}
	until := sent.Add(n.settings.Timing.Shortened(n.settings.Timing.ElectionMin))
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
	for round := range r.roundSent {
		if round < acknowledged {
			delete(r.roundSent, round)
		}
	}
}

// transferLeadership transfers leadership before a planned stop. The voters of the
// successor do not wait for the lease to expire, so this replica gives it up at once.
func (n *Node) transferLeadership() {
	r := &n.replica
	if r.role != Leader {
		return
	}
	for _, id := range r.voters() {
		p := r.progress[id]
		if id == r.id || p == nil || p.match < r.log.last() || !n.isCaughtUp(id) {
			continue
		}
		n.note("leadership transferred", id.String())
		n.send(id.VM, Message{TimeoutNow: &TimeoutNow{Term: r.hard.Term}})
		n.becomeFollower(r.hard.Term, ReplicaID{})
		return
	}
}
