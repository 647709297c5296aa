package relay

import (
	"slices"
	"time"
)

// This file assigns the permits of limited targets to requests: which requests get them first,
// which ones wait, and when the callers of refused ones come back.
//
// Problem: a target without a permit counts as full, and the others serve. Where all that could
// serve a request are limited, permits arrive a few times a second: a request that is refused a
// moment before the next one arrives is refused needlessly, and one that waits for a permit that
// others get is refused late.
//
// Algorithm: a request waits if the permits of this VM, which arrive at the rate of the last
// second, reach it soon enough behind the requests that already wait; otherwise it is refused at
// once. Permits go to the more urgent requests first, and among equals to those that wait. The
// callers of refused requests get retry times that follow each other at that rate.

const (
	// urgencyRanks is the number of ranks of waiting requests: streams in mid-answer, and the
	// classes of the others.
	urgencyRanks = 12
	// maxReturnDelay is the longest time after which a caller that found no permit is asked to
	// come back, and minReturnSpread the shortest: after maxReturnDelay, what is known of limits
	// is out of date.
	maxReturnDelay = 10 * time.Second
)

// waiters are the requests that wait for permits of the targets of one service.
type waiters struct {
	byUrgency [urgencyRanks]int
	// returnAt is when the last of the refused callers comes back.
	returnAt time.Time
}

// ahead counts the waiting requests that get permits before one of an urgency.
func (w *waiters) ahead(urgency int, waiting bool) int {
	if w == nil {
		return 0
	}
	ahead := 0
	for rank, n := range w.byUrgency {
		if rank < urgency || rank == urgency && !waiting {
			ahead += n
		}
	}
	return ahead
}

// rank returns an urgency within bounds.
func rank(urgency int) int { return min(max(urgency, 0), urgencyRanks-1) }

// Wait records that a request waits for a permit of a service's targets, until the returned
// function is called.
func (r *Router) Wait(service string, urgency int) (done func()) {
	w := r.waitersOf(service)
	w.byUrgency[rank(urgency)]++
	return func() { w.byUrgency[rank(urgency)]-- }
}

func (r *Router) waitersOf(service string) *waiters {
	w, ok := r.waiters[service]
	if !ok {
		w = &waiters{}
		r.waiters[service] = w
	}
	return w
}

// limitedMembers calls a function for each limited target of a service that a request could begin
// on.
func (r *Router) limitedMembers(service string, a PathRequest, now time.Time, do func(*limit)) {
	if len(r.limits.byTarget) == 0 {
		return
	}
	for _, t := range r.members[service] {
		if m := r.limits.get(t.key); m.limited(now) && t.canStartRequests() && a.mayStartOn(t.ID) && !a.avoids(t.ID) {
			do(m)
		}
	}
}

// canStartRequests reports whether requests begin on a target: on any of a plain service, and on an
// engine that holds the first layers.
func (t *target) canStartRequests() bool { return t.acceptsWork() && t.Layers.First == 0 }

// permitsFor reports whether the limited targets of a service have permits for a request, beyond
// those for the waiting requests that go before it.
func (r *Router) permitsFor(service string, a PathRequest, now time.Time) bool {
	left := 0
	r.limitedMembers(service, a, now, func(m *limit) {
		m.expire(now)
		left += max(m.left, 0)
	})
	return left > r.waiters[service].ahead(rank(a.Urgency), a.Waiting)
}

// permitAvailable reports whether a target's limit leaves a permit for a request, or it has none.
func (r *Router) permitAvailable(t *target, a PathRequest, now time.Time) bool {
	m := r.limits.get(t.key)
	if !m.limited(now) {
		return true
	}
	return a.permits && m.hasPermit(now)
}

// notePermitDemand counts which limited targets a request wants: the one that it got, and all that
// have no permit.
func (r *Router) notePermitDemand(service string, a PathRequest, chosen Path, now time.Time) {
	if a.Waiting {
		return // counted on arrival
	}
	var got *limit
	if len(chosen.Stages) > 0 {
		got = r.limits.get(chosen.First().Target.Key())
	}
	r.limitedMembers(service, a, now, func(m *limit) {
		if m == got || !a.permits || !m.hasPermit(now) {
			m.wanted.add(now, demandWindow)
		}
	})
}

// reservePermit reserves a permit of a target for a request that it was chosen for, and reports
// whether it needs one.
func (r *Router) reservePermit(id TargetID, now time.Time) bool {
	m := r.limits.get(id.Key())
	if !m.limited(now) {
		return false
	}
	m.reserve()
	return true
}

// EndReservation ends the reservation of a permit. sent indicates that its request is about
// to be sent to the target; the result reports whether it may be sent.
func (r *Router) EndReservation(id TargetID, sent bool, now time.Time) bool {
	return r.limits.EndReservation(id, sent, now)
}

// AcquirePermit takes a permit for sending one request to a target, and reports whether it may be
// sent.
func (r *Router) AcquirePermit(id TargetID, now time.Time) bool { return r.limits.Acquire(id, now) }

// ChargePermit counts a message that a target is sent before any request, and that needs no
// permit.
func (r *Router) ChargePermit(id TargetID, now time.Time) { r.limits.Charge(id, now) }

// ApplyGrant processes the permits that come with the lease that answers the renewal of a number.
func (r *Router) ApplyGrant(number uint64, permits []Permits, until, now time.Time) {
	r.limits.Grant(number, r.applyRepeatPermits(number, permits, until, now), until, now)
}

// ApplyLimitMarks applies the leader's marks of limited targets; see ApplyMarks.
func (r *Router) ApplyLimitMarks(marks map[TargetKey]Mark, complete bool, now time.Time) {
	r.limits.ApplyMarks(marks, complete, now)
}

// PermitRequests returns what the next renewal reports to the leader of limits and of repeats.
func (r *Router) PermitRequests(now time.Time) []PermitRequest {
	requests := r.repeatPermitRequests(now)
	if len(r.limits.byTarget) == 0 {
		return requests
	}
	known := make(map[TargetKey]bool, len(r.targets))
	for _, t := range r.targets {
		known[t.key] = true
	}
	r.limits.forget(func(key TargetKey) bool { return known[key] }, now)
	return append(requests, r.limits.PermitRequests(now)...)
}

// LimitedTargets returns the targets with limits, sorted.
func (r *Router) LimitedTargets(now time.Time) []LimitedTarget {
	limited := r.limits.Limited(now)
	for i := range limited {
		for _, t := range r.targets {
			if limited[i].Target == "" && t.key == limited[i].Key {
				limited[i].Target = t.ID
			}
		}
	}
	return limited
}

// permitRate is the permits of a service that this VM receives in a second: those of the last
// one, and at least an equal part of the limits.
func (r *Router) permitRate(service string, a PathRequest, now time.Time) float64 {
	rate := 0.0
	r.limitedMembers(service, a, now, func(m *limit) { rate += m.rate(r.vms, now) })
	return rate
}

// noPermitRefusal returns the refusal of a request that finds no target where limited ones could
// serve it, or nil.
func (r *Router) noPermitRefusal(service string, a PathRequest, now time.Time) *Refusal {
	if a.permits || !r.servedWithPermits(service, a, now) {
		return nil
	}
	rate := r.permitRate(service, a, now)
	w := r.waitersOf(service)
	gap := time.Duration(float64(time.Second) / rate)
	ahead := w.ahead(rank(a.Urgency), a.Waiting)
	w.returnAt = laterTime(w.returnAt, now.Add(minReturnSpread))
	retryAt := w.returnAt.Add(gap)
	if retryAt.After(now.Add(maxReturnDelay)) {
		retryAt = now.Add(minReturnSpread + time.Duration(r.rand.Int64N(int64(maxReturnDelay-minReturnSpread))))
	}
	return &Refusal{
		Kind: RefusedNoRoom, RetryAt: retryAt, NotBefore: now.Add(time.Duration(ahead+1) * gap), NoPermit: true, Service: service,
		Reason: "targets of " + service + " take no more requests a second",
	}
}

// NoteReturn records that a request without a permit was refused, and when its caller comes back.
func (r *Router) NoteReturn(service string, refusal *Refusal) {
	if refusal.NoPermit {
		w := r.waitersOf(service)
		w.returnAt = laterTime(w.returnAt, refusal.RetryAt)
	}
}

// servedWithPermits reports whether a request would find a target if all limited ones had
// permits.
func (r *Router) servedWithPermits(service string, a PathRequest, now time.Time) bool {
	s, known := r.services[service]
	if len(r.limits.byTarget) == 0 || !known || !r.covered(s) {
		return false
	}
	return slices.ContainsFunc(r.members[service], func(t *target) bool {
		return r.limits.get(t.key).limited(now) && t.canStartRequests() && !t.backoff.active(now) && a.mayStartOn(t.ID) && !a.avoids(t.ID)
	})
}
