package relay

import (
	"slices"
	"time"
)

// This file derives the health of targets from the results of this VM's own requests.
// docs/DESIGN.md has the precedence of the sources of health.

const (
	// initialSuspicion is how long a target is avoided after one failure; each further one in a
	// row doubles it up to maxSuspicion. A process that crashed is back after some seconds.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	// failureWeight is the weight of the newest result in the moving mean: ten results make up
	// most of it.
	failureWeight = 0.15
)

const (
	// initialFullPause is how long a target that refused a request gets no other; each further
	// refusal in a row doubles it up to maxFullPause. Capacity becomes free every few hundredths
	// of a second.
	initialFullPause = 100 * time.Millisecond
	maxFullPause     = 800 * time.Millisecond
)

// RecordRefusal records that a target did not accept a request: it is full, or its layers have
// changed. Its other requests go on, so that it is neither suspect nor failed, however often it
// refuses: one that is full of long answers has no success to report for seconds. The result is
// set if the refusals in a row are a reason to ask the target whether it is alive, where another
// target refused in its name.
func (r *Router) RecordRefusal(id TargetID, now time.Time) (doubtful bool) {
	t, ok := r.targets[id]
	if !ok {
		return false
	}
	t.refusalsInRow++
	if r.settings.Policy.Has(FullPause) {
		t.refusedUntil = now.Add(min(initialFullPause<<min(t.refusalsInRow-1, 4), maxFullPause))
	}
	return t.refusalsInRow%doubtfulRefusals == 0
}

// RecordMisdirected records that a request met another target, or none that holds its layers, in the
// place of this one. If that repeats, the target counts as failed.
func (r *Router) RecordMisdirected(id TargetID, now time.Time) {
	r.RecordRefusal(id, now)
	if t, ok := r.targets[id]; ok && t.refusalsInRow >= doubtfulRefusals {
		t.failedAt = now
	}
}

// RecordFailure records that a request failed at a target. Certain failures, such as a refused
// connection, make it suspect at once.
func (r *Router) RecordFailure(id TargetID, certain bool, now time.Time) {
	t, ok := r.targets[id]
	if !ok {
		return
	}
	t.failures += failureWeight * (1 - t.failures)
	if !certain {
		return
	}
	t.failuresInRow++
	t.failedAt = now
	r.reachOf(t.Service).failed[id] = now
	pause := min(initialSuspicion<<min(t.failuresInRow-1, 4), maxSuspicion)
	if r.settings.Policy.Has(Suspicion) {
		t.suspectUntil = now.Add(pause)
	}
}

// RecordSuccess records that a request succeeded at a target.
func (r *Router) RecordSuccess(id TargetID, now time.Time) {
	if t, ok := r.targets[id]; ok {
		t.failedAt = time.Time{}
		t.succeededAt = now
		t.failures -= failureWeight * t.failures
		t.failuresInRow = 0
		t.suspectUntil = time.Time{}
		t.refusalsInRow = 0
		t.refusedUntil = time.Time{}
	}
}

// IsSuspect reports whether a target is avoided at present. A superseded one always is, and what runs
// there is lost.
func (r *Router) IsSuspect(id TargetID, now time.Time) bool {
	t, ok := r.targets[id]
	return ok && (t.superseded || t.silent || now.Before(t.suspectUntil))
}

const (
	// slowThreshold is the factor from which on an engine counts as slow whose steps take that many
	// times longer than usual: at 2 it serves half as much as it is planned for.
	slowThreshold = 2.0
	// forwardedSlowdown is the slowdown of an engine that has reported to another VM that it is
	// slow: the update does not contain by how much.
	forwardedSlowdown = 4.0
	// initialSlowPeriod is how long an engine that reports that it is slow counts as slow; each
	// further time that it is found slow doubles it up to maxSuspicion.
	initialSlowPeriod = time.Second
	// slowRecheckLead is how long before that the engine is checked again: if requests were used
	// to find out, all VMs would send them at once.
	slowRecheckLead = 300 * time.Millisecond
)

// SlowEnginesToCheck returns the engines that this VM has found slow and is to check again now.
func (r *Router) SlowEnginesToCheck(now time.Time) []Stage {
	var due []Stage
	for _, t := range r.targets {
		if now.Before(t.slowUntil) && !now.Before(t.slowUntil.Add(-slowRecheckLead)) && t.acceptsWork() && !t.superseded {
			due = append(due, Stage{Target: t.ID, Address: t.Address})
		}
	}
	return due
}

// RecordSlowdown records how many times longer than usual the steps of an engine take, as it reports.
// A slow engine does not count as lost, and keeps its layers.
func (r *Router) RecordSlowdown(id TargetID, pace float64, now time.Time) {
	t, ok := r.targets[id]
	if !ok || now.Before(t.slowUntil.Add(-slowRecheckLead)) || !r.settings.Policy.Has(SlowEngines) {
		return
	}
	if pace < slowThreshold {
		t.slowReports = 0
		t.slowUntil = time.Time{}
		return
	}
	t.slowdownFactor = pace
	t.slowUntil = now.Add(min(initialSlowPeriod<<min(t.slowReports, 4), maxSuspicion))
	t.slowReports++
}

const (
	// findingsTTL is how long a VM reports what it found of a target: a VM of the grown fleet
	// meets each engine about once in this time.
	findingsTTL = 2 * time.Second
	// doubtfulRefusals is the number of refusals in a row after which it is doubtful whether a target
	// is still there.
	doubtfulRefusals = 3
)

// Findings is what a VM has recently found of targets, sorted.
type Findings struct {
	// Failed are those that have failed and done nothing since, Healthy those where a request
	// has succeeded since the last failure.
	Failed, Healthy []TargetKey
	// Slow are those that report that they are slow.
	Slow []TargetKey
	// Leaving are those that have sent a draining notice with an answer.
	Leaving []TargetID
	// BackedOff are those that have asked this VM to back off: for its operators.
	BackedOff []BackedOffTarget
	// Limited are those that accept so many requests a second from all VMs: for its operators.
	Limited []LimitedTarget
	// Unread are the names that targets have used and that this program does not read: for its
	// operators.
	Unread []UnreadName
}

// Findings returns what this VM has recently found.
func (r *Router) Findings(now time.Time) Findings {
	f := Findings{Leaving: r.Draining(now), BackedOff: r.BackedOffTargets(now), Limited: r.LimitedTargets(now)}
	if !r.settings.Policy.Has(SharedFindings) {
		return f
	}
	for _, t := range r.targets {
		if t.superseded {
			continue
		}
		switch {
		case now.Before(t.failedAt.Add(findingsTTL)):
			if r.doubts(t.Service, now) {
				continue // this VM may have lost its own links
			}
			f.Failed = append(f.Failed, t.key)
		case now.Before(t.succeededAt.Add(findingsTTL)):
			f.Healthy = append(f.Healthy, t.key)
		}
		if now.Before(t.slowUntil) {
			f.Slow = append(f.Slow, t.key)
		}
	}
	slices.Sort(f.Failed)
	slices.Sort(f.Healthy)
	slices.Sort(f.Slow)
	return f
}

// SlowStage returns a stage of a path, other than the first, that is slow.
func (r *Router) SlowStage(p Path, now time.Time) (TargetID, bool) {
	for _, s := range p.Stages[1:] {
		if t, ok := r.targets[s.Target]; ok && t.slowdown(now) > 1 {
			return s.Target, true
		}
	}
	return "", false
}

// slowdown is how many times longer than usual the steps of a target take, as it has recently
// reported here or to another VM. It is part of the costs of paths: an engine without an
// alternative still serves.
func (t *target) slowdown(now time.Time) float64 {
	switch {
	case now.Before(t.slowUntil):
		return t.slowdownFactor
	case t.markedSlow:
		return forwardedSlowdown
	}
	return 1
}
