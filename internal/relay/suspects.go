package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file finds the requests that crash the targets that run them, and the parts of prompts that
// do so in whatever request they are.
//
// Problem: a request may crash each target that begins it, and its caller sends it again, under
// another id and to any VM. So may all requests with one part of a prompt, of which no two are
// alike. An engine is unavailable for seconds while it loads its layers again, so that a few such
// requests a second bring down a whole fleet. But targets also crash by themselves, racks and halls
// fail, and dozens of innocent requests, with parts that many share, start at each of them.
//
// Algorithm: a request has several fingerprints: that of itself and those of the parts that it may
// share with others. A VM reports each of them for each run without output before its target ended,
// as far as it can determine that the target has: see daemon/endings.go and daemon/given_up.go. The
// leader gathers the reports of all VMs by fingerprint. Runs that overlap in time are one loss. A
// fingerprint is due for quarantine after QuarantineCrashes losses, after two losses of
// quarantineTargets targets, or after any losses of burstTargets, without a run that went well since.
// A whole request that has never run well is due after QuarantineCrashes targets in any losses: its
// copies may come at once, and crash all targets of a service in one loss.
//
// What is due by the last rule alone, and fingerprints that have run well before, are decided
// decisionDelay later, since what clears them may be on its way. The latter are decided only for losses
// without a fingerprint that has not run well, and is in quarantine or goes there: a part that many
// requests share starts beside the one to blame at each of its losses. Where all have run well before,
// all are put into quarantine, and trials tell them apart.
//
// Quarantine is replicated with the configuration: a VM accepts no work without a lease, and a lease
// brings it to the newest revision. Whoever is blamed wrongly is released by one trial;
// config/quarantine.go has its rule.
//
// Invariants: the result does not depend on the order in which reports arrive, nor on how often;
// memory is bounded whatever callers send.
//
// Limits: reports are lost with the leader once their VMs no longer repeat them; a fingerprint then
// has to crash as many targets again. A target that does not report its start counts as one target,
// however often it ends: reports of one run are repeated with varying delays, and cannot be told from
// reports of another end. A request under which a target falls silent is suspected once another
// incarnation has replaced that target. One that crashes it in mid-answer never is: it cannot be
// distinguished from the others in mid-answer beside it. A part that crashes targets under one model only is found while
// it does not run well under another.

const (
	// QuarantineCrashes is the number of targets that requests with a fingerprint have to crash: one
	// after the other, unless the fingerprint is that of a whole request which has never run well.
	QuarantineCrashes = 3
	// quarantineTargets is the number of targets that have to be lost in two losses in a row: two
	// losses of a single target each are chance.
	quarantineTargets = 4
	// burstTargets is the number of targets that suffices however close together they are lost, for
	// fingerprints of parts and of requests that have run well: many requests share these, and start
	// together at the targets of a rack or a hall.
	burstTargets = 5
	// reportSkew is how much the delays of the reports of two VMs to the leader may differ: a run
	// that began less than that after the end of another one counts as overlapping it.
	reportSkew = 100 * time.Millisecond
	// decisionDelay is the time for reports of runs that went well to arrive.
	decisionDelay = 300 * time.Millisecond
	// maxSuspects bounds the fingerprints that are suspected, and maxRunsPerSuspect the runs that
	// are kept of each: up to 3 KB for each, 3 MB in all.
	maxSuspects       = 1024
	maxRunsPerSuspect = 32
	// suspectTTL is how long after its last run a fingerprint is suspected.
	suspectTTL = time.Hour
)

// CrashedRun is a run without any output before its target ended, of a request that has a
// fingerprint. Its times are by the clock of the VM that holds it.
type CrashedRun struct {
	Fingerprint Fingerprint
	// Label describes what the fingerprint is of, empty for a whole request.
	Label        string
	Target       TargetKey
	Began, Ended time.Time
}

// suspect is what is known of one fingerprint.
type suspect struct {
	label string
	// runs are the oldest and the newest crashed ones, by their ends.
	runs []CrashedRun
	// countedFrom is the time up to which ended runs do not count, and ranWell is set if a target
	// has run a request with it successfully.
	countedFrom time.Time
	ranWell     bool
	// dueAt is when it first became due for quarantine, zero while it is not.
	dueAt time.Time
}

// lastSeen returns the end of the newest run.
func (s suspect) lastSeen() time.Time {
	last := s.countedFrom
	if len(s.runs) > 0 && s.runs[len(s.runs)-1].Ended.After(last) {
		last = s.runs[len(s.runs)-1].Ended
	}
	return last
}

// Suspects are the fingerprints of runs that have crashed targets. Use NewSuspects.
type Suspects struct{ known map[Fingerprint]suspect }

// NewSuspects returns Suspects without any.
func NewSuspects() Suspects { return Suspects{known: make(map[Fingerprint]suspect)} }

// Record records a run.
func (s *Suspects) Record(run CrashedRun, now time.Time) {
	known := s.get(run.Fingerprint, run.Ended)
	if !run.Ended.After(known.countedFrom) || slices.ContainsFunc(known.runs, func(o CrashedRun) bool { return o.Target == run.Target }) {
		return
	}
	runs := append(slices.Clip(known.runs), run)
	slices.SortFunc(runs, func(a, b CrashedRun) int { return a.Ended.Compare(b.Ended) })
	if len(runs) > maxRunsPerSuspect {
		// The oldest runs are kept beside the newest: a burst of ends is one loss, and earlier ends
		// may be another.
		runs = slices.Delete(runs, maxRunsPerSuspect/2, maxRunsPerSuspect/2+1)
	}
	known.runs = runs
	known.label = cmp.Or(known.label, run.Label)
	if known.dueAt.IsZero() && known.crashes(runs) {
		known.dueAt = now
	}
	s.known[run.Fingerprint] = known
}

// get returns what is known of a fingerprint, and makes room for one that is not known yet.
func (s *Suspects) get(f Fingerprint, now time.Time) suspect {
	known, ok := s.known[f]
	if !ok && len(s.known) >= maxSuspects {
		s.forget(now)
	}
	return known
}

// Decide returns, sorted, the fingerprints that are to be put into quarantine now, given those that
// are in it.
func (s *Suspects) Decide(now time.Time, held func(Fingerprint) bool) []Fingerprint {
	var decided, ranWell []Fingerprint
	for f, known := range s.known {
		switch {
		case known.dueAt.IsZero() || held(f):
		case !known.ranWell && isConclusive(known.runs):
			decided = append(decided, f)
		case now.Before(known.dueAt.Add(decisionDelay)):
		case !known.ranWell:
			decided = append(decided, f)
		default:
			ranWell = append(ranWell, f)
		}
	}
	if len(ranWell) > 0 {
		explained := s.explained(held)
		for _, f := range ranWell {
			runs := slices.DeleteFunc(slices.Clone(s.known[f].runs), func(r CrashedRun) bool { return explained[r.Target] })
			if s.known[f].crashes(runs) {
				decided = append(decided, f)
			}
		}
	}
	slices.SortFunc(decided, Fingerprint.Compare)
	return decided
}

// explained returns the targets that crashed under fingerprints which never ran well, and are in
// quarantine or due for it. A whole request explains them by conclusive evidence only: copies of it may
// crash three targets because of a part that others share.
func (s *Suspects) explained(held func(Fingerprint) bool) map[TargetKey]bool {
	targets := make(map[TargetKey]bool)
	for f, known := range s.known {
		due := !known.dueAt.IsZero() || held(f)
		if known.ranWell || !due || known.label == "" && !isConclusive(known.runs) {
			continue
		}
		for _, r := range known.runs {
			targets[r.Target] = true
		}
	}
	return targets
}

// crashes reports whether some runs of the suspect, sorted by their ends, show that it crashes the
// targets that run it.
func (s suspect) crashes(runs []CrashedRun) bool {
	first := !s.ranWell && s.label == ""
	return isConclusive(runs) || first && len(runs) >= QuarantineCrashes
}

// isConclusive reports whether runs, sorted by their ends, show that whatever they have in common
// crashes the targets that run it.
func isConclusive(runs []CrashedRun) bool {
	losses := sequentialLosses(runs)
	return losses >= QuarantineCrashes || losses > 1 && len(runs) >= quarantineTargets || len(runs) >= burstTargets
}

// sequentialLosses returns the greatest number of runs, sorted by their ends, of which each began
// after the end of the one before.
func sequentialLosses(runs []CrashedRun) int {
	count := 0
	var ended time.Time
	for _, r := range runs {
		if count > 0 && !r.Began.After(ended.Add(reportSkew)) {
			continue
		}
		count++
		ended = r.Ended
	}
	return count
}

// Clear records that a target has run a request with a fingerprint successfully at a time: what
// ended before no longer counts, whether its report arrived already or comes later.
func (s *Suspects) Clear(f Fingerprint, at time.Time) {
	known := s.get(f, at)
	known.ranWell = true
	s.known[f] = known.countedAfter(at)
}

// Release records that a fingerprint has left quarantine at a time: what ended before no longer
// counts.
func (s *Suspects) Release(f Fingerprint, at time.Time) {
	if known, ok := s.known[f]; ok {
		s.known[f] = known.countedAfter(at)
	}
}

// countedAfter returns the suspect without what ended up to a time.
func (s suspect) countedAfter(at time.Time) suspect {
	if at.After(s.countedFrom) {
		s.countedFrom = at
	}
	s.runs = slices.DeleteFunc(slices.Clone(s.runs), func(r CrashedRun) bool { return !r.Ended.After(s.countedFrom) })
	if !s.crashes(s.runs) {
		s.dueAt = time.Time{}
	}
	return s
}

// Evidence is what a fingerprint is blamed for.
type Evidence struct {
	Label string
	// FirstEnd is when the first of the targets ended.
	FirstEnd time.Time
	Targets  []TargetKey
}

// Evidence returns the crashed runs that are kept of a fingerprint.
func (s *Suspects) Evidence(f Fingerprint) Evidence {
	known := s.known[f]
	e := Evidence{Label: known.label}
	for i, r := range known.runs {
		if i == 0 {
			e.FirstEnd = r.Ended
		}
		e.Targets = append(e.Targets, r.Target)
	}
	return e
}

// EndedWith reports whether a target ended under a run of a fingerprint that began after a time, and
// returns the other fingerprints that were starting there.
func (s *Suspects) EndedWith(f Fingerprint, after time.Time) (ended bool, others []Fingerprint) {
	for _, run := range s.known[f].runs {
		if run.Began.Before(after) {
			continue
		}
		ended = true
		for other, known := range s.known {
			if other != f && slices.ContainsFunc(known.runs, func(r CrashedRun) bool { return r.Target == run.Target }) {
				others = append(others, other)
			}
		}
	}
	slices.SortFunc(others, Fingerprint.Compare)
	return ended, others
}

// MayExplain reports whether a fingerprint that isn't due for quarantine may be to blame for a loss: it
// was starting at another one, and has never run well.
func (s *Suspects) MayExplain(f Fingerprint) bool {
	known := s.known[f]
	return len(known.runs) > 1 && !known.ranWell
}

// Crashes returns the number of targets that have crashed under a fingerprint, and of losses one after
// the other that they make.
func (s *Suspects) Crashes(f Fingerprint) (targets, losses int) {
	runs := s.known[f].runs
	return len(runs), sequentialLosses(runs)
}

// Len returns the number of fingerprints that something is known of.
func (s *Suspects) Len() int { return len(s.known) }

// forget removes the fingerprints that are no longer suspected, and, if there is still no room, the
// one with the fewest runs, of these the one that was seen last the longest ago.
func (s *Suspects) forget(now time.Time) {
	maps.DeleteFunc(s.known, func(_ Fingerprint, known suspect) bool { return !now.Before(known.lastSeen().Add(suspectTTL)) })
	if len(s.known) < maxSuspects {
		return
	}
	var least Fingerprint
	first := true
	for f, known := range s.known {
		if first || known.lessSuspect(s.known[least]) {
			least, first = f, false
		}
	}
	delete(s.known, least)
}

// lessSuspect reports whether there is less reason to keep a suspect than another one.
func (s suspect) lessSuspect(o suspect) bool {
	if len(s.runs) != len(o.runs) {
		return len(s.runs) < len(o.runs)
	}
	return s.lastSeen().Before(o.lastSeen())
}
