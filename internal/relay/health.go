package relay

import (
	"slices"
	"time"
)

// This file says what a Router believes of a target's health, by what this VM's own
// requests met. docs/DESIGN.md has the order in which beliefs weigh.

const (
	// suspectFirst is how long a target is left alone after one failure; each
	// further one in a row doubles it up to suspectMost. A process that
	// crashed is back after some seconds.
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 4 * time.Second
	// failureWeight is the weight of the newest result in the moving mean: ten
	// results make up most of it.
	failureWeight = 0.15
)

const (
	// fullFirst is how long a target that refused a request gets no other; each
	// further refusal in a row doubles it up to fullMost. A place falls free every
	// few hundredths of a second.
	fullFirst = 100 * time.Millisecond
	fullMost  = 800 * time.Millisecond
)

// Refused notes that a target did not take a request: it is full, or its layers
// have changed. What it runs goes on, so that it is not suspect.
func (r *Router) Refused(id TargetID, now time.Time) {
	if t, ok := r.targets[id]; ok {
		t.fullness++
		if r.settings.Policy.Has(FullPause) {
			t.fullUntil = now.Add(min(fullFirst<<min(t.fullness-1, 4), fullMost))
		}
		if t.fullness >= refusalsDead {
			t.failedAt = now
		}
	}
}

// Failed notes that a target did not do its part. Certain failures, such as a
// refused connection, make it suspect at once.
func (r *Router) Failed(id TargetID, certain bool, now time.Time) {
	t, ok := r.targets[id]
	if !ok {
		return
	}
	t.failures += failureWeight * (1 - t.failures)
	if !certain {
		return
	}
	t.trouble++
	t.failedAt = now
	pause := min(suspectFirst<<min(t.trouble-1, 4), suspectMost)
	if r.settings.Policy.Has(Suspicion) {
		t.suspectUntil = now.Add(pause)
	}
}

// Succeeded notes that a target did its part.
func (r *Router) Succeeded(id TargetID, now time.Time) {
	if t, ok := r.targets[id]; ok {
		t.failedAt = time.Time{}
		t.succeededAt = now
		t.failures -= failureWeight * t.failures
		t.trouble = 0
		t.suspectUntil = time.Time{}
		t.fullness = 0
		t.fullUntil = time.Time{}
	}
}

// Suspect reports whether a target is left alone at present.
func (r *Router) Suspect(id TargetID, now time.Time) bool {
	t, ok := r.targets[id]
	return ok && (t.silent || now.Before(t.suspectUntil))
}

const (
	// findingsKept is how long a VM tells what it found of a target: a VM of the
	// grown fleet meets each engine about once in this time.
	findingsKept = 2 * time.Second
	// refusalsDead is the refusals in a row after which an engine counts as dead: one
	// that is full runs requests, which end well in between.
	refusalsDead = 3
)

// Findings returns the targets that this VM has lately found dead and done nothing
// since, and those that have done their part since they last failed.
func (r *Router) Findings(now time.Time) (dead, well []TargetKey) {
	if !r.settings.Policy.Has(SharedFindings) {
		return nil, nil
	}
	for _, t := range r.targets {
		switch {
		case now.Before(t.failedAt.Add(findingsKept)):
			dead = append(dead, t.key)
		case now.Before(t.succeededAt.Add(findingsKept)):
			well = append(well, t.key)
		}
	}
	slices.Sort(dead)
	slices.Sort(well)
	return dead, well
}
