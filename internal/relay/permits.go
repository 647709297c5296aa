package relay

import (
	"slices"
	"time"
)

// This file is how requests get the permits of limited targets: which of them first, who waits,
// and when those that are refused come back.
//
// Problem: a target without a permit counts as full, and the others serve. Where all that could
// serve a request are limited, permits come a few times a second: a request that is refused a moment
// before the next one comes is refused for nothing, and one that waits for a permit that others get
// is refused late.
//
// Algorithm: a request waits where the permits that come to this VM, at the rate of the last second,
// reach it soon enough behind those that wait already; else it is refused at once. Permits go to the
// more urgent first, and among equals to those that wait. The refused are told times that follow each
// other at that rate.

const (
	// urgencies is the number of ranks among requests that wait: streams in the middle, and the
	// classes of the others.
	urgencies = 12
	// returnMost bounds the time after which a caller that found no permit comes back, of which
	// returnLeast is the least: what is known of limits is old by then.
	returnMost = 10 * time.Second
)

// waiters are the requests that wait for permits of the targets of one service.
type waiters struct {
	byUrgency [urgencies]int
	// returnAt is when the last of those that were refused comes back.
	returnAt time.Time
}

// ahead counts the requests that wait for permits and get them before one of an urgency.
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
func rank(urgency int) int { return min(max(urgency, 0), urgencies-1) }

// Wait notes that a request waits for a permit of a service's targets, until the function that is
// returned is called.
func (r *Router) Wait(service string, urgency int) (over func()) {
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

// limitedMembers calls a function for each limited target of a service that a request could
// begin on.
func (r *Router) limitedMembers(service string, a Ask, now time.Time, do func(*limit)) {
	if len(r.limits.byTarget) == 0 {
		return
	}
	for _, t := range r.members[service] {
		if m := r.limits.of(t.key); m.limited(now) && t.begins() && a.mayBegin(t.ID) && !a.avoids(t.ID) {
			do(m)
		}
	}
}

// begins reports whether requests begin on a target: on any of a plain service, and on an engine
// that holds the first layers.
func (t *target) begins() bool { return t.takes() && t.Layers.First == 0 }

// permitsFor reports whether the limited targets of a service have permits for a request, beside
// those that wait and go before it.
func (r *Router) permitsFor(service string, a Ask, now time.Time) bool {
	left := 0
	r.limitedMembers(service, a, now, func(m *limit) {
		m.expire(now)
		left += max(m.left, 0)
	})
	return left > r.waiters[service].ahead(rank(a.Urgency), a.Waiting)
}

// takesMore reports whether a target's limit leaves a permit for a request, or it has none.
func (r *Router) takesMore(t *target, a Ask, now time.Time) bool {
	m := r.limits.of(t.key)
	if !m.limited(now) {
		return true
	}
	return a.permits && m.room(now)
}

// wantPermits notes which limited targets a request wants: the one that it got, and all that have
// no permit.
func (r *Router) wantPermits(service string, a Ask, chosen Path, now time.Time) {
	if a.Waiting {
		return // it was noted when it came
	}
	var got *limit
	if len(chosen.Stages) > 0 {
		got = r.limits.of(chosen.First().Target.Key())
	}
	r.limitedMembers(service, a, now, func(m *limit) {
		if m == got || !a.permits || !m.room(now) {
			m.wanted.add(now, wantedKept)
		}
	})
}

// reservePermit reserves a permit of a target for a request that was picked, and reports whether
// it needs one.
func (r *Router) reservePermit(id TargetID, now time.Time) bool {
	m := r.limits.of(id.Key())
	if !m.limited(now) {
		return false
	}
	m.reserve()
	return true
}

// UsePermit ends the reservation of a permit. Sent says that its request goes to the target now; it
// reports whether it may.
func (r *Router) UsePermit(id TargetID, sent bool, now time.Time) bool {
	return r.limits.Use(id, sent, now)
}

// TakePermit takes a permit for one sending to a target, and reports whether it may go.
func (r *Router) TakePermit(id TargetID, now time.Time) bool { return r.limits.Take(id, now) }

// ChargePermit counts something that a target is sent before any request, and that needs no permit.
func (r *Router) ChargePermit(id TargetID, now time.Time) { r.limits.Charge(id, now) }

// TakeGrant takes the permits that come with the lease that answers the renewal of a number, and
// the targets that the leader says are limited.
func (r *Router) TakeGrant(number uint64, permits []Permits, until, now time.Time) {
	r.limits.Grant(number, permits, until, now)
}

// TakeLimited takes which targets the leader says are limited; see TakeMarks.
func (r *Router) TakeLimited(marks map[TargetKey]Mark, whole bool, now time.Time) {
	r.limits.TakeMarks(marks, whole, now)
}

// PermitAsks returns what the leader is to be told of limits with the next renewal.
func (r *Router) PermitAsks(now time.Time) []PermitAsk {
	if len(r.limits.byTarget) == 0 {
		return nil
	}
	known := make(map[TargetKey]bool, len(r.targets))
	for _, t := range r.targets {
		known[t.key] = true
	}
	r.limits.forget(func(key TargetKey) bool { return known[key] }, now)
	return r.limits.Asks(now)
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

// permitRate is the permits of a service that come to this VM in a second: those of the last one, and
// at least an equal part of the limits.
func (r *Router) permitRate(service string, a Ask, now time.Time) float64 {
	rate := 0.0
	r.limitedMembers(service, a, now, func(m *limit) { rate += m.rate(r.vms, now) })
	return rate
}

// noPermit returns the refusal of a request that finds no target where those with limits could
// serve it, or nil.
func (r *Router) noPermit(service string, a Ask, now time.Time) *Refusal {
	if a.permits || !r.servedWithPermits(service, a, now) {
		return nil
	}
	rate := r.permitRate(service, a, now)
	w := r.waitersOf(service)
	gap := time.Duration(float64(time.Second) / rate)
	ahead := w.ahead(rank(a.Urgency), a.Waiting)
	w.returnAt = laterTime(w.returnAt, now.Add(returnLeast))
	retryAt := w.returnAt.Add(gap)
	if retryAt.After(now.Add(returnMost)) {
		retryAt = now.Add(returnLeast + time.Duration(r.rand.Int64N(int64(returnMost-returnLeast))))
	}
	return &Refusal{
		Kind: RefusedNoRoom, RetryAt: retryAt, NotBefore: now.Add(time.Duration(ahead+1) * gap), NoPermit: true, Service: service,
		Reason: "targets of " + service + " take no more requests a second",
	}
}

// SentBack notes that a request which found no permit was sent back, to come again at a time.
func (r *Router) SentBack(service string, refusal *Refusal) {
	if refusal.NoPermit {
		w := r.waitersOf(service)
		w.returnAt = laterTime(w.returnAt, refusal.RetryAt)
	}
}

// servedWithPermits reports whether a request would find a target if all that are limited had
// permits.
func (r *Router) servedWithPermits(service string, a Ask, now time.Time) bool {
	s, known := r.services[service]
	if len(r.limits.byTarget) == 0 || !known || !r.covered(s) {
		return false
	}
	return slices.ContainsFunc(r.members[service], func(t *target) bool {
		return r.limits.of(t.key).limited(now) && t.begins() && !t.backoff.holds(now) && a.mayBegin(t.ID) && !a.avoids(t.ID)
	})
}
