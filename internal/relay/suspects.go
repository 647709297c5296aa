package relay

import (
	"slices"
	"time"
)

// This file finds the requests that crash the targets that run them.
//
// Problem: a request may crash each target that begins it, and its caller sends it again, under
// another id and to any VM. An engine is unavailable for seconds while it loads its layers again,
// so that a few such requests a second bring down a whole fleet. But targets also crash by
// themselves, racks and halls fail, and dozens of innocent requests are in flight at each of
// them.
//
// Algorithm: a VM reports each run without any output before its target ended, as far as it can
// determine that the target has: see daemon/endings.go. A run with output is not counted, since a
// request that crashes its target does so as it begins. The leader gathers the reports of all VMs
// by fingerprint. Runs that overlap in time are one loss: copies of one request that run on all
// engines of a rack end together when the rack fails, which is no more evidence against it
// than the end of one of them. A request with QuarantineCrashes losses, one after the other, or
// with two losses of quarantineTargets targets in all, and no answer anywhere between, is put into
// quarantine, which is replicated with the configuration: a VM accepts no work without a lease,
// and a lease brings it to the newest revision. A complete answer anywhere clears the request.
//
// Invariants: the result does not depend on the order in which reports arrive, nor on how often;
// memory is bounded whatever callers send.
//
// Limits: reports are lost with the leader once their VMs no longer repeat them; a request then has
// to crash as many targets again. A request whose copies always come five at a time reaches targets
// with five more of them. If a hall fails bit by bit while copies of a request are sent on within
// it, the request may be blamed; an operator releases it, or its quarantine ends by time. A target
// that does not report its start counts as one target, however often it ends: reports of one run
// are repeated with varying delays, and cannot be told from reports of another end. A request that
// falls silent with its target, or that crashes it in mid-answer, is never suspected: it cannot be
// distinguished from a loss of power, or from the others in mid-answer beside it.

const (
	// QuarantineCrashes is the number of targets, one after the other, that a request has to crash
	// to be put into quarantine. Each costs an engine for some 5 s; two in a row happen by chance to
	// innocent requests when several targets a second are lost.
	QuarantineCrashes = 3
	// quarantineTargets is the number of targets that have to be lost in two losses in a row: two
	// losses of a single target each are chance, and a rack fails under the same copies once.
	quarantineTargets = 4
	// reportSkew is how much the delays of the reports of two VMs to the leader may differ: a run
	// that began less than that after the end of another one counts as overlapping it. Without it the
	// failure of a rack under short copies of a request would blame them.
	reportSkew = 100 * time.Millisecond
	// maxSuspects bounds the requests that are suspected, and maxRunsPerSuspect the runs that are
	// kept of each: some 400 bytes for each, 0.4 MB in all.
	maxSuspects       = 1024
	maxRunsPerSuspect = 8
	// suspectTTL is how long after its last run a request is suspected.
	suspectTTL = time.Hour
)

// CrashedRun is a run of a request without any output before its target ended. Its times are by
// the clock of the VM that holds it.
type CrashedRun struct {
	Request      Fingerprint
	Target       TargetKey
	Began, Ended time.Time
}

// suspect is what is known of one request.
type suspect struct {
	// runs are the oldest and the newest crashed ones, by their ends.
	runs []CrashedRun
	// succeededAt is when a target last ran it successfully, zero for never.
	succeededAt time.Time
}

// lastSeen returns the end of the newest run of the request.
func (s suspect) lastSeen() time.Time {
	last := s.succeededAt
	if len(s.runs) > 0 && s.runs[len(s.runs)-1].Ended.After(last) {
		last = s.runs[len(s.runs)-1].Ended
	}
	return last
}

// Suspects are the requests whose runs have crashed targets. Use NewSuspects.
type Suspects struct{ known map[Fingerprint]suspect }

// NewSuspects returns Suspects without any.
func NewSuspects() Suspects { return Suspects{known: make(map[Fingerprint]suspect)} }

// Record records a run, and reports whether its request is to be put into quarantine.
func (s *Suspects) Record(run CrashedRun) bool {
	known := s.get(run.Request, run.Ended)
	if !run.Ended.After(known.succeededAt) || slices.ContainsFunc(known.runs, func(o CrashedRun) bool { return o.Target == run.Target }) {
		return known.crashesTargets()
	}
	runs := append(slices.Clip(known.runs), run)
	slices.SortFunc(runs, func(a, b CrashedRun) int { return a.Ended.Compare(b.Ended) })
	if len(runs) > maxRunsPerSuspect {
		// The oldest runs are kept beside the newest: a burst of ends is one loss, and earlier ends
		// may be another.
		runs = slices.Delete(runs, maxRunsPerSuspect/2, maxRunsPerSuspect/2+1)
	}
	known.runs = runs
	s.known[run.Request] = known
	return known.crashesTargets()
}

// get returns what is known of a request, and makes room for one that is not known yet.
func (s *Suspects) get(request Fingerprint, now time.Time) suspect {
	known, ok := s.known[request]
	if !ok && len(s.known) >= maxSuspects {
		s.forget(now)
	}
	return known
}

// crashesTargets reports whether the runs show that the request crashes the targets that run it.
func (s suspect) crashesTargets() bool {
	losses := sequentialLosses(s.runs)
	return losses >= QuarantineCrashes || losses > 1 && len(s.runs) >= quarantineTargets
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

// Clear records that a target has run a request successfully at a time: what ended before no
// longer counts, whether its report arrived already or comes later.
func (s *Suspects) Clear(request Fingerprint, at time.Time) {
	known := s.get(request, at)
	if at.After(known.succeededAt) {
		known.succeededAt = at
	}
	known.runs = slices.DeleteFunc(slices.Clone(known.runs), func(r CrashedRun) bool { return !r.Ended.After(known.succeededAt) })
	s.known[request] = known
}

// FirstEnd returns when the first of the crashed runs that are kept of a request ended.
func (s *Suspects) FirstEnd(request Fingerprint) time.Time {
	if runs := s.known[request].runs; len(runs) > 0 {
		return runs[0].Ended
	}
	return time.Time{}
}

// Forget removes what is known of a request.
func (s *Suspects) Forget(request Fingerprint) { delete(s.known, request) }

// Len returns the number of requests that something is known of.
func (s *Suspects) Len() int { return len(s.known) }

// forget removes the requests that are no longer suspected, and, if there is still no room, the
// one whose last run is the oldest.
func (s *Suspects) forget(now time.Time) {
	var oldest Fingerprint
	var oldestEnd time.Time
	for request, known := range s.known {
		last := known.lastSeen()
		if !now.Before(last.Add(suspectTTL)) {
			delete(s.known, request)
			continue
		}
		if oldestEnd.IsZero() || last.Before(oldestEnd) {
			oldest, oldestEnd = request, last
		}
	}
	if len(s.known) >= maxSuspects {
		delete(s.known, oldest)
	}
}
