package relay

import (
	"fmt"
	"slices"
)

// This file keeps what is known of the runs of one request.
//
// Problem: a request is sent more than once, also to the same target: after a try that failed, again on
// a new connection within one try, or by way of another VM. Each sending has an outcome of its own, and
// the answer to a later sending does not apply to an earlier one.
//
// Algorithm: each try is recorded with the strongest outcome of its sendings. A target that may have
// run the request is added to a set, from which nothing is removed. A target that was found to have
// ended stays in the set and is no longer counted toward the targets that a route allows.
//
// Invariants: once a target may have run a request, the request may have run; a target counts until its
// process is known to have ended, which neither a timeout nor a reset shows.

// Runs holds the targets that may have run a request. It is immutable; the zero value holds none.
type Runs struct {
	// targets are those that may have run it, each once, and ended those of them that have ended.
	targets, ended []TargetID
}

// With returns the runs after a target may have run the request, once more or for the first time.
func (r Runs) With(id TargetID) Runs {
	if !slices.Contains(r.targets, id) {
		r.targets = append(slices.Clone(r.targets), id)
	}
	r.ended = slices.DeleteFunc(slices.Clone(r.ended), func(other TargetID) bool { return other == id })
	return r
}

// WithEnded returns the runs after the process of a target was found to have ended.
func (r Runs) WithEnded(id TargetID) Runs {
	if slices.Contains(r.targets, id) && !slices.Contains(r.ended, id) {
		r.ended = append(slices.Clone(r.ended), id)
	}
	return r
}

// Any reports whether a target may have run the request.
func (r Runs) Any() bool { return len(r.targets) > 0 }

// Len returns the number of targets that may have run the request.
func (r Runs) Len() int { return len(r.targets) }

// Counted returns the targets that count toward those that a route allows.
func (r Runs) Counted() []TargetID {
	var counted []TargetID
	for _, id := range r.targets {
		if !slices.Contains(r.ended, id) {
			counted = append(counted, id)
		}
	}
	return counted
}

// String lists the targets, for the log.
func (r Runs) String() string {
	if len(r.ended) == 0 {
		return fmt.Sprint(r.targets)
	}
	return fmt.Sprintf("%v, of which %v have ended", r.targets, r.ended)
}

// Try is what is known of one try at a target, over all its sendings.
type Try struct {
	Target TargetID
	// Sent is set if any byte of the request was sent to the target.
	Sent bool
	// MayHaveRun is set unless each sending provably did not run.
	MayHaveRun bool
	// Ended is set if the target was found to have ended.
	Ended bool
	// RepeatExpired is set if the repeat that was taken expired before it was sent.
	RepeatExpired bool
}

// With returns the attempts after one more try.
func (a Attempts) With(t Try) Attempts {
	a.Tried++
	a.Reached, a.RepeatExpired = t.Sent, t.RepeatExpired
	if t.Sent {
		a.Sent++
	}
	if t.MayHaveRun {
		a.Ran = a.Ran.With(t.Target)
	}
	if t.Ended {
		a.Ran = a.Ran.WithEnded(t.Target)
	}
	return a
}
