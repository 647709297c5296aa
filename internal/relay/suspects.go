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
// fingerprint. Runs that overlap in time count once: copies of one request that run on all
// engines of a rack end together when the rack falls, and that says no more of the request than
// the end of one of them. One that ends crashesMost targets one after the other, with no
// answer anywhere between, is put into quarantine, which is replicated with the configuration:
// a VM takes no work without a lease, and a lease brings it to the newest revision. A whole
// answer anywhere clears the request.
//
// Invariants: what counts does not depend on the order in which reports arrive, nor on how
// often; memory is bounded whatever callers send.
//
// Limits: reports are lost with the leader once their VMs no longer tell them; a request then
// has to end crashesMost targets anew. One whose copies always run together is found late.
// One that falls silent with its target, or that ends it in mid-answer, is never suspected:
// nothing tells it from a loss of power, or from the others in mid-answer beside it.

const (
	// CrashesMost is the number of targets, one after the other, that a request has to end to
	// be put into quarantine. Each costs an engine for some 5 s; two in a row happen by chance
	// to innocent requests when several targets a second are lost.
	CrashesMost = 3
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

// Suspects are the requests whose runs have ended targets. Use NewSuspects.
type Suspects struct {
	runs map[Fingerprint][]CrashedRun
}

// NewSuspects returns Suspects without any.
func NewSuspects() Suspects { return Suspects{runs: make(map[Fingerprint][]CrashedRun)} }

// Take takes a run, and reports how many targets the request has ended one after the other.
func (s *Suspects) Take(run CrashedRun) int {
	runs, known := s.runs[run.Request]
	if !known && len(s.runs) >= suspectsMost {
		s.forget(run.Ended)
	}
	if !slices.ContainsFunc(runs, func(o CrashedRun) bool { return o.Target == run.Target }) {
		runs = append(slices.Clip(runs), run)
		slices.SortFunc(runs, func(a, b CrashedRun) int { return a.Ended.Compare(b.Ended) })
		runs = runs[max(0, len(runs)-suspectRuns):]
		s.runs[run.Request] = runs
	}
	return oneAfterTheOther(runs)
}

// oneAfterTheOther returns the greatest number of runs, sorted by their ends, of which each
// began when the one before had ended.
func oneAfterTheOther(runs []CrashedRun) int {
	count := 0
	var ended time.Time
	for _, r := range runs {
		if count > 0 && !r.Began.After(ended) {
			continue
		}
		count++
		ended = r.Ended
	}
	return count
}

// Clear forgets a request: a target has run it to a whole answer.
func (s *Suspects) Clear(request Fingerprint) { delete(s.runs, request) }

// Len returns the number of requests that are suspected.
func (s *Suspects) Len() int { return len(s.runs) }

// forget drops the requests that are suspected no longer, and the one whose last run was the
// longest ago.
func (s *Suspects) forget(now time.Time) {
	var oldest Fingerprint
	var oldestEnd time.Time
	for request, runs := range s.runs {
		last := runs[len(runs)-1].Ended
		if !now.Before(last.Add(suspectKept)) {
			delete(s.runs, request)
			continue
		}
		if oldestEnd.IsZero() || last.Before(oldestEnd) {
			oldest, oldestEnd = request, last
		}
	}
	if len(s.runs) >= suspectsMost {
		delete(s.runs, oldest)
	}
}
