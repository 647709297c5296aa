package core

import (
	"cmp"
	"slices"
	"time"
)

// This file replicates the log from the leader to the other members.
//
// One batch at a time is in flight to each follower. It has all entries proposed
// since the previous one, so that a burst of proposals costs few messages and few
// syncs. The leader sends entries before its own disk has them, and counts its own
// copy only once it is synced. A follower acknowledges entries once they are synced.
//
// Invariants: an entry is committed when a quorum has synced it and it is of the
// leader's term, or precedes such an entry; committed entries are never truncated;
// entries are applied in order, once.

// batchLimit bounds the number of entries in one message.
const batchLimit = 512

// receiveControl handles the messages of control VMs, and those of entry VMs to
// control VMs.
func (n *Node) receiveControl(e Envelope) {
	from := e.From
	switch b := e.Body; {
	case b.Vote != nil:
		n.handleVote(from, *b.Vote)
	case b.VoteReply != nil:
		n.handleVoteReply(from, *b.VoteReply)
	case b.StartAsk != nil:
		n.handleStartQuery(from, *b.StartAsk)
	case b.StartReply != nil:
		n.handleStartReply(from, *b.StartReply)
	case b.Append != nil:
		n.handleAppend(from, *b.Append)
	case b.AppendReply != nil:
		n.handleAppendReply(from, *b.AppendReply)
	case b.Install != nil:
		n.handleInstall(from, *b.Install)
	case b.TimeoutNow != nil:
		n.handleTimeoutNow(*b.TimeoutNow)
	case b.Begin != nil:
		n.bootstrap()
	case b.Join != nil:
		n.handleJoin(from, *b.Join)
	case b.Renew != nil:
		n.handleRenew(from, *b.Renew)
	case b.MissingChanges != nil:
		n.handleMissing(from, *b.MissingChanges)
	case b.RenewBatch != nil:
		n.handleRenewBatch(from, *b.RenewBatch)
	case b.GrantBatch != nil:
		n.handleGrantBatch(from, *b.GrantBatch)
	case b.Claim != nil:
		n.handleClaim(from, *b.Claim)
	case b.Record != nil:
		n.handleRecord(from, *b.Record)
	}
}

func (n *Node) handleTimeoutNow(t TimeoutNow) {
	if t.Term == n.replica.hard.Term && n.replica.members.IsVoter(n.replica.id) && !n.stopping {
		n.campaign(voteAfterTransfer)
	}
}

// propose appends an entry to the leader's log and returns its index.
func (n *Node) propose(e Entry) Index {
	r := &n.replica
	e.Term = r.hard.Term
	e.Index = r.log.last() + 1
	e.At = n.now.Round(0)
	if e.At.Before(n.machine.At) {
		e.At = n.machine.At
	}
	n.appendLocally(0, []Entry{e})
	n.sendAppends()
	return e.Index
}

// appendLocally appends entries to the log in memory and persists them.
func (n *Node) appendLocally(truncateFrom Index, entries []Entry) {
	r := &n.replica
	if truncateFrom > 0 {
		r.log.truncate(truncateFrom)
		r.synced = min(r.synced, truncateFrom-1)
		r.syncMarks = nil
	}
	r.log.append(entries...)
	r.updateMembers(truncateFrom, entries)
	n.persist(Persist{TruncateFrom: truncateFrom, Entries: entries})
	r.syncMarks = append(r.syncMarks, syncMark{sequence: n.persistence.issued, index: r.log.last()})
}

func (r *replica) updateMembers(truncated Index, added []Entry) {
	if truncated > 0 {
		r.reloadMembers()
		return
	}
	for _, e := range added {
		if e.Members != nil {
			r.members = *e.Members
			r.membersIndex = e.Index
		}
	}
}

// logSynced advances the synced index of the local log after a sync.
func (n *Node) logSynced() {
	r := &n.replica
	done := 0
	for _, m := range r.syncMarks {
		if m.sequence > n.persistence.synced {
			break
		}
		r.synced = max(r.synced, m.index)
		done++
	}
	r.syncMarks = slices.Delete(r.syncMarks, 0, done)
	switch r.role {
	case Leader:
		n.advanceCommit()
	case Candidate:
		n.countVotes()
	}
}

func (n *Node) heartbeat() {
	r := &n.replica
	r.heartbeatAt = n.now.Add(n.settings.Timing.Heartbeat)
	r.round++
	r.roundSent[r.round] = n.now
	for _, m := range r.members.Members {
		if p := n.progressOf(m.ID); p != nil {
			p.inFlight = false
		}
	}
	n.extendLease()
	n.sendAppends()
}

func (n *Node) progressOf(id ReplicaID) *progress {
	r := &n.replica
	if id == r.id {
		return nil
	}
	p, ok := r.progress[id]
	if !ok {
		p = &progress{next: r.log.last() + 1, lastContact: n.now}
		r.progress[id] = p
	}
	return p
}

// sendAppends sends entries to each member that has no batch in flight.
func (n *Node) sendAppends() {
	for _, m := range n.replica.members.Members {
		if p := n.progressOf(m.ID); p != nil && !p.inFlight {
			n.sendAppend(m.ID, p)
		}
	}
}

func (n *Node) sendAppend(id ReplicaID, p *progress) {
	r := &n.replica
	p.inFlight = true
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		n.send(id.VM, Message{Install: &Install{Term: r.hard.Term, Snapshot: n.leader.snapshot, Round: r.round}})
		return
	}
	n.send(id.VM, Message{Append: &Append{
		Term:      r.hard.Term,
		PrevIndex: p.next - 1,
		PrevTerm:  prevTerm,
		Entries:   r.log.after(p.next-1, batchLimit),
		Commit:    r.commit,
		Round:     r.round,
	}})
}

// recordLeaderContact records a message of the leader of term, and reports whether
// that term is over.
func (n *Node) recordLeaderContact(from ReplicaID, term Term) (stale bool) {
	r := &n.replica
	if term < r.hard.Term {
		n.send(from.VM, Message{AppendReply: &AppendReply{Term: r.hard.Term, Rejected: true}})
		return true
	}
	if term > r.hard.Term || r.role != Follower || r.leader != from {
		n.becomeFollower(term, from)
	}
	r.lastContact = n.now
	r.recordLeaderSeen()
	n.resetElection()
	return false
}

func (n *Node) handleAppend(from ReplicaID, a Append) {
	if n.recordLeaderContact(from, a.Term) {
		return
	}
	r := &n.replica
	term, ok := r.log.term(a.PrevIndex)
	if !ok && a.PrevIndex < r.log.base || ok && term == a.PrevTerm {
		n.appendMissing(a)
		n.replyAppend(from, a)
		return
	}
	hint := min(r.log.last(), a.PrevIndex-1)
	n.sendAfterSync(from.VM, Message{AppendReply: &AppendReply{Term: r.hard.Term, Rejected: true, Match: hint, Round: a.Round}})
}

func (n *Node) replyAppend(from ReplicaID, a Append) {
	r := &n.replica
	match := a.PrevIndex + Index(len(a.Entries))
	n.sendAfterSync(from.VM, Message{AppendReply: &AppendReply{Term: r.hard.Term, Match: match, Round: a.Round}})
	n.commitTo(min(a.Commit, match))
}

// appendMissing appends the entries that the log lacks, and truncates it where it differs.
func (n *Node) appendMissing(a Append) {
	r := &n.replica
	for i, e := range a.Entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term || e.Index <= r.log.base {
			continue
		}
		var truncate Index
		if ok {
			truncate = e.Index
		}
		n.appendLocally(truncate, a.Entries[i:])
		return
	}
}

func (n *Node) handleAppendReply(from ReplicaID, a AppendReply) {
	r := &n.replica
	if a.Term > r.hard.Term {
		n.becomeFollower(a.Term, ReplicaID{})
		return
	}
	p := r.progress[from]
	if r.role != Leader || a.Term != r.hard.Term || p == nil {
		return
	}
	p.lastContact = n.now
	p.inFlight = false
	p.round = max(p.round, a.Round)
	n.extendLease()
	if a.Rejected {
		p.next = max(p.match+1, min(p.next-1, a.Match+1))
		n.sendAppend(from, p)
		return
	}
	p.match = max(p.match, a.Match)
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if p.next <= r.log.last() && !p.inFlight {
		n.sendAppend(from, p)
	}
}

// advanceCommit commits the entries that a quorum has synced, if the last is of this term.
func (n *Node) advanceCommit() {
	r := &n.replica
	var matches []Index
	for _, id := range r.voters() {
		switch p := r.progress[id]; {
		case id == r.id:
			matches = append(matches, r.synced)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.SortFunc(matches, func(a, b Index) int { return cmp.Compare(b, a) })
	index := matches[r.members.Quorum()-1]
	if term, ok := r.log.term(index); ok && term == r.hard.Term && index > r.commit {
		n.commitTo(index)
		n.sendAppends()
	}
}

// commitTo commits and applies the entries up to index.
func (n *Node) commitTo(index Index) {
	r := &n.replica
	r.commit = max(r.commit, min(index, r.log.last()))
	for r.applied < r.commit {
		r.applied++
		n.applyEntry(r.log.at(r.applied))
	}
	n.maybeSnapshot()
}

// leaderHint returns the last known leader, or the empty name.
func (n *Node) leaderHint() VMName { return n.replica.leader.VM }

// wallClock returns t without its monotonic clock reading, as the log stores it.
func wallClock(t time.Time) time.Time { return t.Round(0) }
