package config

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file defines the quarantine: what requests may have in common, all of them or a part of
// their prompts, that has crashed the targets that ran it. relay/suspects.go decides what that is.
//
// Problem: several fingerprints are blamed for the same losses, and some of them wrongly. Whether one
// is to blame can only be learned by sending a request that has it, which crashes another target if
// it is. If all VMs try, a target is lost for each.
//
// Algorithm: a trial permits one VM to send one request to one target. It covers all items that the
// request has, so that each item counts each of its trials. A target that runs the request well
// releases them all. If it does not, the next trial is of a request that has fewer of the items, or
// comes after a wait that grows with each trial. A trial that its VM returns unused counts no longer;
// one without a report, or whose target ended under another item as well, counts, but the next one
// need not wait.
//
// Invariants: requests with an item reach targets at most maxTrials times while it is in quarantine,
// through losses of messages and VMs, since a trial counts as soon as it is permitted; at most one of
// its trials is permitted at a time.
//
// Limits: a trial whose VM is lost counts, whether it was used or not. What is tried alone by a request
// whose target ends by itself waits for retrialDelay.

// QuarantineItem is a fingerprint of requests that are sent to no target, since requests with it have
// crashed several.
type QuarantineItem struct {
	// Fingerprint is the fingerprint, in hexadecimal.
	Fingerprint string `json:"fingerprint" cbor:"fingerprint"`
	// Label describes the part that it is the fingerprint of; empty for a whole request.
	Label string `json:"label,omitempty" cbor:"label,omitempty"`
	// Targets names some of the targets that crashed.
	Targets []string `json:"targets,omitempty" cbor:"targets,omitempty"`
	// FirstEnd is when the first of the targets crashed for which it is in quarantine. Since
	// is the beginning of the quarantine, and Until its end.
	FirstEnd time.Time `json:"first_end" cbor:"first_end"`
	Since    time.Time `json:"since" cbor:"since"`
	Until    time.Time `json:"until" cbor:"until"`
	// Trials are the trials since then, the newest last.
	Trials []Trial `json:"trials,omitempty" cbor:"trials,omitempty"`
}

// Trial permits one VM to send one request that has some items of the quarantine to one target.
type Trial struct {
	// Items is the number of items that the request has.
	Items int `json:"items" cbor:"items"`
	// Holder identifies the process that may send the request.
	Holder string `json:"holder" cbor:"holder"`
	// At is when the trial was permitted, and Until when its holder may no longer use it.
	At      time.Time    `json:"at" cbor:"at"`
	Until   time.Time    `json:"until" cbor:"until"`
	Outcome TrialOutcome `json:"outcome,omitempty" cbor:"outcome,omitempty"`
}

// TrialOutcome is the outcome of a trial that did not succeed. One that succeeds releases the item.
type TrialOutcome int

const (
	// TrialPending: it has not been reported yet.
	TrialPending TrialOutcome = iota
	// TrialFailed: its target ended.
	TrialFailed
	// TrialInconclusive: it is no evidence for or against the item.
	TrialInconclusive
	// TrialUnused: its VM has not used it. Such trials are not kept.
	TrialUnused
)

// TrialOfItems permits a trial of a request that has some items, by their fingerprints.
type TrialOfItems struct {
	Fingerprints []string `cbor:"fingerprints"`
	Trial        Trial    `cbor:"trial"`
}

// TrialEnd is the outcome of a trial of some items.
type TrialEnd struct {
	Fingerprints []string     `cbor:"fingerprints"`
	Holder       string       `cbor:"holder"`
	At           time.Time    `cbor:"at"`
	Outcome      TrialOutcome `cbor:"outcome"`
}

const (
	// maxQuarantined bounds the items in quarantine, which take some 300 KB on each VM and in
	// each snapshot. Each of them has crashed three targets.
	maxQuarantined = 1024
	// maxTrials bounds the trials of an item.
	maxTrials = 3
	// retrialDelay is the time between the first trial of an item and the next one of a request
	// with no fewer items. It grows by retrialFactor with each trial.
	retrialDelay  = 5 * time.Minute
	retrialFactor = 4
)

// ObjectName implements Named.
func (q QuarantineItem) ObjectName() string { return q.Fingerprint }

// Description describes the request or the part that the item is the fingerprint of.
func (q QuarantineItem) Description() string { return cmp.Or(q.Label, "request") }

// Equal reports whether two items are the same.
func (q QuarantineItem) Equal(o QuarantineItem) bool {
	return q.Fingerprint == o.Fingerprint && q.Since.Equal(o.Since) && q.Until.Equal(o.Until) && slices.EqualFunc(q.Trials, o.Trials, Trial.Equal)
}

// IsSame reports whether two items have the trial in common.
func (t Trial) IsSame(o Trial) bool { return t.Holder == o.Holder && t.At.Equal(o.At) }

// Equal reports whether two trials are equal in all that changes.
func (t Trial) Equal(o Trial) bool { return t.IsSame(o) && t.Outcome == o.Outcome }

// LastTrial returns the newest trial.
func (q QuarantineItem) LastTrial() (trial Trial, found bool) {
	if len(q.Trials) == 0 {
		return Trial{}, false
	}
	return q.Trials[len(q.Trials)-1], true
}

// IsTried reports whether a trial of the item may be in progress at a time.
func (q QuarantineItem) IsTried(now time.Time) bool {
	last, tried := q.LastTrial()
	return tried && last.Outcome == TrialPending && now.Before(last.Until)
}

// MayTry reports whether a request that has the item, among a number of items, may be tried at a
// time.
func (q QuarantineItem) MayTry(items int, now time.Time) bool {
	if len(q.Trials) >= maxTrials || q.IsTried(now) {
		return false
	}
	fewest, delay := math.MaxInt, retrialDelay/retrialFactor
	var at time.Time
	for _, t := range q.Trials {
		if t.Outcome == TrialInconclusive {
			continue
		}
		fewest, at = min(fewest, t.Items), t.At
		delay *= retrialFactor
	}
	return items < fewest || !now.Before(at.Add(delay))
}

// withTrial returns the item with another trial.
func (q QuarantineItem) withTrial(t Trial) QuarantineItem {
	q.Trials = append(slices.Clone(q.Trials), t)
	return q
}

// withTrialEnd returns the item after the end of a trial.
func (q QuarantineItem) withTrialEnd(e TrialEnd) QuarantineItem {
	i := slices.IndexFunc(q.Trials, func(t Trial) bool { return t.IsSame(Trial{Holder: e.Holder, At: e.At}) })
	if i < 0 {
		return q
	}
	q.Trials = slices.Clone(q.Trials)
	if e.Outcome == TrialUnused {
		q.Trials = slices.Delete(q.Trials, i, i+1)
		return q
	}
	q.Trials[i].Outcome = e.Outcome
	return q
}

// MayTry reports whether a request that has some items of the quarantine may be tried at a time.
func (s State) MayTry(fingerprints []string, now time.Time) bool {
	for _, f := range fingerprints {
		item, held := s.Quarantine.Get(f)
		if !held || !item.MayTry(len(fingerprints), now) {
			return false
		}
	}
	return len(fingerprints) > 0
}

// withTrial permits a trial, unless another one was permitted since it was proposed.
func (s State) withTrial(t TrialOfItems) State {
	if !s.MayTry(t.Fingerprints, t.Trial.At) {
		return s
	}
	t.Trial.Items = len(t.Fingerprints)
	for _, f := range t.Fingerprints {
		item, _ := s.Quarantine.Get(f)
		s.Quarantine = s.Quarantine.With(item.withTrial(t.Trial))
	}
	return s
}

// withTrialEnd ends a trial.
func (s State) withTrialEnd(e TrialEnd) State {
	for _, f := range e.Fingerprints {
		if item, held := s.Quarantine.Get(f); held {
			s.Quarantine = s.Quarantine.With(item.withTrialEnd(e))
		}
	}
	return s
}

// withQuarantine puts an item into quarantine. It removes the expired ones and, above
// maxQuarantined, the oldest.
func (s State) withQuarantine(q QuarantineItem) State {
	held := s.Quarantine
	for _, o := range held.Sorted() {
		if !q.Since.Before(o.Until) {
			held = held.Without(o.Fingerprint)
		}
	}
	held = held.With(q)
	if held.Len() > maxQuarantined {
		oldest := slices.MinFunc(held.Sorted(), func(a, b QuarantineItem) int {
			return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
		held = held.Without(oldest.Fingerprint)
	}
	s.Quarantine = held
	return s
}
