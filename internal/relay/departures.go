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
// by it: the VM gives it nothing new from that moment on. It reports the departure to the control
// VM that it renews with, with each renewal until that one's news say the same; that one takes
// it as it takes a heartbeat (core/registry.go). A later message that it is ready has it
// reported again.
//
// Limits: it takes the other VMs up to a renewal and two ways between VMs to learn of it.

// saidKept is how long after the last answer that says so a departure is reported, and how long
// it is kept once its target is not known any more: as long as control VMs know silent targets.
const saidKept = time.Minute

// departure is that a target has said with an answer that it leaves.
type departure struct {
	// saidAt is when it last did.
	saidAt time.Time
	// confirmed says that the control VM's news say it too.
	confirmed bool
}

// Leave notes that a target has said with an answer that it leaves, and reports whether that
// is new here.
func (r *Router) Leave(id TargetID, now time.Time) bool {
	present, known := r.departures[id]
	if !known {
		r.ForgetDepartures(now) // a VM that serves no callers does so nowhere else
	}
	present.saidAt = now
	if t, here := r.targets[id]; here && !t.Takes() {
		present.confirmed = true
	}
	r.departures[id] = present
	r.noteSaid(id)
	return !known && !present.confirmed
}

// Leaves reports whether a target leaves, as far as is known here.
func (r *Router) Leaves(id TargetID) bool {
	_, said := r.departures[id]
	t, known := r.targets[id]
	return said || known && !t.Takes()
}

// takes reports whether the target may be given new work.
func (t *target) takes() bool { return !t.departed && t.Takes() }

// noteSaid notes at a target, if it is known, what it has said with its answers: each request
// looks at all targets of its service.
func (r *Router) noteSaid(id TargetID) {
	if t, known := r.targets[id]; known {
		t.rest = r.rests[id]
		_, t.departed = r.departures[id]
	}
}

// confirmDeparture takes the control VM's news of a target.
func (r *Router) confirmDeparture(t Target) {
	if present, said := r.departures[t.ID]; said {
		present.confirmed = !t.Takes()
		r.departures[t.ID] = present
	}
}

// Departures returns the targets that have said with an answer that they leave and of which
// the control VM is to be told, sorted.
func (r *Router) Departures(now time.Time) []TargetID {
	var reported []TargetID
	for id, d := range r.departures {
		if !d.confirmed && now.Before(d.saidAt.Add(saidKept)) {
			reported = append(reported, id)
		}
	}
	slices.Sort(reported)
	return reported
}

// ForgetDepartures drops what was said by targets that are known no more.
func (r *Router) ForgetDepartures(now time.Time) {
	for id, d := range r.departures {
		if _, known := r.targets[id]; !known && !now.Before(d.saidAt.Add(saidKept)) {
			delete(r.departures, id)
		}
	}
}
