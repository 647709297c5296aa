package core

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file distributes the quarantine of requests that end their targets to all VMs;
// relay/suspects.go defines which requests these are.
//
// Problem: the VM that sees a target end under a request is seldom the one that receives the
// request next. Every VM has to know within one or two lease intervals, even if a message is
// lost, a VM restarts or the leader changes.
//
// Algorithm: an entry VM reports crashed runs with its renewals, at once and with each renewal
// for crashesRepeatedFor. Its control VM forwards them to the leader, which collects them.
// Decisions go through the log: a request in quarantine is part of the configuration, which a
// lease carries to its holder. Mere suspicion isn't in the log: it is lost with the leader,
// except for the reports of the last crashesRepeatedFor.
//
// Two alternatives are worse. If each report were in the log, nothing would be lost with a
// leader, but the loss of a rack would add some hundred entries without information. If decisions
// were only sent with leases, a loss of all VMs would let the request end targets again.
//
// Invariants: a VM that holds a lease granted after the decision knows the decision, whatever
// was lost or restarted in between; a request leaves quarantine only by an answer of its own,
// when its time is over or by an operator.
//
// Limits: a request that ends two targets before a change of leader and crashesRepeatedFor, and
// continues after it, ends up to two targets more than QuarantineCrashes.

const (
	// crashesRepeatedFor is how long an entry VM repeats a report: an election and one or two
	// lost renewals take less.
	crashesRepeatedFor = 10 * time.Second
	// maxCrashReports bounds the reports that a VM repeats; they take about 3 KB of each renewal.
	maxCrashReports = 64
	// crashRenewAfter is the minimum time between two renewals that are hurried by reports.
	crashRenewAfter = 50 * time.Millisecond
	// quarantineFor is how long a request stays in quarantine. A request that still ends its
	// targets costs three of them per hour, and one that was blamed wrongly is refused for no
	// longer.
	quarantineFor = time.Hour
)

// RunsCrashed reports runs that produced nothing before their target ended.
type RunsCrashed struct{ Runs []relay.CrashedRun }

// RequestSurvived reports that a request that this VM has reported ran well on a target, and
// when.
type RequestSurvived struct {
	Request relay.Fingerprint
	At      time.Time
}

// QuarantineInForce passes to the runtime the requests that are sent to no target, each with
// the time at which it is released.
type QuarantineInForce struct {
	Until map[relay.Fingerprint]time.Time
}

func (RunsCrashed) isEvent()     {}
func (RequestSurvived) isEvent() {}

func (QuarantineInForce) isEffect() {}

// CrashReport is a crashed run as sent to the leader. Clocks differ between VMs, so its times
// are ages at the time of sending.
type CrashReport struct {
	_        struct{}          `cbor:",toarray"`
	Request  relay.Fingerprint `cbor:"request"`
	Target   relay.TargetKey   `cbor:"target"`
	BeganAgo time.Duration     `cbor:"began_ago"`
	EndedAgo time.Duration     `cbor:"ended_ago"`
}

// SurvivalReport is a run that went well, as sent to the leader.
type SurvivalReport struct {
	_       struct{}          `cbor:",toarray"`
	Request relay.Fingerprint `cbor:"request"`
	Ago     time.Duration     `cbor:"ago"`
}

// crashes holds the crashed runs that a VM reports to the leader.
type crashes struct {
	runs []relay.CrashedRun
	// survived holds the requests that have run well since, and when.
	survived map[relay.Fingerprint]time.Time
}

// reports returns the runs as sent at the given time.
func (c *crashes) reports(now time.Time) []CrashReport {
	var reports []CrashReport
	for _, r := range c.runs {
		reports = append(reports, CrashReport{Request: r.Request, Target: r.Target, BeganAgo: now.Sub(r.Began), EndedAgo: now.Sub(r.Ended)})
	}
	return reports
}

// merge adds the reports of another VM.
func (c *crashes) merge(reports []CrashReport, survived []SurvivalReport, now time.Time) {
	for _, r := range reports {
		c.add(relay.CrashedRun{Request: r.Request, Target: r.Target, Began: now.Add(-r.BeganAgo), Ended: now.Add(-r.EndedAgo)})
	}
	for _, s := range survived {
		c.clearRequest(s.Request, now.Add(-s.Ago))
	}
}

// add records a run and replaces an earlier report of it.
func (c *crashes) add(run relay.CrashedRun) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Request == run.Request && o.Target == run.Target })
	c.runs = append(c.runs, run)
	c.runs = c.runs[max(0, len(c.runs)-maxCrashReports):]
}

// forget drops the runs of a request.
func (c *crashes) forget(request relay.Fingerprint) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Request == request })
}

// clearRequest records that a request ran well at the given time.
func (c *crashes) clearRequest(request relay.Fingerprint, at time.Time) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Request == request && !o.Ended.After(at) })
	if c.survived == nil {
		c.survived = make(map[relay.Fingerprint]time.Time)
	}
	if len(c.survived) < maxCrashReports && at.After(c.survived[request]) {
		c.survived[request] = at
	}
}

// survivals returns the requests that have run well since they were reported, sorted.
func (c *crashes) survivals(now time.Time) []SurvivalReport {
	var reports []SurvivalReport
	for request, at := range c.survived {
		reports = append(reports, SurvivalReport{Request: request, Ago: now.Sub(at)})
	}
	slices.SortFunc(reports, func(a, b SurvivalReport) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return reports
}

// expire drops the reports that have been repeated for crashesRepeatedFor.
func (c *crashes) expire(now time.Time) {
	c.runs = slices.DeleteFunc(c.runs, func(r relay.CrashedRun) bool { return !now.Before(r.Ended.Add(crashesRepeatedFor)) })
	for request, at := range c.survived {
		if !now.Before(at.Add(crashesRepeatedFor)) {
			delete(c.survived, request)
		}
	}
}

// runsCrashed reports the crashed runs of this entry VM to the leader.
func (n *Node) runsCrashed(e RunsCrashed) {
	for _, run := range e.Runs {
		n.entry.crashes.add(run)
	}
	n.renewSoon()
}

// requestSurvived reports to the leader that a request ran well.
func (n *Node) requestSurvived(e RequestSurvived) {
	n.entry.crashes.clearRequest(e.Request, e.At)
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
	held := n.entry.config.Quarantine.Items
	if maps.Equal(before.Quarantine.Items, held) {
		return
	}
	until := make(map[relay.Fingerprint]time.Time, len(held))
	for _, q := range held {
		if request, ok := parseFingerprint(q.Fingerprint); ok {
			until[request] = q.Until
			// Its reports are dropped: after its release they would put it into quarantine
			// again.
			n.entry.crashes.forget(request)
		}
	}
	n.emit(QuarantineInForce{Until: until})
}

// parseFingerprint parses a fingerprint of the configuration.
func parseFingerprint(text string) (request relay.Fingerprint, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(request) {
		return request, false // not written by a leader
	}
	return relay.Fingerprint(raw), true
}

// crashesReported handles reports that came with renewals: the leader collects them, another
// control VM forwards them with its next batch.
func (n *Node) crashesReported(reports []CrashReport, survived []SurvivalReport) {
	if !n.canGrant() {
		n.forwarding.crashes.merge(reports, survived, n.now)
		return
	}
	for _, s := range survived {
		n.recordSurvival(s.Request, n.now.Add(-s.Ago))
	}
	for _, r := range reports {
		n.recordCrash(relay.CrashedRun{Request: r.Request, Target: r.Target, Began: n.now.Add(-r.BeganAgo), Ended: n.now.Add(-r.EndedAgo)})
	}
}

// recordCrash has the leader record one report, and puts the request into quarantine if it has
// ended too many targets.
func (n *Node) recordCrash(run relay.CrashedRun) {
	l := &n.leader
	name := run.Request.String()
	if n.machine.Config.Quarantine.Has(name) || l.quarantining[run.Request] {
		return
	}
	if !l.suspects.Record(run) {
		return
	}
	l.quarantining[run.Request] = true
	q := config.QuarantinedRequest{Fingerprint: name, FirstEnd: wallClock(l.suspects.FirstEnd(run.Request)), Since: wallClock(n.now), Until: wallClock(n.now.Add(quarantineFor))}
	l.suspects.Forget(run.Request)
	n.note("request has ended its targets one after the other: it is put into quarantine", name)
	n.propose(Entry{Changes: []config.Change{{Quarantine: &q}}})
}

// quarantineApplied records that the log has put a request into quarantine.
func (n *Node) quarantineApplied(q config.QuarantinedRequest) {
	if request, ok := parseFingerprint(q.Fingerprint); ok {
		delete(n.leader.quarantining, request)
	}
}

// recordSurvival has the leader record that a request ran well, and releases it from quarantine
// if that was after it first ended a target.
func (n *Node) recordSurvival(request relay.Fingerprint, at time.Time) {
	n.leader.suspects.Clear(request, at)
	name := request.String()
	q, held := n.machine.Config.Quarantine.Get(name)
	if !held || !wallClock(at).After(q.FirstEnd) {
		return // a survival is reported for crashesRepeatedFor, even if the request ends targets afterwards
	}
	n.note("request in quarantine has run well: it is let go", name)
	n.propose(Entry{Changes: []config.Change{{Release: name}}})
}

// quarantineTable lists the requests in quarantine.
func (n *Node) quarantineTable() Table {
	t := Table{Columns: []string{"fingerprint", "first_end", "since", "until"}}
	for _, q := range n.machine.Config.Quarantine.Sorted() {
		t.add(q.Fingerprint, q.FirstEnd.Format(time.RFC3339), q.Since.Format(time.RFC3339), q.Until.Format(time.RFC3339))
	}
	return t
}
