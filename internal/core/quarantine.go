package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file distributes the quarantine of what crashes targets to all VMs; relay/suspects.go defines
// what that is, config/quarantine.go how it is tried again.
//
// Problem: the VM that sees a target end under a request is seldom the one that receives the
// next request of its kind. Every VM has to know within one or two lease intervals, even if a message
// is lost, a VM restarts or the leader changes.
//
// Algorithm: an entry VM reports crashed runs with its renewals, at once and with each renewal
// for crashesRepeatedFor, and with them when their fingerprints last ran well. Its control VM
// forwards them to the leader, which collects them. Decisions go through the log: the quarantine is
// part of the configuration, which a lease carries to its holder. Mere suspicion isn't in the log: it
// is lost with the leader, except for the reports of the last crashesRepeatedFor. An entry VM that
// holds a request that could be tried asks the leader with a renewal, and the leader permits one trial
// by the same way.
//
// Two alternatives are worse. If each report were in the log, nothing would be lost with a
// leader, but the loss of a rack would add some hundred entries without information. If decisions
// were only sent with leases, a loss of all VMs would let requests crash targets again.
//
// Invariants: a VM that holds a lease granted after the decision knows the decision, whatever
// was lost or restarted in between; an item leaves quarantine only by a run that went well, when its
// time is over or by an operator.
//
// Limits: a fingerprint that crashes two targets before a change of leader and crashesRepeatedFor, and
// continues after it, crashes up to two targets more than QuarantineCrashes.

const (
	// crashRenewAfter is the minimum time between two renewals that are hurried by reports.
	crashRenewAfter = 50 * time.Millisecond
	// quarantineFor is how long an item stays in quarantine. What still crashes targets costs a few of
	// them per hour, and what was blamed wrongly is refused for no longer.
	quarantineFor = time.Hour
	// trialUsableFor is how long a VM may use a trial: no longer than the request waits that it was
	// asked for.
	trialUsableFor = time.Second
	// trialReportedFor is how long after that something has to be known of it.
	trialReportedFor = 2 * time.Second
	// maxForwardedTrials bounds the VMs whose trials a control VM forwards with one batch.
	maxForwardedTrials = 64
	// maxNotedCrashes is the number of crashes under a fingerprint that are logged.
	maxNotedCrashes = 5
	// maxNamedTargets bounds the targets that an item names.
	maxNamedTargets = 5
)

// RunsCrashed reports runs that produced nothing before their target ended, and when requests with
// their fingerprints last ran well on this VM, as far as it knows.
type RunsCrashed struct {
	Runs    []relay.CrashedRun
	RanWell []relay.FingerprintRun
}

// RunsWentWell reports runs that went well of fingerprints that this VM has reported, or that are in
// quarantine.
type RunsWentWell struct{ Runs []relay.FingerprintRun }

// TrialWanted asks for a trial of a request that has some fingerprints in quarantine.
type TrialWanted struct{ Fingerprints []relay.Fingerprint }

// TrialsUnused reports trials that this VM has not used in time, by fingerprint and when they were
// permitted.
type TrialsUnused struct{ Trials []relay.FingerprintRun }

// QuarantineInForce passes to the runtime what is in quarantine.
type QuarantineInForce struct {
	Held map[relay.Fingerprint]relay.Hold
}

func (RunsCrashed) isEvent()  {}
func (RunsWentWell) isEvent() {}
func (TrialWanted) isEvent()  {}
func (TrialsUnused) isEvent() {}

func (QuarantineInForce) isEffect() {}

// runsCrashed reports the crashed runs of this entry VM to the leader.
func (n *Node) runsCrashed(e RunsCrashed) {
	for _, run := range e.Runs {
		n.entry.crashes.add(run)
	}
	for _, run := range e.RanWell {
		n.entry.crashes.clear(run.Fingerprint, run.At)
	}
	n.renewSoon()
}

// runsWentWell reports to the leader that runs went well.
func (n *Node) runsWentWell(e RunsWentWell) {
	for _, run := range e.Runs {
		n.entry.crashes.clear(run.Fingerprint, run.At)
	}
	n.renewSoon()
}

// trialWanted asks the leader for a trial.
func (n *Node) trialWanted(e TrialWanted) {
	n.entry.crashes.want(e.Fingerprints, n.now)
	n.renewSoon()
}

// trialsUnused returns trials to the leader.
func (n *Node) trialsUnused(e TrialsUnused) {
	n.entry.crashes.unused = e.Trials
	n.renewSoon()
}

// renewSoon makes this entry VM renew its lease soon, to send the reports that a renewal
// carries.
func (n *Node) renewSoon() {
	l := &n.entry.lease
	if l.renewAt.IsZero() {
		return // no renewal has been sent yet
	}
	last := l.renewAt.Add(-n.settings.Timing.RenewInterval)
	l.renewAt = earlier(l.renewAt, last.Add(crashRenewAfter))
}

// applyQuarantine passes the quarantine to the runtime if a lease has changed it.
func (n *Node) applyQuarantine(before config.State) {
	items := n.entry.config.Quarantine.Items
	if maps.EqualFunc(before.Quarantine.Items, items, config.QuarantineItem.Equal) {
		return
	}
	n.entry.crashes.unused = nil
	held := make(map[relay.Fingerprint]relay.Hold, len(items))
	for _, q := range items {
		f, ok := relay.ParseFingerprint(q.Fingerprint)
		if !ok {
			continue // not written by a leader
		}
		held[f] = relay.Hold{QuarantineItem: q, OwnTrial: isHeldBy(q, n.settings.Self)}
		if !before.Quarantine.Has(q.Fingerprint) {
			// Its reports are dropped: after its release they would put it into quarantine again.
			n.entry.crashes.forget(f)
		}
	}
	n.emit(QuarantineInForce{Held: held})
}

// isHeldBy reports whether the newest trial of an item is permitted to a process.
func isHeldBy(q config.QuarantineItem, process ReplicaID) bool {
	last, tried := q.LastTrial()
	return tried && last.Holder == process.String()
}

// crashesReported handles reports that came with renewals: the leader collects them, another
// control VM forwards them with its next batch.
func (n *Node) crashesReported(news crashNews) {
	if !n.canGrant() {
		n.forwarding.crashes.merge(news, n.now)
		return
	}
	for _, s := range news.survived {
		n.recordSurvival(s.Fingerprint, n.now.Add(-s.Ago))
	}
	for _, run := range news.runs(n.now) {
		before, _ := n.leader.suspects.Crashes(run.Fingerprint)
		n.leader.suspects.Record(run, n.now)
		n.noteSuspicion(run, before)
	}
}

// noteSuspicion logs a fingerprint under which a target has crashed, and not the first one.
func (n *Node) noteSuspicion(run relay.CrashedRun, before int) {
	targets, losses := n.leader.suspects.Crashes(run.Fingerprint)
	if targets <= max(before, 1) || targets > maxNotedCrashes || n.inQuarantine(run.Fingerprint) {
		return
	}
	n.note("several targets have crashed under requests with one fingerprint",
		fmt.Sprintf("%s %s targets=%d losses=%d last=%s", run.Fingerprint, cmp.Or(run.Label, "request"), targets, losses, n.targetName(run.Target)))
}

// tickQuarantine has the leader put into quarantine what is due, and release what has expired.
func (n *Node) tickQuarantine() {
	l := &n.leader
	for _, f := range l.suspects.Decide(n.now, n.inQuarantine) {
		n.putIntoQuarantine(f)
	}
	for _, q := range n.machine.Config.Quarantine.Sorted() {
		f, ok := relay.ParseFingerprint(q.Fingerprint)
		if !ok || l.pendingItems[f] {
			continue
		}
		if !n.now.Before(q.Until) {
			n.releaseItem(f, q, "item of the quarantine has expired: it is let go")
			continue
		}
		n.judgeTrial(f, q)
	}
}

// releaseItem proposes to release an item.
func (n *Node) releaseItem(f relay.Fingerprint, q config.QuarantineItem, note string) {
	n.leader.pendingItems[f] = true
	n.note(note, q.Fingerprint+" "+q.Description())
	n.propose(Entry{Changes: []config.Change{{Release: q.Fingerprint}}})
}

// judgeTrial records the outcome of the newest trial of an item. A trial is inconclusive if it
// is not reported, or if its target ended under another item as well. Another suspect that
// was starting there is put into quarantine, so that the next trial is of one of them.
func (n *Node) judgeTrial(f relay.Fingerprint, q config.QuarantineItem) {
	last, tried := q.LastTrial()
	if !tried || last.Outcome == config.TrialInconclusive {
		return
	}
	outcome := last.Outcome
	ended, others := n.leader.suspects.EndedWith(f, last.At)
	switch {
	case ended:
		outcome = config.TrialFailed
	case outcome == config.TrialPending && !n.now.Before(last.Until.Add(trialReportedFor)):
		outcome = config.TrialInconclusive
	}
	for _, other := range others {
		item, held := n.machine.Config.Quarantine.Get(other.String())
		switch {
		case held && !slices.ContainsFunc(item.Trials, last.IsSame):
			outcome = config.TrialInconclusive
		case !held && !n.leader.pendingItems[other] && n.leader.suspects.MayExplain(other):
			n.putIntoQuarantine(other)
		}
	}
	if outcome == last.Outcome {
		return
	}
	n.leader.pendingItems[f] = true
	n.note(trialNotes[outcome], q.Fingerprint+" "+q.Description())
	n.propose(Entry{Changes: []config.Change{{TrialEnd: &config.TrialEnd{Fingerprints: []string{q.Fingerprint}, Holder: last.Holder, At: last.At, Outcome: outcome}}}})
}

// trialNotes are the log lines of outcomes.
var trialNotes = map[config.TrialOutcome]string{
	config.TrialFailed:       "a trial of an item of the quarantine has failed: its target ended",
	config.TrialInconclusive: "a trial of an item of the quarantine is inconclusive",
}

// inQuarantine reports whether a fingerprint is in quarantine, or a decision on it is in the log.
func (n *Node) inQuarantine(f relay.Fingerprint) bool {
	return n.leader.pendingItems[f] || n.machine.Config.Quarantine.Has(f.String())
}

// putIntoQuarantine proposes to put a fingerprint into quarantine.
func (n *Node) putIntoQuarantine(f relay.Fingerprint) {
	evidence := n.leader.suspects.Evidence(f)
	q := config.QuarantineItem{
		Fingerprint: f.String(), Label: evidence.Label, Targets: n.targetNames(evidence.Targets),
		FirstEnd: wallClock(evidence.FirstEnd), Since: wallClock(n.now), Until: wallClock(n.now.Add(quarantineFor)),
	}
	n.leader.pendingItems[f] = true
	n.note("requests have crashed their targets: what they have in common is put into quarantine", q.Fingerprint+" "+q.Description()+" "+strings.Join(q.Targets, ","))
	n.propose(Entry{Changes: []config.Change{{Quarantine: &q}}})
}

// targetNames returns the names of the first of some targets, as far as they are known here.
func (n *Node) targetNames(keys []relay.TargetKey) []string {
	var names []string
	for _, key := range keys[:min(len(keys), maxNamedTargets)] {
		names = append(names, n.targetName(key))
	}
	return names
}

// targetName returns the name of a target, or its key where it is no longer known.
func (n *Node) targetName(key relay.TargetKey) string {
	for _, t := range n.registry.targets.All() {
		if t.ID.Key() == key {
			return t.ID.Name()
		}
	}
	return key.String()
}

// quarantineChanged records that the log has changed the quarantine.
func (n *Node) quarantineChanged(c config.Change) {
	for _, name := range c.QuarantineItems() {
		f, ok := relay.ParseFingerprint(name)
		if !ok {
			continue
		}
		delete(n.leader.pendingItems, f)
		if !n.machine.Config.Quarantine.Has(name) {
			n.leader.suspects.Release(f, n.now)
		}
	}
}

// recordSurvival has the leader record that a request ran well, and releases its fingerprint from
// quarantine if that was after it first crashed a target.
func (n *Node) recordSurvival(f relay.Fingerprint, at time.Time) {
	n.leader.suspects.Clear(f, at)
	q, held := n.machine.Config.Quarantine.Get(f.String())
	if !held || n.leader.pendingItems[f] || !wallClock(at).After(q.FirstEnd) {
		return // a survival is reported for crashesRepeatedFor, even if the request ends targets afterwards
	}
	n.releaseItem(f, q, "a request with an item of the quarantine has run well: the item is let go")
}

// trialsWanted handles the trials that an entry VM asks this control VM for: the leader permits them,
// another control VM forwards them.
func (n *Node) trialsWanted(wanted HolderTrials) {
	switch {
	case len(wanted.Trials) == 0 && len(wanted.Unused) == 0:
	case n.canGrant():
		n.permitTrials(wanted)
	case len(n.forwarding.trials) < maxForwardedTrials:
		n.forwarding.trials = append(n.forwarding.trials, wanted)
	}
}

// permitTrials has the leader permit the trials that an entry VM asks for, and take back those that it
// has not used.
func (n *Node) permitTrials(wanted HolderTrials) {
	for _, unused := range wanted.Unused {
		q, _ := n.machine.Config.Quarantine.Get(unused.Fingerprint.String())
		if last, _ := q.LastTrial(); !isHeldBy(q, wanted.From) || !last.At.Equal(unused.At) || n.leader.pendingItems[unused.Fingerprint] {
			continue // it is taken back already
		}
		n.leader.pendingItems[unused.Fingerprint] = true
		n.propose(Entry{Changes: []config.Change{{TrialEnd: &config.TrialEnd{
			Fingerprints: []string{unused.Fingerprint.String()}, Holder: wanted.From.String(), At: unused.At, Outcome: config.TrialUnused,
		}}}})
	}
	for _, fingerprints := range wanted.Trials {
		if slices.ContainsFunc(fingerprints, func(f relay.Fingerprint) bool { return n.leader.pendingItems[f] }) {
			continue
		}
		trial := config.TrialOfItems{Trial: config.Trial{Holder: wanted.From.String(), At: wallClock(n.now), Until: wallClock(n.now.Add(trialUsableFor))}}
		for _, f := range fingerprints {
			trial.Fingerprints = append(trial.Fingerprints, f.String())
		}
		if !n.machine.Config.MayTry(trial.Fingerprints, trial.Trial.At) {
			continue
		}
		for _, f := range fingerprints {
			n.leader.pendingItems[f] = true
		}
		n.note("a trial of requests in quarantine is permitted to VM "+trial.Trial.Holder, strings.Join(trial.Fingerprints, " "))
		n.propose(Entry{Changes: []config.Change{{Trial: &trial}}})
	}
}

// quarantineTable lists what is in quarantine.
func (n *Node) quarantineTable() Table {
	t := Table{Columns: []string{"fingerprint", "of", "targets", "first_end", "since", "until", "trials", "tried_by"}}
	for _, q := range n.machine.Config.Quarantine.Sorted() {
		last, _ := q.LastTrial()
		t.add(q.Fingerprint, q.Description(), strings.Join(q.Targets, ","), q.FirstEnd.Format(time.RFC3339), q.Since.Format(time.RFC3339), q.Until.Format(time.RFC3339), len(q.Trials), last.Holder)
	}
	return t
}
