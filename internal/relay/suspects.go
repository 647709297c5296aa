package relay

import (
	"slices"
	"time"
)

// This file says which requests end the targets that run them.
//
// Problem: a request may end each target that begins it, and its caller sends it again, under
// another id and at any VM. An engine is gone for seconds while it loads its layers again, so
// that a few such requests a second take a whole fleet away. But targets also end by
// themselves, racks and halls fall, and dozens of innocent requests are at each of them.
//
// Algorithm: a VM reports each run that brought nothing before its target ended, as far as it
// can tell that the target has: see daemon/endings.go. An answer that had begun speaks for its request,
// since what ends its target does so as it begins. The leader gathers the reports of all VMs by
// fingerprint. Runs that overlap in time are one loss: copies of one request that run on all
// engines of a rack end together when the rack falls, and that says no more of the request than
// the end of one of them. One that has brought about CrashesMost losses, one after the other, or
// two losses of crashedTogether targets in all, with no answer anywhere between, is put into
// quarantine, which is replicated with the configuration: a VM takes no work without a lease,
// and a lease brings it to the newest revision. A whole answer anywhere clears the request.
//
// Invariants: what counts does not depend on the order in which reports arrive, nor on how
// often; memory is bounded whatever callers send.
//
// Limits: reports are lost with the leader once their VMs no longer tell them; a request then
// has to end as many targets anew. Of one whose copies always come five at a time, five reach
// targets once more. A hall that falls piece by piece under copies that are sent on within it
// may blame them; an operator lets them go, or their time does.
// A target that does not tell its start is one target, however often it ends: reports of one run
// are repeated, and come with other delays each time.
// One that falls silent with its target, or that ends it in mid-answer, is never suspected:
// nothing tells it from a loss of power, or from the others in mid-answer beside it.

const (
	// CrashesMost is the number of targets, one after the other, that a request has to end to
	// be put into quarantine. Each costs an engine for some 5 s; two in a row happen by chance
	// to innocent requests when several targets a second are lost.
	CrashesMost = 3
	// crashedTogether is the number of targets that two losses in turn have to make up: two
	// single ones are chance, and a rack falls under the same copies once.
	crashedTogether = 4
	// reportSkew is how much the reports of two VMs may differ in their ways to the leader: a run
	// that began within it after another one had ended is taken to overlap it. Without it the fall
	// of a rack under look-alikes would blame them.
	reportSkew = 100 * time.Millisecond
	// suspectsMost bounds the requests that are suspected, and suspectRuns the runs that are
	// kept of each: some 400 bytes for each, 0.4 MB in all.
	suspectsMost = 1024
	suspectRuns  = 8
	// suspectKept is how long after its last run a request is suspected.
	suspectKept = time.Hour
)

// CrashedRun is a run of a request that brought nothing before its target ended. Its times are
// by the clock of whoever holds it.
type CrashedRun struct {
	Request      Fingerprint
	Target       TargetKey
	Began, Ended time.Time
}

// suspect is what is known of one request.
type suspect struct {
	// runs are the oldest and the newest crashed ones, by their ends.
	runs []CrashedRun
	// ranWellAt is when a target last ran it well, zero for never.
	ranWellAt time.Time
}

// lastAt returns when the request was last heard of.
func (s suspect) lastAt() time.Time {
	last := s.ranWellAt
	if len(s.runs) > 0 && s.runs[len(s.runs)-1].Ended.After(last) {
		last = s.runs[len(s.runs)-1].Ended
	}
	return last
}

// Suspects are the requests whose runs have ended targets. Use NewSuspects.
type Suspects struct{ known map[Fingerprint]suspect }

// NewSuspects returns Suspects without any.
func NewSuspects() Suspects { return Suspects{known: make(map[Fingerprint]suspect)} }

// Take takes a run, and reports whether its request is to be put into quarantine.
func (s *Suspects) Take(run CrashedRun) bool {
	known := s.get(run.Request, run.Ended)
	if !run.Ended.After(known.ranWellAt) || slices.ContainsFunc(known.runs, func(o CrashedRun) bool { return o.Target == run.Target }) {
		return known.endsTargets()
	}
	runs := append(slices.Clip(known.runs), run)
	slices.SortFunc(runs, func(a, b CrashedRun) int { return a.Ended.Compare(b.Ended) })
	if len(runs) > suspectRuns {
		// The oldest ones stay beside the newest: a storm of ends is one loss, what was before another.
		runs = slices.Delete(runs, suspectRuns/2, suspectRuns/2+1)
	}
	known.runs = runs
	s.known[run.Request] = known
	return known.endsTargets()
}

// get returns what is known of a request, and makes room for one that is not known yet.
func (s *Suspects) get(request Fingerprint, now time.Time) suspect {
	known, ok := s.known[request]
	if !ok && len(s.known) >= suspectsMost {
		s.forget(now)
	}
	return known
}

// endsTargets reports whether the runs say that the request ends the targets that run it.
func (s suspect) endsTargets() bool {
	losses := oneAfterTheOther(s.runs)
	return losses >= CrashesMost || losses > 1 && len(s.runs) >= crashedTogether
}

// oneAfterTheOther returns the greatest number of runs, sorted by their ends, of which each
// began when the one before had ended.
func oneAfterTheOther(runs []CrashedRun) int {
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

// Clear takes that a target has run a request well at a time: what ended before counts no
// more, whether it was heard of before or is after.
func (s *Suspects) Clear(request Fingerprint, at time.Time) {
	known := s.get(request, at)
	if at.After(known.ranWellAt) {
		known.ranWellAt = at
	}
	known.runs = slices.DeleteFunc(slices.Clone(known.runs), func(r CrashedRun) bool { return !r.Ended.After(known.ranWellAt) })
	s.known[request] = known
}

// FirstEnd returns when the first of the crashed runs that are kept of a request ended.
func (s *Suspects) FirstEnd(request Fingerprint) time.Time {
	if runs := s.known[request].runs; len(runs) > 0 {
		return runs[0].Ended
	}
	return time.Time{}
}

// Forget drops what is known of a request.
func (s *Suspects) Forget(request Fingerprint) { delete(s.known, request) }

// Len returns the number of requests that something is known of.
func (s *Suspects) Len() int { return len(s.known) }

// forget drops the requests that are suspected no longer, and the one whose last run was the
// longest ago.
func (s *Suspects) forget(now time.Time) {
	var oldest Fingerprint
	var oldestEnd time.Time
	for request, known := range s.known {
		last := known.lastAt()
		if !now.Before(last.Add(suspectKept)) {
			delete(s.known, request)
			continue
		}
		if oldestEnd.IsZero() || last.Before(oldestEnd) {
			oldest, oldestEnd = request, last
		}
	}
	if len(s.known) >= suspectsMost {
		delete(s.known, oldest)
	}
}
