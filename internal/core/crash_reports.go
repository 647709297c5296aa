package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has what a VM reports of crashed runs with its renewals; quarantine.go describes the
// problem.

const (
	// crashesRepeatedFor is how long an entry VM repeats a report: an election and one or two
	// lost renewals take less.
	crashesRepeatedFor = 10 * time.Second
	// maxCrashReports bounds the reports that a VM repeats; with their labels they take about 10 KB
	// of each renewal.
	maxCrashReports = 128
	// maxTrialRequests bounds the trials that a VM asks for with one renewal, and trialWantedFor is how
	// long it does after the runtime last asked: it asks again while a request waits.
	maxTrialRequests = 8
	trialWantedFor   = 200 * time.Millisecond
)

// CrashReport is a crashed run as sent to the leader. Clocks differ between VMs, so its times
// are ages at the time of sending.
type CrashReport struct {
	_           struct{}          `cbor:",toarray"`
	Fingerprint relay.Fingerprint `cbor:"request"`
	Target      relay.TargetKey   `cbor:"target"`
	BeganAgo    time.Duration     `cbor:"began_ago"`
	EndedAgo    time.Duration     `cbor:"ended_ago"`
}

// SurvivalReport is a run that went well, as sent to the leader.
type SurvivalReport struct {
	_           struct{}          `cbor:",toarray"`
	Fingerprint relay.Fingerprint `cbor:"request"`
	Ago         time.Duration     `cbor:"ago"`
}

// FingerprintLabel says what a reported fingerprint is of.
type FingerprintLabel struct {
	_           struct{}          `cbor:",toarray"`
	Fingerprint relay.Fingerprint `cbor:"fingerprint"`
	Label       string            `cbor:"label"`
}

// UnusedTrial is a trial that an entry VM returns.
type UnusedTrial struct {
	_           struct{}          `cbor:",toarray"`
	Fingerprint relay.Fingerprint `cbor:"fingerprint"`
	// At is when the leader permitted it, as the configuration has it.
	At time.Time `cbor:"at"`
}

// HolderTrials are the trials that an entry VM asks for, each by the fingerprints of a request, and
// those that it returns.
type HolderTrials struct {
	From   ReplicaID             `cbor:"from"`
	Trials [][]relay.Fingerprint `cbor:"trials,omitempty"`
	Unused []UnusedTrial         `cbor:"unused,omitempty"`
}

// crashes holds the crashed runs that a VM reports to the leader.
type crashes struct {
	runs []relay.CrashedRun
	// survived holds the fingerprints that have run well, and when.
	survived map[relay.Fingerprint]time.Time
	// trials are those that this VM asks for, and unused those that it returns.
	trials []trialRequest
	unused []relay.FingerprintRun
}

// trialRequest is a trial that an entry VM asks for until its deadline.
type trialRequest struct {
	fingerprints []relay.Fingerprint
	until        time.Time
}

// reports returns the runs as sent at the given time.
func (c *crashes) reports(now time.Time) []CrashReport {
	var reports []CrashReport
	for _, r := range c.runs {
		reports = append(reports, CrashReport{Fingerprint: r.Fingerprint, Target: r.Target, BeganAgo: now.Sub(r.Began), EndedAgo: now.Sub(r.Ended)})
	}
	return reports
}

// labels returns the labels of the fingerprints that are reported.
func (c *crashes) labels() []FingerprintLabel {
	var labels []FingerprintLabel
	for _, r := range c.runs {
		label := FingerprintLabel{Fingerprint: r.Fingerprint, Label: r.Label}
		if r.Label != "" && !slices.Contains(labels, label) {
			labels = append(labels, label)
		}
	}
	return labels
}

// wanted returns the trials that are asked for.
func (c *crashes) wanted() [][]relay.Fingerprint {
	var trials [][]relay.Fingerprint
	for _, t := range c.trials {
		trials = append(trials, t.fingerprints)
	}
	return trials
}

// returned returns the trials that are returned.
func (c *crashes) returned() []UnusedTrial {
	var trials []UnusedTrial
	for _, t := range c.unused {
		trials = append(trials, UnusedTrial{Fingerprint: t.Fingerprint, At: t.At})
	}
	return trials
}

// crashNews is what a VM reports of crashed runs.
type crashNews struct {
	crashed  []CrashReport
	survived []SurvivalReport
	labels   []FingerprintLabel
}

// runs returns the crashed runs by the clock of the receiver.
func (c crashNews) runs(now time.Time) []relay.CrashedRun {
	labels := make(map[relay.Fingerprint]string, len(c.labels))
	for _, l := range c.labels {
		labels[l.Fingerprint] = l.Label
	}
	var runs []relay.CrashedRun
	for _, r := range c.crashed {
		runs = append(runs, relay.CrashedRun{Fingerprint: r.Fingerprint, Label: labels[r.Fingerprint], Target: r.Target, Began: now.Add(-r.BeganAgo), Ended: now.Add(-r.EndedAgo)})
	}
	return runs
}

// merge adds the reports of another VM.
func (c *crashes) merge(news crashNews, now time.Time) {
	for _, r := range news.runs(now) {
		c.add(r)
	}
	for _, s := range news.survived {
		c.clear(s.Fingerprint, now.Add(-s.Ago))
	}
}

// add records a run and replaces an earlier report of it.
func (c *crashes) add(run relay.CrashedRun) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Fingerprint == run.Fingerprint && o.Target == run.Target })
	c.runs = append(c.runs, run)
	c.runs = c.runs[max(0, len(c.runs)-maxCrashReports):]
}

// forget drops the runs with a fingerprint.
func (c *crashes) forget(f relay.Fingerprint) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Fingerprint == f })
}

// clear records that a request with a fingerprint ran well at the given time.
func (c *crashes) clear(f relay.Fingerprint, at time.Time) {
	c.runs = slices.DeleteFunc(c.runs, func(o relay.CrashedRun) bool { return o.Fingerprint == f && !o.Ended.After(at) })
	if c.survived == nil {
		c.survived = make(map[relay.Fingerprint]time.Time)
	}
	if _, known := c.survived[f]; (known || len(c.survived) < maxCrashReports) && at.After(c.survived[f]) {
		c.survived[f] = at
	}
}

// survivals returns the fingerprints that have run well, sorted.
func (c *crashes) survivals(now time.Time) []SurvivalReport {
	var reports []SurvivalReport
	for f, at := range c.survived {
		reports = append(reports, SurvivalReport{Fingerprint: f, Ago: now.Sub(at)})
	}
	slices.SortFunc(reports, func(a, b SurvivalReport) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return reports
}

// want records that a trial is asked for.
func (c *crashes) want(fingerprints []relay.Fingerprint, now time.Time) {
	c.trials = slices.DeleteFunc(c.trials, func(t trialRequest) bool { return slices.Equal(t.fingerprints, fingerprints) })
	if len(c.trials) < maxTrialRequests {
		c.trials = append(c.trials, trialRequest{fingerprints: fingerprints, until: now.Add(trialWantedFor)})
	}
}

// expire drops the reports that have been repeated for crashesRepeatedFor, and the trials whose
// requests no longer wait.
func (c *crashes) expire(now time.Time) {
	c.runs = slices.DeleteFunc(c.runs, func(r relay.CrashedRun) bool { return !now.Before(r.Ended.Add(crashesRepeatedFor)) })
	maps.DeleteFunc(c.survived, func(_ relay.Fingerprint, at time.Time) bool { return !now.Before(at.Add(crashesRepeatedFor)) })
	c.trials = slices.DeleteFunc(c.trials, func(t trialRequest) bool { return !now.Before(t.until) })
}
