package core

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has all VMs know the requests that end their targets; relay/suspects.go says which
// these are.
//
// Problem: the VM that sees a target end under a request is seldom the one that the request
// comes to next. Every VM has to know within the time of a lease or two, also where a message
// is lost, a VM starts again or another one comes to lead.
//
// Algorithm: an entry VM reports crashed runs with its renewals, at once and with each renewal
// for crashesRepeatedFor. Its control VM hands them to the leader, which gathers them. What is decided
// goes through the log: a request in quarantine is a part of the configuration, which a lease
// brings to its holder. What only is suspected is not: it is lost with the leader, but for what
// was reported within crashesRepeatedFor.
//
// Two other ways were weighed. Were each report in the log, nothing would be lost with a leader,
// and the fall of a rack would be some hundred entries that say nothing. Were what is decided
// told with leases alone, a loss of all VMs would let the request end targets anew.
//
// Invariants: a VM that holds a lease granted after the decision knows of it, whatever was lost
// or started again between; a request leaves only by an answer of its own, its time or an
// operator.
//
// Limits: a request that ends two targets before a change of leader and crashesRepeatedFor, and goes
// on after it, ends up to two more than CrashesMost.

const (
	// crashesRepeatedFor is how long an entry VM repeats a report: an election and a lost renewal
	// or two take less.
	crashesRepeatedFor = 10 * time.Second
	// crashesHeld bounds the reports that a VM repeats, some 3 KB in each renewal meanwhile.
	crashesHeld = 64
	// crashRenewAfter is the least time between two renewals that reports are hurried by.
	crashRenewAfter = 50 * time.Millisecond
	// quarantineFor is how long a request stays in quarantine. One that still ends its targets
	// costs three of them an hour, and one that was blamed wrongly is refused for no longer.
	quarantineFor = time.Hour
)

// RunsCrashed are runs that brought nothing before their target ended.
type RunsCrashed struct{ Runs []relay.CrashedRun }

// RequestSurvived says that a target has run well, at a time, a request that this VM has
// reported.
type RequestSurvived struct {
	Request relay.Fingerprint
	At      time.Time
}

// QuarantineInForce tells the runtime the requests that are sent to no target, each with when
// it is let go.
type QuarantineInForce struct {
	Until map[relay.Fingerprint]time.Time
}

func (RunsCrashed) isEvent()     {}
func (RequestSurvived) isEvent() {}

func (QuarantineInForce) isEffect() {}

// CrashReport is a crashed run on its way to the leader. Clocks differ between VMs, so that
// its times count back from the sending.
type CrashReport struct {
	_        struct{}          `cbor:",toarray"`
	Request  relay.Fingerprint `cbor:"request"`
	Target   relay.TargetKey   `cbor:"target"`
	BeganAgo time.Duration     `cbor:"began_ago"`
	EndedAgo time.Duration     `cbor:"ended_ago"`
}

// SurvivalReport is a run that went well on its way to the leader.
type SurvivalReport struct {
	_       struct{}          `cbor:",toarray"`
	Request relay.Fingerprint `cbor:"request"`
	Ago     time.Duration     `cbor:"ago"`
}

// crashes is what a VM knows of crashed runs that the leader is to hear of.
type crashes struct {
	runs []relay.CrashedRun
	// survived are the requests that have run well since, and when.
	survived map[relay.Fingerprint]time.Time
}

// reports returns the runs as they are sent now.
func (c *crashes) reports(now time.Time) []CrashReport {
	var reports []CrashReport
	for _, r := range c.runs {
		reports = append(reports, CrashReport{Request: r.Request, Target: r.Target, BeganAgo: now.Sub(r.Began), EndedAgo: now.Sub(r.Ended)})
	}
	return reports
}

// take takes reports of another VM.
func (c *crashes) take(reports []CrashReport, survived []SurvivalReport, now time.Time) {
	for _, r := range reports {
		c.add(relay.CrashedRun{Request: r.Request, Target: r.Target, Began: now.Add(-r.BeganAgo), Ended: now.Add(-r.EndedAgo)})
	}
	for _, s := range survived {
		c.clear(s.Request, now.Add(-s.Ago))
	}
}

// add takes a run in the place of an earlier report of it.
func (c *crashes) add(run relay.CrashedRun) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Request == run.Request && o.Target == run.Target })
	c.runs = append(c.runs, run)
	c.runs = c.runs[max(0, len(c.runs)-crashesHeld):]
}

// forget drops the runs of a request.
func (c *crashes) forget(request relay.Fingerprint) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Request == request })
}

// clear takes that a request has run well at a time.
func (c *crashes) clear(request relay.Fingerprint, at time.Time) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Request == request && !o.Ended.After(at) })
	if c.survived == nil {
		c.survived = make(map[relay.Fingerprint]time.Time)
	}
	if len(c.survived) < crashesHeld && at.After(c.survived[request]) {
		c.survived[request] = at
	}
}

// cleared returns the requests that have run well since they were reported, sorted.
func (c *crashes) cleared(now time.Time) []SurvivalReport {
	var reports []SurvivalReport
	for request, at := range c.survived {
		reports = append(reports, SurvivalReport{Request: request, Ago: now.Sub(at)})
	}
	slices.SortFunc(reports, func(a, b SurvivalReport) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return reports
}

// expire drops what has been told for long enough.
func (c *crashes) expire(now time.Time) {
	c.runs = slices.DeleteFunc(c.runs, func(r relay.CrashedRun) bool { return !now.Before(r.Ended.Add(crashesRepeatedFor)) })
	for request, at := range c.survived {
		if !now.Before(at.Add(crashesRepeatedFor)) {
			delete(c.survived, request)
		}
	}
}

// runsCrashed has the leader hear of runs that this entry VM saw crash.
func (n *Node) runsCrashed(e RunsCrashed) {
	for _, run := range e.Runs {
		n.entry.crashes.add(run)
	}
	n.renewSoon()
}

// requestSurvived has the leader hear that a request has run well.
func (n *Node) requestSurvived(e RequestSurvived) {
	n.entry.crashes.clear(e.Request, e.At)
	n.renewSoon()
}

// renewSoon has this entry VM renew its lease soon, for what goes with it.
func (n *Node) renewSoon() {
	t := &n.entry.tenure
	if t.renewAt.IsZero() {
		return // it has not begun to renew
	}
	last := t.renewAt.Add(-n.settings.Timing.RenewEvery)
	t.renewAt = earlier(t.renewAt, last.Add(crashRenewAfter))
}

// quarantineTaken tells the runtime what a lease has changed of the quarantine.
func (n *Node) quarantineTaken(before config.State) {
	held := n.entry.config.Quarantine.Items
	if maps.Equal(before.Quarantine.Items, held) {
		return
	}
	until := make(map[relay.Fingerprint]time.Time, len(held))
	for _, q := range held {
		if request, ok := fingerprintOf(q.Fingerprint); ok {
			until[request] = q.Until
			// What it was put there for is told no more: once let go, it would be put there again.
			n.entry.crashes.forget(request)
		}
	}
	n.emit(QuarantineInForce{Until: until})
}

// fingerprintOf reads a fingerprint as the configuration holds it.
func fingerprintOf(text string) (request relay.Fingerprint, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(request) {
		return request, false // not made by a leader
	}
	return relay.Fingerprint(raw), true
}

// crashesHeard takes reports that came with renewals: the leader gathers them, another
// control VM hands them on with its next batch.
func (n *Node) crashesHeard(reports []CrashReport, survived []SurvivalReport) {
	if !n.leads() {
		n.forwarding.crashes.take(reports, survived, n.now)
		return
	}
	for _, s := range survived {
		n.requestCleared(s.Request, n.now.Add(-s.Ago))
	}
	for _, r := range reports {
		n.crashHeard(relay.CrashedRun{Request: r.Request, Target: r.Target, Began: n.now.Add(-r.BeganAgo), Ended: n.now.Add(-r.EndedAgo)})
	}
}

// crashHeard has the leader take one report, and puts the request into quarantine if it has
// ended too many targets.
func (n *Node) crashHeard(run relay.CrashedRun) {
	l := &n.leading
	name := run.Request.String()
	if n.machine.Config.Quarantine.Has(name) || l.quarantining[run.Request] {
		return
	}
	if !l.suspects.Take(run) {
		return
	}
	l.quarantining[run.Request] = true
	q := config.QuarantinedRequest{Fingerprint: name, FirstEnd: wall(l.suspects.FirstEnd(run.Request)), Since: wall(n.now), Until: wall(n.now.Add(quarantineFor))}
	l.suspects.Forget(run.Request)
	n.note("request has ended its targets one after the other: it is put into quarantine", name)
	n.propose(Entry{Changes: []config.Change{{Quarantine: &q}}})
}

// quarantineApplied notes that a request is in quarantine for all.
func (n *Node) quarantineApplied(q config.QuarantinedRequest) {
	if request, ok := fingerprintOf(q.Fingerprint); ok {
		delete(n.leading.quarantining, request)
	}
}

// requestCleared has the leader take that a request has run well.
func (n *Node) requestCleared(request relay.Fingerprint, at time.Time) {
	n.leading.suspects.Clear(request, at)
	name := request.String()
	q, held := n.machine.Config.Quarantine.Get(name)
	if !held || !wall(at).After(q.FirstEnd) {
		return // it is told for a while, also once the request ends targets after it
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
