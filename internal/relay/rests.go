package relay

import (
	"slices"
	"time"
)

// This file keeps what targets have asked this VM for: to be left alone for a while.
//
// Problem: a target that turns a request away may say for how long it wants nothing from this
// VM. Whatever is sent to it in that time is turned away again and adds to what it has to do. Its
// load goes to the others of its service, which may then ask for rest too, until none is left.
//
// Algorithm: a rest lasts until the latest time that its target has named. It is kept by
// incarnation and apart from what is believed of targets, so that no answer, heartbeat,
// configuration or retry among suspects ends it. Nothing picks a target that rests, and whatever
// was picked before is looked at once more as it is sent. While a target of a plain service
// rests, the others get no more than places requests at a time: one that is refused here costs
// its caller a return, one that a full target turns away costs all callers the target's rest.
// After a rest a target gets one request at a time until it has answered one, then twice
// as many with each answer.
//
// Invariants: a rest is never shortened; what is known of one goes only after its end.
//
// Limits: a rest is of the VM that was asked. A VM that starts again knows of none, and may ask
// once. What is on its way when a rest is told arrives within it.

const (
	// placesPerSlot is the requests at a time that a target of a plain service gets for
	// each of its slots while another one of the service rests: as many may wait as run, so
	// that no slot is idle until counts of other VMs come in, and each waits for about one
	// other. Targets queue a few more.
	placesPerSlot = 2
	// restedFirst is how many requests at a time a target gets after its rest.
	restedFirst = 1
	// returnLeast is the least time over which callers that a rest has turned away are
	// told to come back.
	returnLeast = 500 * time.Millisecond
)

// rest is a time in which a target wants nothing from this VM.
type rest struct {
	began, until time.Time
	// allowed is the requests at a time that the target gets after it.
	allowed int
}

// over reports whether the rest has ended.
func (r rest) over(now time.Time) bool { return !now.Before(r.until) }

// Rest notes that a target wants nothing from this VM until a time.
func (r *Router) Rest(id TargetID, until, now time.Time) {
	present, known := r.rests[id]
	if known && !until.After(present.until) {
		return
	}
	if !known || present.over(now) {
		present = rest{began: now}
	}
	present.until = until
	present.allowed = restedFirst
	r.rests[id] = present
}

// Resting returns until when a target wants nothing from this VM, and whether it does.
func (r *Router) Resting(id TargetID, now time.Time) (until time.Time, resting bool) {
	known, ok := r.rests[id]
	return known.until, ok && !known.over(now)
}

// Answered notes that a target has begun to answer a request after its rest.
func (r *Router) Answered(id TargetID, now time.Time) {
	known, ok := r.rests[id]
	if !ok || !known.over(now) {
		return
	}
	known.allowed *= 2
	r.rests[id] = known
}

// rested reports whether a target has had its rest and may take one request more.
func (r *Router) rested(t *target, now time.Time) bool {
	known, ok := r.rests[t.ID]
	return !ok || known.over(now) && t.own.Requests < known.allowed
}

// ForgetRests drops the rests that have ended: of targets that get as many requests as any, or
// that are not known any more.
func (r *Router) ForgetRests(now time.Time) {
	for id, known := range r.rests {
		t, here := r.targets[id]
		if !known.over(now) {
			continue
		}
		if s := r.serviceOf(t); !here || s == nil || known.allowed >= r.connLimit(s) {
			delete(r.rests, id)
		}
	}
}

func (r *Router) serviceOf(t *target) *Service {
	if t == nil {
		return nil
	}
	return r.services[t.Service]
}

// RestingTargets returns the number of targets that rest.
func (r *Router) RestingTargets(now time.Time) int {
	resting := 0
	for _, known := range r.rests {
		if !known.over(now) {
			resting++
		}
	}
	return resting
}

// scarce reports whether a target of a service rests: the others have to bear its load.
func (r *Router) scarce(service string, now time.Time) bool {
	if len(r.rests) == 0 {
		return false
	}
	return slices.ContainsFunc(r.members[service], func(t *target) bool {
		_, resting := r.Resting(t.ID, now)
		return resting && r.takes(t)
	})
}

// hasPlace reports whether a target of a plain service has a place for one request more.
func (r *Router) hasPlace(t *target, scarce bool) bool {
	return !scarce || t.Slots <= 0 || r.load(t).Requests < placesPerSlot*t.Slots
}

// restsUntil returns when a request may find a target again that can take it, where it finds
// none now for the reason alone that targets rest, and how long that rest lasts in all.
func (r *Router) restsUntil(service string, a Ask, now time.Time) (until time.Time, length time.Duration) {
	if !r.scarce(service, now) {
		return time.Time{}, 0
	}
	var ends []rest
	for _, t := range r.members[service] {
		if known, ok := r.rests[t.ID]; ok && !known.over(now) && r.takes(t) {
			ends = append(ends, known)
		}
	}
	slices.SortFunc(ends, func(x, y rest) int { return x.until.Compare(y.until) })
	serves := func(at time.Time) bool { return r.servedBy(service, a, at) }
	if serves(now) {
		return time.Time{}, 0
	}
	for _, end := range ends {
		if serves(end.until) {
			return end.until, end.until.Sub(end.began)
		}
	}
	return time.Time{}, 0
}

// servedBy reports whether the targets of a service that do not rest at a time, by what is
// known now, can serve a request.
func (r *Router) servedBy(service string, a Ask, at time.Time) bool {
	awake := func(t *target) bool {
		_, resting := r.Resting(t.ID, at)
		return !resting && r.takes(t)
	}
	begins := func(t *target) bool { return awake(t) && t.Layers.First == 0 && a.mayBegin(t.ID) }
	return slices.ContainsFunc(r.members[service], begins) && r.coveredBy(r.services[service], awake)
}

// ComeBack returns when the caller of a request that no target took is to come back: at once,
// or once a rest is over where that is what keeps it from others.
func (r *Router) ComeBack(service string, atOnce time.Duration, now time.Time) time.Time {
	if refusal := r.noRoom(service, Ask{}, now); !refusal.NotBefore.IsZero() {
		return refusal.RetryAt
	}
	return now.Add(atOnce)
}
