package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file is the leader's half of the leases of entry VMs; forwarding.go is that of the
// control VMs that they renew with.
//
// An entry VM takes new work only while its lease runs, and a grant always
// brings it to the revision that the leader has at that moment. So LeaseTerm
// after a change was accepted, every entry VM either has it or refuses: that
// is what "in force everywhere" means, and it needs no answer from a VM that
// can't give one. The other way, to serve on without a lease, was weighed in
// docs/DESIGN.md.
//
// Invariants: a lease counts at its holder from the sending of the request,
// shortened by the bound on drift, and here from the sending of the grant,
// lengthened by it; a grant never carries a revision that is not committed.

// renewLease notes the renewal of an entry VM that came by way of a control VM.
func (n *Node) renewLease(via VMName, r Renewal) {
	l, ok := n.leading.leases[r.From.VM]
	if !ok || l.holder != r.From {
		l = &lease{holder: r.From}
		n.leading.leases[r.From.VM] = l
	}
	l.via = via
	l.renewal = r
	l.renewedAt = n.now
	l.until = n.now.Add(n.settings.Timing.Lengthened(n.settings.Timing.LeaseTerm))
	for _, report := range r.Reports {
		n.takeReport(r.From.VM, report)
	}
	n.leading.view.set(n.viewOf(l))
}

// renewBatchAsked grants the renewals that a control VM has gathered. Who can't grant is
// silent: the sender learns from the log who leads.
func (n *Node) renewBatchAsked(from ReplicaID, b RenewBatch) {
	if !n.leads() {
		return
	}
	for _, r := range b.Renewals {
		n.renewLease(from.VM, r)
	}
	n.partHeard(from, b)
	n.crashesHeard(b.Crashed, b.Survived)
	g := GrantBatch{Term: n.replica.hard.Term, Number: b.Number, Revision: n.machine.Config.Revision}
	if !n.now.Before(n.leading.viewFrom) {
		n.leading.view.sinceBatch(b.ViewVersion, &g)
	}
	if n.followsTargets() {
		n.addWork(b, &g)
	}
	g.Permits = n.lendToBatch(b.Limits)
	n.send(from.VM, Message{GrantBatch: &g})
}

// partHeard notes what a control VM says of its holders. Who has not sent its part to this
// leader has not been heard.
func (n *Node) partHeard(from ReplicaID, b RenewBatch) {
	part, heard := n.leading.parts[from.VM]
	if b.Part != nil {
		part.FleetPart = *b.Part
	}
	if b.Part == nil && !heard {
		return
	}
	part.following, part.expected, part.at = b.Following, b.Expected, n.now
	n.leading.parts[from.VM] = part
}

func (n *Node) isLeaving(l *lease) bool {
	vm, _ := n.machine.Config.VMs.Get(string(l.holder.VM))
	return l.renewal.Leaving || vm.Drain || n.leading.platform[string(l.holder.VM)]
}

// loadLevels is the number of levels of loadLevel.
const loadLevels = 4

// loadLevel makes a load in thousandths coarse.
func loadLevel(load int) int { return min(load/300, loadLevels-1) }

func (n *Node) tickLeases() {
	n.refreshView()
	for _, vm := range slices.Sorted(maps.Keys(n.leading.leases)) {
		l := n.leading.leases[vm]
		if n.now.After(l.until.Add(n.settings.Timing.KeepAnswer)) {
			delete(n.leading.leases, vm)
		}
	}
}

// force counts the entry VMs that may take work, and those of them that may
// do so at an older revision than the given one.
func (n *Node) force(revision config.Revision) (vms, waiting int) {
	for _, l := range n.leading.leases {
		if !n.now.Before(l.until) {
			continue
		}
		vms++
		if l.renewal.Revision < revision {
			waiting++
		}
	}
	if n.now.Before(n.leading.blindUntil) {
		// A lease of the leader before may run that this one knows nothing of.
		waiting = max(waiting, 1)
	}
	return vms, waiting
}

// reachEntry tells the runtime the address of an entry VM that is to get an answer.
func (n *Node) reachEntry(vm VMName) {
	if l, ok := n.leading.leases[vm]; ok {
		n.emit(PeerFound{VM: vm, Address: l.renewal.Address.Peers})
	}
}

// claimAsked makes a claim durable, or says how an earlier one stands.
func (n *Node) claimAsked(from ReplicaID, c ClaimRequest) {
	n.reachEntry(from.VM)
	if !n.leads() {
		n.deliver(from.VM, Message{Redirect: &Redirect{Leader: n.leaderHint()}})
		return
	}
	present, ok := n.machine.Claims[c.ID]
	if c.Peek && !ok {
		n.replyClaim(from, c, ClaimNone)
		return
	}
	if ok && !(present.Holder == from && c.Attempt > present.Attempt && !present.Ended && !c.Peek) {
		n.replyClaim(from, c, n.standing(present, from, c.Digest))
		return
	}
	op := ClaimOp{ID: c.ID, Holder: from, Attempt: c.Attempt, Digest: c.Digest, DropAt: wall(n.now.Add(n.settings.Timing.KeepClaim))}
	index := n.propose(Entry{Claim: &op})
	n.leading.claims[index] = claimWaiter{from: from, request: c}
}

// standing returns what an asker learns of a claim that stands. The holder is
// taken for gone when its lease has run out or it has come back as another
// incarnation: what it dispatched can't be ruled out, and nobody runs it again.
func (n *Node) standing(c Claim, asker ReplicaID, digest string) ClaimOutcome {
	outcome := c.outcomeFor(asker, digest)
	if outcome != ClaimBusy {
		return outcome
	}
	l, ok := n.leading.leases[c.Holder.VM]
	alive := ok && l.holder == c.Holder && n.now.Before(l.until)
	if alive || !ok && n.now.Before(n.leading.blindUntil) {
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
	w, ok := n.leading.claims[index]
	if !ok {
		return
	}
	delete(n.leading.claims, index)
	if outcome == ClaimBusy {
		outcome = n.standing(n.machine.Claims[op.ID], w.from, op.Digest)
	}
	n.replyClaim(w.from, w.request, outcome)
}

func (n *Node) recordAsked(from ReplicaID, r RecordRequest) {
	n.reachEntry(from.VM)
	if !n.leads() {
		n.deliver(from.VM, Message{Redirect: &Redirect{Leader: n.leaderHint()}})
		return
	}
	c, ok := n.machine.Claims[r.ID]
	if !ok || c.Ended || c.Holder != from || c.Attempt != r.Attempt {
		n.deliver(from.VM, Message{RecordReply: &RecordReply{ID: r.ID, Attempt: r.Attempt}})
		return
	}
	index := n.propose(Entry{Record: &RecordOp{ID: r.ID, Holder: from, Attempt: r.Attempt, Ran: r.Ran, Answer: r.Answer}})
	n.leading.records[index] = recordWaiter{from: from, request: r}
}

func (n *Node) recordApplied(index Index, op RecordOp) {
	w, ok := n.leading.records[index]
	if !ok {
		return
	}
	delete(n.leading.records, index)
	n.deliver(w.from.VM, Message{RecordReply: &RecordReply{ID: op.ID, Attempt: op.Attempt}})
}

// takeReport keeps what a watcher says of a target.
func (n *Node) takeReport(watcher VMName, report TargetReport) {
	byWatcher, ok := n.leading.reports[report.Target]
	if !ok {
		byWatcher = make(map[VMName]sighting)
		n.leading.reports[report.Target] = byWatcher
	}
	byWatcher[watcher] = sighting{report: report, at: n.now}
}

// platformListed takes the platform's list. A VM or target that is on it stays
// marked while the list says so.
func (n *Node) platformListed(p PlatformListed) {
	listed := make(map[string]bool, len(p.Leaving))
	for _, name := range p.Leaving {
		listed[name] = true
	}
	n.leading.platform = listed
}

// tickConditions turns reports and the platform's list into the marks that
// entry VMs route by.
func (n *Node) tickConditions() {
	t := n.settings.Timing
	if !n.now.Before(n.leading.platformAt) {
		n.leading.platformAt = n.now.Add(t.WatchEvery)
		n.emit(ListPlatform{})
	}
	if n.now.Before(n.leading.conditionsAt) || n.leading.planPending > n.replica.commit {
		return
	}
	n.leading.conditionsAt = n.now.Add(t.WatchEvery)
	var changes []config.Change
	for _, target := range n.machine.Config.Targets.Sorted() {
		seen := n.conditionOf(target)
		if seen != (config.Condition{Target: target.Name, Leaving: target.Leaving, Down: target.Down}) {
			n.note(conditionText(seen), target.Name)
			changes = append(changes, config.Change{Condition: &seen})
		}
	}
	if len(changes) > 0 {
		n.leading.planPending = n.propose(Entry{Changes: changes})
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

// conditionOf weighs the fresh reports of a target: it is down when some
// watcher can't reach it and none can, and leaving when anyone says so. With
// no fresh report nothing changes.
func (n *Node) conditionOf(target config.Target) config.Condition {
	c := config.Condition{Target: target.Name, Leaving: n.leading.platform[target.Name], Down: target.Down}
	fresh := n.now.Add(-4 * n.settings.Timing.WatchEvery)
	reached, missed := false, false
	for _, s := range n.leading.reports[target.Name] {
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

// holding returns the newest order that any watcher saw carried out.
func (n *Node) holding(target string) (sequence uint64, at time.Time) {
	for _, s := range n.leading.reports[target] {
		if s.report.Reached && s.at.After(at) {
			sequence, at = s.report.Holding, s.at
		}
	}
	return sequence, at
}
