package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file is the leader's part of the leases of entry VMs; forwarding.go is the part of
// the control VMs that they renew with.
//
// An entry VM accepts new work only while it has a lease, and a grant always
// brings it to the revision that the leader has at that moment. LeaseDuration after
// a change was accepted, every entry VM therefore either has the change or
// refuses work. This is what "in force everywhere" means, and it needs no reply
// from a VM that cannot give one. docs/DESIGN.md discusses the alternative, to
// keep serving without a lease.
//
// Invariants: the holder counts its lease from the sending of the request,
// shortened by the drift bound, and the leader counts it from the sending of the
// grant, lengthened by the drift bound; a grant never carries an uncommitted revision.

// renewLease records a renewal of an entry VM that arrived through the control VM via.
func (n *Node) renewLease(via VMName, r Renewal) {
	l, ok := n.leader.leases[r.From.VM]
	if !ok || l.holder != r.From {
		l = &lease{holder: r.From}
		n.leader.leases[r.From.VM] = l
	}
	l.via = via
	l.renewal = r
	l.renewedAt = n.now
	l.until = n.now.Add(n.settings.Timing.Lengthened(n.settings.Timing.LeaseDuration))
	for _, report := range r.Reports {
		n.recordReport(r.From.VM, report)
	}
	n.leader.view.set(n.viewOf(l))
}

// handleRenewBatch grants the renewals that a control VM has gathered. A VM that cannot grant
// does not reply: the sender learns from the log which VM leads.
func (n *Node) handleRenewBatch(from ReplicaID, b RenewBatch) {
	if !n.canGrant() {
		return
	}
	for _, r := range b.Renewals {
		n.renewLease(from.VM, r)
	}
	n.recordAggregate(from, b)
	n.crashesReported(crashNews{crashed: b.Crashed, survived: b.Survived, labels: b.Labels})
	for _, wanted := range b.Trials {
		n.permitTrials(wanted)
	}
	g := GrantBatch{Term: n.replica.hard.Term, Number: b.Number, Revision: n.machine.Config.Revision}
	if !n.now.Before(n.leader.viewCompleteAt) {
		n.leader.view.addToBatch(b.ViewVersion, &g)
	}
	if n.hasRegisteringTargets() {
		n.addFleetToBatch(b, &g)
	}
	g.Permits = n.grantBatchPermits(b.Limits)
	n.send(from.VM, Message{GrantBatch: &g})
}

// recordAggregate records what a control VM reports of its holders. It ignores a control VM
// until that one has sent its first aggregate to this leader.
func (n *Node) recordAggregate(from ReplicaID, b RenewBatch) {
	aggregate, reported := n.leader.aggregates[from.VM]
	if b.Aggregate != nil {
		aggregate.FleetAggregate = *b.Aggregate
	}
	if b.Aggregate == nil && !reported {
		return
	}
	aggregate.following, aggregate.expected, aggregate.at = b.Following, b.Expected, n.now
	n.leader.aggregates[from.VM] = aggregate
}

func (n *Node) isLeaving(l *lease) bool {
	vm, _ := n.machine.Config.VMs.Get(string(l.holder.VM))
	return l.renewal.Leaving || vm.Drain || n.leader.platformLeaving[string(l.holder.VM)]
}

// loadLevels is the number of levels of loadLevel.
const loadLevels = 4

// loadLevel rounds a load in thousandths to a coarse level.
func loadLevel(load int) int { return min(load/300, loadLevels-1) }

func (n *Node) tickLeases() {
	n.refreshView()
	for _, vm := range slices.Sorted(maps.Keys(n.leader.leases)) {
		l := n.leader.leases[vm]
		if n.now.After(l.until.Add(n.settings.Timing.AnswerRetention)) {
			delete(n.leader.leases, vm)
		}
	}
}

// countInForce counts the entry VMs that may accept work, and those of them that may
// do so at an older revision than the given one.
func (n *Node) countInForce(revision config.Revision) (vms, waiting int) {
	for _, l := range n.leader.leases {
		if !n.now.Before(l.until) {
			continue
		}
		vms++
		if l.renewal.Revision < revision {
			waiting++
		}
	}
	if n.now.Before(n.leader.formerLeasesUntil) {
		// A lease that a former leader granted may be in force, unknown to this one.
		waiting = max(waiting, 1)
	}
	return vms, waiting
}

// emitPeerAddress gives the runtime the address of an entry VM that is to be replied to.
func (n *Node) emitPeerAddress(vm VMName) {
	if l, ok := n.leader.leases[vm]; ok {
		n.emit(PeerFound{VM: vm, Address: l.renewal.Address.Peers})
	}
}

// handleClaim makes a claim durable, or replies with the state of an earlier one.
func (n *Node) handleClaim(from ReplicaID, c ClaimRequest) {
	n.emitPeerAddress(from.VM)
	if !n.canGrant() {
		n.deliver(from.VM, Message{Redirect: &Redirect{Leader: n.leaderHint()}})
		return
	}
	existing, ok := n.machine.Claims[c.ID]
	if c.Peek && !ok {
		n.replyClaim(from, c, ClaimNone)
		return
	}
	if ok && !(existing.Holder == from && c.Attempt > existing.Attempt && !existing.Ended && !c.Peek) {
		n.replyClaim(from, c, n.claimOutcome(existing, from, c.Digest))
		return
	}
	op := ClaimOp{ID: c.ID, Holder: from, Attempt: c.Attempt, Digest: c.Digest, DropAt: wallClock(n.now.Add(n.settings.Timing.ClaimRetention))}
	index := n.propose(Entry{Claim: &op})
	n.leader.claims[index] = claimWaiter{from: from, request: c}
}

// claimOutcome returns the outcome of a request by asker for a claim that exists. The
// holder counts as lost when its lease has expired or it has returned as another
// incarnation: a dispatch by it cannot be ruled out, and no VM runs the request again.
func (n *Node) claimOutcome(c Claim, asker ReplicaID, digest string) ClaimOutcome {
	outcome := c.outcomeFor(asker, digest)
	if outcome != ClaimBusy {
		return outcome
	}
	l, ok := n.leader.leases[c.Holder.VM]
	alive := ok && l.holder == c.Holder && n.now.Before(l.until)
	if alive || !ok && n.now.Before(n.leader.formerLeasesUntil) {
		return ClaimBusy
	}
	return ClaimUnknown
}

func (n *Node) replyClaim(to ReplicaID, c ClaimRequest, outcome ClaimOutcome) {
	reply := ClaimReply{ID: c.ID, Attempt: c.Attempt, Outcome: outcome}
	if outcome == ClaimRecorded {
		reply.Answer = n.machine.Claims[c.ID].Answer
	}
	n.deliver(to.VM, Message{ClaimReply: &reply})
}

func (n *Node) claimApplied(index Index, op ClaimOp, outcome ClaimOutcome) {
	w, ok := n.leader.claims[index]
	if !ok {
		return
	}
	delete(n.leader.claims, index)
	if outcome == ClaimBusy {
		outcome = n.claimOutcome(n.machine.Claims[op.ID], w.from, op.Digest)
	}
	n.replyClaim(w.from, w.request, outcome)
}

func (n *Node) handleRecord(from ReplicaID, r RecordRequest) {
	n.emitPeerAddress(from.VM)
	if !n.canGrant() {
		n.deliver(from.VM, Message{Redirect: &Redirect{Leader: n.leaderHint()}})
		return
	}
	c, ok := n.machine.Claims[r.ID]
	if !ok || c.Ended || c.Holder != from || c.Attempt != r.Attempt {
		n.deliver(from.VM, Message{RecordReply: &RecordReply{ID: r.ID, Attempt: r.Attempt}})
		return
	}
	index := n.propose(Entry{Record: &RecordOp{ID: r.ID, Holder: from, Attempt: r.Attempt, Ran: r.Ran, Answer: r.Answer}})
	n.leader.records[index] = recordWaiter{from: from, request: r}
}

func (n *Node) recordApplied(index Index, op RecordOp) {
	w, ok := n.leader.records[index]
	if !ok {
		return
	}
	delete(n.leader.records, index)
	n.deliver(w.from.VM, Message{RecordReply: &RecordReply{ID: op.ID, Attempt: op.Attempt}})
}

// recordReport keeps a watcher's report of a target.
func (n *Node) recordReport(watcher VMName, report TargetReport) {
	byWatcher, ok := n.leader.reports[report.Target]
	if !ok {
		byWatcher = make(map[VMName]receivedReport)
		n.leader.reports[report.Target] = byWatcher
	}
	byWatcher[watcher] = receivedReport{report: report, at: n.now}
}

// platformListed records the platform's list. A VM or target is marked as leaving for
// as long as it is on the list.
func (n *Node) platformListed(p PlatformListed) {
	listed := make(map[string]bool, len(p.Leaving))
	for _, name := range p.Leaving {
		listed[name] = true
	}
	n.leader.platformLeaving = listed
}

// tickConditions derives the conditions that entry VMs route by from the reports and
// the platform's list.
func (n *Node) tickConditions() {
	t := n.settings.Timing
	if !n.now.Before(n.leader.platformAt) {
		n.leader.platformAt = n.now.Add(t.ProbeInterval)
		n.emit(ListPlatform{})
	}
	if n.now.Before(n.leader.conditionsAt) || n.leader.pendingPlanIndex > n.replica.commit {
		return
	}
	n.leader.conditionsAt = n.now.Add(t.ProbeInterval)
	var changes []config.Change
	for _, target := range n.machine.Config.Targets.Sorted() {
		seen := n.conditionOf(target)
		if seen != (config.Condition{Target: target.Name, Leaving: target.Leaving, Down: target.Down}) {
			n.note(conditionText(seen), target.Name)
			changes = append(changes, config.Change{Condition: &seen})
		}
	}
	if len(changes) > 0 {
		n.leader.pendingPlanIndex = n.propose(Entry{Changes: changes})
	}
}

func conditionText(c config.Condition) string {
	switch {
	case c.Down:
		return "target down"
	case c.Leaving:
		return "target leaving"
	}
	return "target up"
}

// conditionOf derives a target's condition from its recent reports: it is down when
// at least one watcher cannot reach it and none can, and leaving when the platform or a
// report states so. Without a recent report Down does not change.
func (n *Node) conditionOf(target config.Target) config.Condition {
	c := config.Condition{Target: target.Name, Leaving: n.leader.platformLeaving[target.Name], Down: target.Down}
	fresh := n.now.Add(-4 * n.settings.Timing.ProbeInterval)
	reached, missed := false, false
	for _, s := range n.leader.reports[target.Name] {
		if s.at.Before(fresh) {
			continue
		}
		reached = reached || s.report.Reached
		missed = missed || !s.report.Reached
		c.Leaving = c.Leaving || s.report.Leaving
	}
	if reached || missed {
		c.Down = !reached
	}
	return c
}

// lastAppliedOrder returns the sequence of the order that the target held in the newest report that
// reached it, and the time of that report.
func (n *Node) lastAppliedOrder(target string) (sequence uint64, at time.Time) {
	for _, s := range n.leader.reports[target] {
		if s.report.Reached && s.at.After(at) {
			sequence, at = s.report.AppliedSequence, s.at
		}
	}
	return sequence, at
}
