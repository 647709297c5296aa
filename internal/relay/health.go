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

// Suspect reports whether a target is left alone at present. A void one stays so, and what
// runs there is lost.
func (r *Router) Suspect(id TargetID, now time.Time) bool {
	t, ok := r.targets[id]
	return ok && (t.void || t.silent || now.Before(t.suspectUntil))
}

const (
	// slowLeast is how many times longer than usual the steps of an engine take that counts
	// as slow: at twice, it serves half as much as it is planned for.
	slowLeast = 2.0
	// slowElsewhere is what an engine counts as that another VM was told is slow: how slow
	// is not told.
	slowElsewhere = 4.0
	// slowFirst is how long an engine that says that it is slow counts as slow; each time
	// that it is found slow again doubles it up to suspectMost.
	slowFirst = time.Second
	// slowAskAhead is how long before that an engine is asked again: were it used to find
	// out, all VMs would do so at once.
	slowAskAhead = 300 * time.Millisecond
)

// SlowDue returns the engines that this VM has found slow and is to ask again now.
func (r *Router) SlowDue(now time.Time) []Stage {
	var due []Stage
	for _, t := range r.targets {
		if now.Before(t.slowUntil) && !now.Before(t.slowUntil.Add(-slowAskAhead)) && t.takes() && !t.void {
			due = append(due, Stage{Target: t.ID, Address: t.Address})
		}
	}
	return due
}

// TakePace takes what an engine says of how many times longer than usual its steps take. It
// does not count as lost: what it holds stays where it is.
func (r *Router) TakePace(id TargetID, pace float64, now time.Time) {
	t, ok := r.targets[id]
	if !ok || now.Before(t.slowUntil.Add(-slowAskAhead)) || !r.settings.Policy.Has(SlowEngines) {
		return
	}
	if pace < slowLeast {
		t.slowness = 0
		t.slowUntil = time.Time{}
		return
	}
	t.pace = pace
	t.slowUntil = now.Add(min(slowFirst<<min(t.slowness, 4), suspectMost))
	t.slowness++
}

const (
	// findingsKept is how long a VM tells what it found of a target: a VM of the
	// grown fleet meets each engine about once in this time.
	findingsKept = 2 * time.Second
	// refusalsDead is the refusals in a row after which an engine counts as dead: one
	// that is full runs requests, which end well in between.
	refusalsDead = 3
)

// Findings is what a VM has lately found of targets, sorted.
type Findings struct {
	// Dead are those that have failed and done nothing since, Sound those that have done
	// their part since they last failed.
	Dead, Sound []TargetKey
	// Slow are those that say that they are slow.
	Slow []TargetKey
	// Leaving are those that have said with an answer that they leave.
	Leaving []TargetID
	// BackedOff are those that have asked this VM to back off: for its operators.
	BackedOff []TargetBackedOff
	// Limited are those that take so many requests a second from all VMs: for its operators.
	Limited []LimitedTarget
	// Unread are the names that targets have used and that nothing here reads: for its
	// operators.
	Unread []UnreadName
}

// Findings returns what this VM has lately found.
func (r *Router) Findings(now time.Time) Findings {
	f := Findings{Leaving: r.Draining(now), BackedOff: r.TargetsBackedOff(now), Limited: r.LimitedTargets(now)}
	if !r.settings.Policy.Has(SharedFindings) {
		return f
	}
	for _, t := range r.targets {
		if t.void {
			continue
		}
		switch {
		case now.Before(t.failedAt.Add(findingsKept)):
			f.Dead = append(f.Dead, t.key)
		case now.Before(t.succeededAt.Add(findingsKept)):
			f.Sound = append(f.Sound, t.key)
		}
		if now.Before(t.slowUntil) {
			f.Slow = append(f.Slow, t.key)
		}
	}
	slices.Sort(f.Dead)
	slices.Sort(f.Sound)
	slices.Sort(f.Slow)
	return f
}

// SlowOn returns a stage of a path, other than the first, that is slow.
func (r *Router) SlowOn(p Path, now time.Time) (TargetID, bool) {
	for _, s := range p.Stages[1:] {
		if t, ok := r.targets[s.Target]; ok && t.slowdown(now) > 1 {
			return s.Target, true
		}
	}
	return "", false
}

// slowdown is how many times longer than usual the steps of a target take, as it has lately
// said here or at another VM. It counts in the costs of paths: an engine that has no other
// beside it still serves.
func (t *target) slowdown(now time.Time) float64 {
	switch {
	case now.Before(t.slowUntil):
		return t.pace
	case t.slowElsewhere:
		return slowElsewhere
	}
	return 1
}
