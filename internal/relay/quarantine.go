package relay

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file is the part of one VM in the quarantine: which requests it may send, and what it has
// seen of fingerprints. suspects.go describes the problem, config/quarantine.go the trials.

const (
	// ranWellTTL is how long a fingerprint is known to have run well: parts come again within
	// minutes. It is shorter where more than maxRanWell others arrive meanwhile; these take
	// some 1 MB.
	ranWellTTL = 10 * time.Minute
	maxRanWell = 8192
	// reportedTTL is how long a fingerprint that was reported is remembered, and maxReported bounds
	// them.
	reportedTTL = time.Minute
	maxReported = 1024
	// trialWantedInterval is the minimum time between two requests for a trial of one fingerprint.
	trialWantedInterval = 100 * time.Millisecond
)

// Hold is an item of the quarantine, as it concerns one VM.
type Hold struct {
	config.QuarantineItem
	// OwnTrial is set if the newest trial of the item was permitted to this VM.
	OwnTrial bool
}

// ownTrialAt returns when the newest trial was permitted, if that was to this VM.
func (h Hold) ownTrialAt() (at time.Time, own bool) {
	last, tried := h.LastTrial()
	return last.At, tried && h.OwnTrial
}

// Admission says whether a request may be sent to a target.
type Admission int

// The admissions.
const (
	// Admitted: nothing of the request is in quarantine.
	Admitted Admission = iota
	// AdmittedAsTrial: it may be sent once.
	AdmittedAsTrial
	// AwaitsTrial: it may be sent if this VM is permitted a trial.
	AwaitsTrial
	// NotAdmitted: it is sent to no target.
	NotAdmitted
)

// Quarantine is what a VM knows of requests that crash targets. Use NewQuarantine.
type Quarantine struct {
	held map[Fingerprint]Hold
	// used holds the trials that this VM has used, by when they were permitted.
	used map[Fingerprint]time.Time
	// wantedAt is when a trial was last asked for.
	wantedAt RecentMap[Fingerprint, time.Time]
	// ranWell is when a target last ran a request with a fingerprint well. reported is set for those
	// of crashed runs of which the leader has to learn that they run well.
	ranWell  RecentMap[Fingerprint, time.Time]
	reported RecentMap[Fingerprint, bool]
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() Quarantine {
	return Quarantine{
		used:     make(map[Fingerprint]time.Time),
		wantedAt: NewRecentMap[Fingerprint, time.Time](maxReported, reportedTTL),
		ranWell:  NewRecentMap[Fingerprint, time.Time](maxRanWell, ranWellTTL),
		reported: NewRecentMap[Fingerprint, bool](maxReported, reportedTTL),
	}
}

// SetHeld replaces the items in quarantine.
func (q *Quarantine) SetHeld(held map[Fingerprint]Hold) {
	q.held = held
	for f := range q.used {
		if _, ok := held[f]; !ok {
			delete(q.used, f)
		}
	}
}

// Len returns the number of items in quarantine.
func (q *Quarantine) Len() int { return len(q.held) }

// Held returns those of some fingerprints that are in quarantine.
func (q *Quarantine) Held(fingerprints []Fingerprint, now time.Time) []Fingerprint {
	var held []Fingerprint
	for _, f := range fingerprints {
		if h, ok := q.held[f]; ok && now.Before(h.Until) {
			held = append(held, f)
		}
	}
	return held
}

// Admit reports whether a request with some fingerprints may be sent.
func (q *Quarantine) Admit(fingerprints []Fingerprint, now time.Time) Admission {
	held := q.Held(fingerprints, now)
	if len(held) == 0 {
		return Admitted
	}
	// One trial has to be of all that the request has.
	trialAt, _ := q.held[held[0]].ownTrialAt()
	permitted, possible := true, true
	for _, f := range held {
		h := q.held[f]
		at, own := h.ownTrialAt()
		permitted = permitted && own && at.Equal(trialAt) && h.IsTried(now) && !q.used[f].Equal(at)
		possible = possible && (h.IsTried(now) || h.MayTry(len(held), now))
	}
	switch {
	case permitted:
		return AdmittedAsTrial
	case possible:
		return AwaitsTrial
	}
	return NotAdmitted
}

// Use uses the trial that admits a request with some fingerprints. It returns false if the request
// may not be sent now.
func (q *Quarantine) Use(fingerprints []Fingerprint, now time.Time) bool {
	switch q.Admit(fingerprints, now) {
	case Admitted:
		return true
	case AdmittedAsTrial:
		for _, f := range q.Held(fingerprints, now) {
			q.used[f], _ = q.held[f].ownTrialAt()
		}
		return true
	}
	return false
}

// Unused returns, sorted, the items whose trials this VM has not used in time, with when each was
// permitted.
func (q *Quarantine) Unused(now time.Time) []FingerprintRun {
	var unused []FingerprintRun
	for f, h := range q.held {
		if at, own := h.ownTrialAt(); own && !h.IsTried(now) && !q.used[f].Equal(at) {
			unused = append(unused, FingerprintRun{Fingerprint: f, At: at})
		}
	}
	slices.SortFunc(unused, func(a, b FingerprintRun) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return unused
}

// WantTrial reports whether a trial of a request with some held fingerprints should be asked for
// now.
func (q *Quarantine) WantTrial(held []Fingerprint, now time.Time) bool {
	if len(held) == 0 {
		return false
	}
	if at, ok := q.wantedAt.Get(held[0], now); ok && now.Before(at.Add(trialWantedInterval)) {
		return false
	}
	q.wantedAt.Set(held[0], now, now)
	return true
}

// FingerprintRun is a run that went well of a request with a fingerprint.
type FingerprintRun struct {
	Fingerprint Fingerprint
	At          time.Time
}

// RecordCrashed records crashed runs, and returns those that are to be reported, without
// duplicates, and what is known of runs of their fingerprints that went well. Fingerprints that have not
// run well recently come last.
func (q *Quarantine) RecordCrashed(runs []CrashedRun, now time.Time) (crashed []CrashedRun, ranWell []FingerprintRun) {
	var suspicious []CrashedRun
	for _, r := range runs {
		same := func(o CrashedRun) bool { return o.Fingerprint == r.Fingerprint && o.Target == r.Target }
		if slices.ContainsFunc(crashed, same) || slices.ContainsFunc(suspicious, same) {
			continue
		}
		q.reported.Set(r.Fingerprint, true, now)
		at, known := q.ranWell.Get(r.Fingerprint, now)
		if !known {
			suspicious = append(suspicious, r)
			continue
		}
		crashed = append(crashed, r)
		ranWell = append(ranWell, FingerprintRun{Fingerprint: r.Fingerprint, At: at})
	}
	return append(crashed, suspicious...), ranWell
}

// RecordRanWell records that a target has run a request with some fingerprints well, and returns
// those that the leader suspects, as far as this VM knows.
func (q *Quarantine) RecordRanWell(fingerprints []Fingerprint, at, now time.Time) []FingerprintRun {
	var suspected []FingerprintRun
	for _, f := range fingerprints {
		before, known := q.ranWell.Get(f, now)
		if known && !at.After(before) {
			continue
		}
		q.ranWell.Set(f, at, now)
		_, held := q.held[f]
		if reported, _ := q.reported.Get(f, now); held || reported {
			q.reported.Set(f, false, now)
			suspected = append(suspected, FingerprintRun{Fingerprint: f, At: at})
		}
	}
	return suspected
}
