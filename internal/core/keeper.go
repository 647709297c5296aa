package core

import (
	"maps"
	"math"
	"slices"
	"time"
)

// This file replicates each stream to another entry VM, its keeper, so that the
// answer survives the loss of its entry VM.
//
// The owner of a stream sends the request to the keeper before it dispatches
// anything, and each token before the caller gets it. One batch at a time is in
// flight to a keeper and carries all pending updates, so the cost is one
// message per round trip rather than one per token.
//
// A caller that lost its connection may reconnect to any entry VM with the
// identity of its request. That VM asks the first VMs in rendezvous order and
// the first of each data hall, which include the keeper. The keeper transfers
// its record under the next owner's epoch. From then on it refuses updates of
// the old owner, and so do the engines once the new owner has contacted them.
//
// Invariants: the keeper has every token that the caller has received. A record
// is transferred to one VM for each owner number. Two keepers that were
// partitioned from each other assign different holders, and the engines obey
// the greater one.
//
// Known limits: an answer is lost when owner and keeper are lost within the
// time it takes to update a new keeper, about PeerReplyTimeout; the caller then gets a
// refusal that states so. With a single entry VM there is no keeper.

// rendezvousWidth is the number of VMs that are asked for a stream in any hall.
const rendezvousWidth = 3

// keptRecord is a record that this VM keeps for another one.
type keptRecord struct {
	record KeepRecord
	dropAt time.Time
}

// keeperLink is the state of the updates to one keeper.
type keeperLink struct {
	number   uint64
	inFlight bool
	answerBy time.Time
	sent     []KeepUpdate
	outbox   []KeepUpdate
}

// keeperFor chooses the keeper of a stream: the first VM in rendezvous order in
// another data hall that is not suspected, so that the answer survives the loss
// of a whole hall, else the first one in this hall. When all are suspected the
// same order applies to them: a slow keeper is better than none. It returns ""
// only when no other entry VM is known.
func (n *Node) keeperFor(id RequestID) VMName {
	var best VMName
	bestRank := math.MaxInt
	for place, vm := range rendezvous(string(id), n.entry.view, len(n.entry.view)) {
		if vm == n.settings.Self.VM {
			continue
		}
		if rank := n.keeperRank(vm)*len(n.entry.view) + place; rank < bestRank {
			best, bestRank = vm, rank
		}
		if bestRank < len(n.entry.view) {
			break
		}
	}
	return best
}

// keeperRank returns the preference of a VM as keeper, 0 for the best.
func (n *Node) keeperRank(vm VMName) int {
	rank := 0
	if n.entry.halls[vm] == n.settings.Address.Hall {
		rank++
	}
	if n.isSuspect(string(vm)) {
		rank += 2
	}
	return rank
}

// assignKeepers assigns keepers to streams that have none because no other entry VM
// was known when they began, for example right after a deployment starts.
func (n *Node) assignKeepers() {
	if len(n.entry.view) < 2 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.entry.streams)) {
		if s := n.entry.streams[id]; s.registered && s.keeper == "" && s.phase != phaseDone {
			n.register(s)
		}
	}
}

// register sends a stream to a keeper. The stream begins once the keeper has it.
func (n *Node) register(s *stream) {
	s.keeper = n.keeperFor(s.id)
	s.registered = true
	if s.keeper == "" {
		n.acknowledgeAll(s)
		return
	}
	n.keepFullRecord(s)
}

// keepFullRecord sends the full record of a stream to its keeper.
func (n *Node) keepFullRecord(s *stream) {
	record := KeepRecord{
		ID:       s.id,
		Owner:    n.settings.Self.VM,
		Epoch:    s.epoch,
		Request:  s.request,
		Version:  s.pipeline.Version,
		Chain:    s.chain,
		Position: s.position,
		Tokens:   slices.Clone(s.tokens),
		Finish:   s.finish,
	}
	n.queueKeepUpdate(s, KeepUpdate{ID: s.id, Record: &record, Epoch: s.epoch, From: len(s.tokens), Position: s.position, Finish: s.finish})
}

// keepToken sends the newest token to the keeper.
func (n *Node) keepToken(s *stream) {
	if s.keeper == "" {
		n.acknowledgeAll(s)
		return
	}
	last := len(s.tokens) - 1
	n.queueKeepUpdate(s, KeepUpdate{ID: s.id, Epoch: s.epoch, Position: s.position, From: last, Tokens: slices.Clone(s.tokens[last:]), Finish: s.finish})
}

// keepChain sends a new chain and epoch to the keeper.
func (n *Node) keepChain(s *stream) {
	if s.keeper != "" {
		n.queueKeepUpdate(s, KeepUpdate{ID: s.id, Epoch: s.epoch, Chain: s.chain, Position: s.position, From: len(s.tokens)})
	}
}

// dropAtKeeper tells the keeper of a stream that its record is no longer needed.
func (n *Node) dropAtKeeper(s *stream) {
	if s.keeper != "" {
		n.queueKeepUpdate(s, KeepUpdate{ID: s.id, Epoch: s.epoch, Drop: true})
	}
}

// acknowledgeAll treats everything as kept, for a stream without a keeper.
func (n *Node) acknowledgeAll(s *stream) {
	s.acked = len(s.tokens)
	s.finishAcked = s.finish != ""
	n.resumeAfterKeep(s)
}

// resumeAfterKeep continues a stream after its keeper has acknowledged an update.
func (n *Node) resumeAfterKeep(s *stream) {
	if s.phase == phaseRegistering {
		n.startOrResume(s)
	}
	n.emitTokens(s)
}

// startOrResume runs the next position. A stream that was taken over with all its
// tokens has none left, and its engines are released.
func (n *Node) startOrResume(s *stream) {
	s.phase = phaseRunning
	if s.finish == "" {
		n.runNext(s)
		return
	}
	n.releaseEngines(s)
}

func (n *Node) queueKeepUpdate(s *stream, u KeepUpdate) {
	l, ok := n.entry.keeperLinks[s.keeper]
	if !ok {
		l = &keeperLink{}
		n.entry.keeperLinks[s.keeper] = l
	}
	l.outbox = append(l.outbox, u)
	n.flush(s.keeper, l)
}

func (n *Node) flush(vm VMName, l *keeperLink) {
	if l.inFlight || len(l.outbox) == 0 {
		return
	}
	// Numbers are never reused, not even for a link that is created again: a
	// late reply must not match another batch.
	n.entry.keepNumber++
	l.number = n.entry.keepNumber
	l.inFlight = true
	l.answerBy = n.now.Add(n.settings.Timing.PeerReplyTimeout)
	l.sent = l.outbox
	l.outbox = nil
	n.send(vm, Message{Keep: &Keep{Number: l.number, Updates: l.sent}})
}

// handleKeepReply handles a keeper's acknowledgement of a batch.
func (n *Node) handleKeepReply(from ReplicaID, r KeepReply) {
	l, ok := n.entry.keeperLinks[from.VM]
	if !ok || !l.inFlight || l.number != r.Number {
		return
	}
	l.inFlight = false
	sent := l.sent
	l.sent = nil
	for _, u := range sent {
		s, ok := n.entry.streams[u.ID]
		if !ok || s.keeper != from.VM || u.Drop {
			continue
		}
		switch {
		case slices.Contains(r.Refused, u.ID):
			n.relinquishStream(s)
		case slices.Contains(r.Missing, u.ID):
			n.keepFullRecord(s)
		default:
			s.acked = max(s.acked, u.From+len(u.Tokens))
			s.finishAcked = s.finishAcked || u.Finish != ""
			n.resumeAfterKeep(s)
		}
	}
	n.flush(from.VM, l)
}

// tickLinks replaces keepers that have not acknowledged in time.
func (n *Node) tickLinks() {
	for _, vm := range slices.Sorted(maps.Keys(n.entry.keeperLinks)) {
		l := n.entry.keeperLinks[vm]
		if l.inFlight && !n.now.Before(l.answerBy) {
			n.replaceKeeper(vm)
		}
	}
}

func (n *Node) replaceKeeper(vm VMName) {
	n.suspect(string(vm))
	delete(n.entry.keeperLinks, vm)
	for _, id := range slices.Sorted(maps.Keys(n.entry.streams)) {
		s := n.entry.streams[id]
		if s.keeper != vm || !s.registered || s.phase == phaseDone {
			continue
		}
		n.register(s)
	}
}

// handleKeep stores a batch of updates for another entry VM.
func (n *Node) handleKeep(from ReplicaID, k Keep) {
	reply := KeepReply{Number: k.Number}
	for _, u := range k.Updates {
		switch n.applyKeepUpdate(from.VM, u) {
		case keepRefused:
			reply.Refused = append(reply.Refused, u.ID)
		case keepMissing:
			reply.Missing = append(reply.Missing, u.ID)
		}
	}
	n.send(from.VM, Message{KeepReply: &reply})
}

// keepVerdict is a keeper's decision on an update.
type keepVerdict int

const (
	keepAccepted keepVerdict = iota
	keepRefused
	keepMissing
)

func (n *Node) applyKeepUpdate(owner VMName, u KeepUpdate) keepVerdict {
	present, ok := n.entry.keptRecords[u.ID]
	if ok && (u.Epoch.Compare(present.record.Epoch) < 0 || u.Epoch.Owner == present.record.Epoch.Owner && owner != present.record.Owner) {
		return keepRefused
	}
	if u.Drop {
		delete(n.entry.keptRecords, u.ID)
		return keepAccepted
	}
	if u.Record != nil {
		n.entry.keptRecords[u.ID] = &keptRecord{record: *u.Record, dropAt: n.keepUntil(*u.Record)}
		return keepAccepted
	}
	if !ok || u.From > len(present.record.Tokens) {
		return keepMissing
	}
	r := &present.record
	r.Epoch = u.Epoch
	r.Position = u.Position
	r.Tokens = append(r.Tokens[:u.From], u.Tokens...)
	if u.Chain != nil {
		r.Chain = u.Chain
	}
	if u.Finish != "" {
		r.Finish = u.Finish
	}
	return keepAccepted
}

func (n *Node) keepUntil(r KeepRecord) time.Time {
	return r.Request.Deadline.Add(n.settings.Timing.AnswerRetention)
}

func (n *Node) sweepKept() {
	for _, id := range slices.Sorted(maps.Keys(n.entry.keptRecords)) {
		if !n.now.Before(n.entry.keptRecords[id].dropAt) {
			delete(n.entry.keptRecords, id)
		}
	}
}

// recordSearch is the search for the record of a stream that a caller may be resuming.
type recordSearch struct {
	// noRecord holds the VMs that have replied that they have no record.
	noRecord map[VMName]bool
	// retryAt is when the VMs that have not replied are asked again, expiresAt when
	// the search ends.
	retryAt   time.Time
	expiresAt time.Time
}

// startFind asks the VMs that may keep a stream before a new one is started. It
// reports whether there are any.
func (n *Node) startFind(s *stream) bool {
	if k, ok := n.entry.keptRecords[s.id]; ok {
		n.takeOverStream(s, n.transferRecord(k, n.settings.Self))
		return true
	}
	f := &recordSearch{noRecord: make(map[VMName]bool), expiresAt: n.now.Add(n.settings.Timing.PeerReplyTimeout)}
	if s.emitted > 0 {
		// Some VM has kept it. A dead VM leaves the list of entry VMs when its
		// lease expires; a slow one answers until then.
		f.expiresAt = n.now.Add(2 * n.settings.Timing.LeaseDuration)
	}
	if len(n.pendingKeepers(s, f)) == 0 {
		return false
	}
	s.phase = phaseFinding
	n.entry.pendingFinds[s.id] = f
	n.sendFinds(s, f)
	return true
}

// pendingKeepers returns the VMs that may keep a stream and have not replied that
// they don't. Unless a VM was suspected, the keeper is the first of its hall in
// rendezvous order or among the first of all. When the caller has already
// received a part of the answer, all VMs are asked.
func (n *Node) pendingKeepers(s *stream, f *recordSearch) []VMName {
	order := rendezvous(string(s.id), n.entry.view, len(n.entry.view))
	seen := make(map[string]bool)
	var pending []VMName
	for place, vm := range order {
		hall := n.entry.halls[vm]
		likely := s.emitted > 0 || place < rendezvousWidth || !seen[hall]
		seen[hall] = true
		if likely && vm != n.settings.Self.VM && !f.noRecord[vm] {
			pending = append(pending, vm)
		}
	}
	return pending
}

func (n *Node) sendFinds(s *stream, f *recordSearch) {
	f.retryAt = n.now.Add(n.settings.Timing.PeerReplyTimeout)
	for _, vm := range n.pendingKeepers(s, f) {
		n.send(vm, Message{Find: &Find{ID: s.id}})
	}
}

func (n *Node) transferRecord(k *keptRecord, to ReplicaID) KeepRecord {
	k.record.Epoch = k.record.Epoch.WithNextOwner(holderHash(to))
	k.record.Owner = to.VM
	record := k.record
	record.Tokens = slices.Clone(record.Tokens)
	return record
}

// handleFind transfers a kept record, or replies that there is none.
func (n *Node) handleFind(from ReplicaID, f Find) {
	reply := FindReply{ID: f.ID}
	if k, ok := n.entry.keptRecords[f.ID]; ok {
		record := n.transferRecord(k, from)
		reply.Record = &record
		n.note("stream transferred to "+string(from.VM), string(f.ID))
	}
	n.send(from.VM, Message{FindReply: &reply})
}

// handleFindReply accepts the first record that arrives. When every VM has replied
// that it has none, the request is a new one.
func (n *Node) handleFindReply(from VMName, r FindReply) {
	f, ok := n.entry.pendingFinds[r.ID]
	s := n.entry.streams[r.ID]
	if !ok || s == nil || s.phase != phaseFinding {
		return
	}
	if r.Record != nil {
		delete(n.entry.pendingFinds, r.ID)
		n.takeOverStream(s, *r.Record)
		return
	}
	f.noRecord[from] = true
	if len(n.pendingKeepers(s, f)) == 0 {
		delete(n.entry.pendingFinds, r.ID)
		n.queueStream(s)
	}
}

func (n *Node) tickFinds() {
	for _, id := range slices.Sorted(maps.Keys(n.entry.pendingFinds)) {
		f := n.entry.pendingFinds[id]
		s := n.entry.streams[id]
		if s == nil || s.phase != phaseFinding {
			delete(n.entry.pendingFinds, id)
			continue
		}
		switch pending := len(n.pendingKeepers(s, f)) > 0; {
		case pending && n.now.Before(f.expiresAt):
			if !n.now.Before(f.retryAt) {
				n.sendFinds(s, f)
			}
		default:
			delete(n.entry.pendingFinds, id)
			s.mayHaveRunBefore = pending
			n.queueStream(s)
		}
	}
}

// takeOverStream resumes a stream that another entry VM has begun.
func (n *Node) takeOverStream(s *stream, r KeepRecord) {
	n.note("stream taken over", string(s.id))
	s.request = r.Request
	s.pipeline.Version = r.Version
	s.epoch = r.Epoch
	s.chain = r.Chain
	s.position = r.Position
	s.tokens = r.Tokens
	s.finish = r.Finish
	s.pool = poolOf(s.pipeline)
	s.queued = n.streamQueueEntry(s)
	n.entry.inProgress[s.request.Organisation]++
	n.entry.streams[s.id] = s
	s.phase = phaseRegistering
	s.reserved = true
	s.beganAt = n.now
	n.reserve(s.pool, s.route, s.chain)
	n.register(s)
}
