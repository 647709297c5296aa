package relay

import (
	"slices"
	"time"
)

// This file records the draining notices that targets send this VM with their answers.
//
// Problem: a target that is leaving announces it with all its answers, and may send no heartbeat
// that announces it before it ends, or one that arrives seconds late. Heartbeats that report it
// as ready may arrive after the answer.
//
// Algorithm: the notice of an answer is final for the incarnation, as that of a heartbeat is, and
// kept by it: the VM gives it no new work from that moment on. The VM reports the notice to the
// control VM that it renews with, in each renewal until updates of that one contain it too; the
// control VM processes it like that of a heartbeat (core/registry.go). After a later message that
// the target is ready it is reported again.
//
// Limits: the other VMs learn of it after up to a renewal and two message delays between VMs.

// noticeTTL is how long after the last answer with it a draining notice is reported, and how long
// it is kept once its target is no longer known: as long as control VMs know silent targets.
const noticeTTL = time.Minute

// drainNotice records that a target has sent a draining notice with an answer.
type drainNotice struct {
	// receivedAt is when the last one was received.
	receivedAt time.Time
	// confirmed indicates that the control VM's updates contain it too.
	confirmed bool
}

// NoteDraining records that a target has sent a draining notice with an answer, and reports whether
// that is new here.
func (r *Router) NoteDraining(id TargetID, now time.Time) bool {
	present, known := r.draining[id]
	if !known {
		r.ForgetDraining(now) // a VM that serves no callers does this nowhere else
	}
	present.receivedAt = now
	if t, here := r.targets[id]; here && !t.AcceptsWork() {
		present.confirmed = true
	}
	r.draining[id] = present
	r.applyNotices(id)
	return !known && !present.confirmed
}

// IsDraining reports whether a target is draining, as far as is known here.
func (r *Router) IsDraining(id TargetID) bool {
	_, draining := r.draining[id]
	t, known := r.targets[id]
	return draining || known && !t.AcceptsWork()
}

// acceptsWork reports whether the target accepts new work.
func (t *target) acceptsWork() bool { return !t.draining && t.AcceptsWork() }

// applyNotices copies to the entry of a target, if it is known, the notices from its answers: each
// request checks all targets of its service.
func (r *Router) applyNotices(id TargetID) {
	if t, known := r.targets[id]; known {
		t.backoff = r.backoffs[id]
		_, t.draining = r.draining[id]
	}
}

// confirmDraining processes the control VM's update of a target.
func (r *Router) confirmDraining(t Target) {
	if present, draining := r.draining[t.ID]; draining {
		present.confirmed = !t.AcceptsWork()
		r.draining[t.ID] = present
	}
}

// Draining returns the targets that have sent a draining notice with an answer and are to be
// reported to the control VM, sorted.
func (r *Router) Draining(now time.Time) []TargetID {
	var reported []TargetID
	for id, d := range r.draining {
		if !d.confirmed && now.Before(d.receivedAt.Add(noticeTTL)) {
			reported = append(reported, id)
		}
	}
	slices.Sort(reported)
	return reported
}

// ForgetDraining removes the notices of targets that are no longer known.
func (r *Router) ForgetDraining(now time.Time) {
	for id, d := range r.draining {
		if _, known := r.targets[id]; !known && !now.Before(d.receivedAt.Add(noticeTTL)) {
			delete(r.draining, id)
		}
	}
}
