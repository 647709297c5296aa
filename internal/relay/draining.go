package relay

import (
	"slices"
	"time"
)

// This file keeps which targets have said with an answer to this VM that they leave.
//
// Problem: a target says with all its answers that it leaves, and may send no heartbeat that
// says so before it ends, or one that comes seconds late. Heartbeats that say it is ready may
// come after the answer.
//
// Algorithm: what an answer says is final for the incarnation, as it is for heartbeats, and kept
// by it: the VM gives it nothing new from that moment on. It reports the draining notice to the control
// VM that it renews with, with each renewal until that one's news say the same; that one takes
// it as it takes a heartbeat (core/registry.go). A later message that it is ready has it
// reported again.
//
// Limits: it takes the other VMs up to a renewal and two ways between VMs to learn of it.

// saidKept is how long after the last answer that says so a draining notice is reported, and how long
// it is kept once its target is not known any more: as long as control VMs know silent targets.
const saidKept = time.Minute

// drainNotice is that a target has said with an answer that it leaves.
type drainNotice struct {
	// saidAt is when it last did.
	saidAt time.Time
	// confirmed says that the control VM's news say it too.
	confirmed bool
}

// Leave notes that a target has said with an answer that it leaves, and reports whether that
// is new here.
func (r *Router) Leave(id TargetID, now time.Time) bool {
	present, known := r.draining[id]
	if !known {
		r.ForgetDraining(now) // a VM that serves no callers does so nowhere else
	}
	present.saidAt = now
	if t, here := r.targets[id]; here && !t.Takes() {
		present.confirmed = true
	}
	r.draining[id] = present
	r.noteSaid(id)
	return !known && !present.confirmed
}

// Leaves reports whether a target leaves, as far as is known here.
func (r *Router) Leaves(id TargetID) bool {
	_, said := r.draining[id]
	t, known := r.targets[id]
	return said || known && !t.Takes()
}

// takes reports whether the target may be given new work.
func (t *target) takes() bool { return !t.draining && t.Takes() }

// noteSaid notes at a target, if it is known, what it has said with its answers: each request
// looks at all targets of its service.
func (r *Router) noteSaid(id TargetID) {
	if t, known := r.targets[id]; known {
		t.backoff = r.backoffs[id]
		_, t.draining = r.draining[id]
	}
}

// confirmDraining takes the control VM's news of a target.
func (r *Router) confirmDraining(t Target) {
	if present, said := r.draining[t.ID]; said {
		present.confirmed = !t.Takes()
		r.draining[t.ID] = present
	}
}

// Draining returns the targets that have said with an answer that they leave and of which
// the control VM is to be told, sorted.
func (r *Router) Draining(now time.Time) []TargetID {
	var reported []TargetID
	for id, d := range r.draining {
		if !d.confirmed && now.Before(d.saidAt.Add(saidKept)) {
			reported = append(reported, id)
		}
	}
	slices.Sort(reported)
	return reported
}

// ForgetDraining drops what was said by targets that are known no more.
func (r *Router) ForgetDraining(now time.Time) {
	for id, d := range r.draining {
		if _, known := r.targets[id]; !known && !now.Before(d.saidAt.Add(saidKept)) {
			delete(r.draining, id)
		}
	}
}
