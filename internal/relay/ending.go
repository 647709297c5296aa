package relay

import "time"

// This file decides which requests a VM accepts, and sends on, while it stops.
//
// Problem: callers that have cached the VM's address still come for some seconds after a stop was
// requested, and what is in flight at its end is cut. An answer may take longer than the time
// that is left.
//
// Algorithm: a request whose answer is likely to outlast the VM is refused at once, before
// anything is sent, and its caller comes back to another VM. For a plain service the time that its answers
// usually take is observed. For a stream, the estimate of its length is the caller's own, which is right in
// the median. Shortly after a reload, which must cut nothing, the bound is one that 99 answers in 100 keep.

const (
	// estimateMargin is the multiple of a caller's estimate that 99 answers in 100 stay within
	// (docs/MEASURED.md).
	estimateMargin = 3
	// reloadProtection is how long after a reload a request must not be cut.
	reloadProtection = 2 * time.Second
)

// PlannedStop is the planned end of a VM. The zero value is none.
type PlannedStop struct {
	// At is when work in flight is cut.
	At time.Time
	// ReloadedAt is when the settings were last read again.
	ReloadedAt time.Time
}

// Planned reports whether there is one.
func (e PlannedStop) Planned() bool { return !e.At.IsZero() }

// WithReload returns the planned stop after a reload.
func (e PlannedStop) WithReload(at time.Time) PlannedStop {
	e.ReloadedAt = at
	return e
}

// WithEnd returns the planned stop of a VM that stops.
func (e PlannedStop) WithEnd(at time.Time) PlannedStop {
	e.At = at
	return e
}

// EstimatedTokens returns the length of an answer to plan with, by the caller's estimate and the
// bound on it; 0 if the caller gives none.
func (e PlannedStop) EstimatedTokens(lengthHint, maxTokens int, now time.Time) int {
	if now.Before(e.ReloadedAt.Add(reloadProtection)) {
		lengthHint *= estimateMargin
	}
	if maxTokens > 0 {
		return min(lengthHint, maxTokens)
	}
	return lengthHint
}

// Outlasts reports whether an answer that takes so long from now ends after the VM.
func (e PlannedStop) Outlasts(answer time.Duration, now time.Time) bool {
	return e.Planned() && now.Add(answer).After(e.At)
}
