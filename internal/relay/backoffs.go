package relay

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

// This file holds the backoffs that targets have asked this VM for.
//
// Problem: a target that refuses a request may state for how long it accepts nothing from this VM.
// Whatever is sent to it in that time is refused again and adds to its load. Its share goes to
// the other targets of its service, which may then ask for a backoff too, until none is left.
//
// Algorithm: a backoff lasts until the latest time that its target has named. It is kept by
// incarnation and apart from the health of targets, so that no answer, heartbeat, configuration
// or retry among suspects ends it. No target that VMs back off from is chosen, and one that was
// chosen before is checked once more when the request is sent. While VMs back off from a target
// of a plain service, each VM gives the others no more than its part of their capacity: a request
// that is refused here costs its caller a return, one that a full target refuses costs all
// callers of the VM that target's backoff. No request is held here until a backoff ends.
//
// Invariants: a target does not shorten its backoff; a backoff is removed only after its end, by
// an operator, or where more than maxBackoffs are kept.
//
// Limits: a backoff applies to the VM that was asked. A VM that restarts knows of none, and may
// ask once; so may another process of the VM that was asked, which orders layers. Requests in
// flight when a backoff is received arrive within it. The capacity of engines follows from their
// memory and slots (path.go), and is not reduced while VMs back off from one of them.

const (
	// requestsPerSlot is the number of concurrent requests that a target of a plain service gets
	// from all VMs together for each of its slots while VMs back off from another one of the
	// service: one that runs and two that wait; targets queue a few more than that. Each VM
	// keeps to an equal part by the count of its own requests, which is exact: the counts of the
	// other VMs arrive too late for this.
	requestsPerSlot = 3
	// maxBackoffs bounds the backoffs that are kept, some 0.5 MB: seven times as many as the
	// targets of the largest deployment. Each incarnation of a target that restarts again and
	// again may ask for a year.
	maxBackoffs = 4096
	// minReturnSpread is the least time over which callers that were refused because of backoffs are
	// asked to retry: a target serves some ten requests a slot in it.
	minReturnSpread = 500 * time.Millisecond
)

// backoff is a time in which a target accepts nothing from this VM.
type backoff struct{ began, until time.Time }

// active reports whether the backoff has not ended. The zero value has ended.
func (r backoff) active(now time.Time) bool { return now.Before(r.until) }

// RecordBackoff records that a target accepts nothing from this VM until a time.
func (r *Router) RecordBackoff(id TargetID, until, now time.Time) {
	present := r.backoffs[id]
	if !until.After(present.until) {
		return
	}
	if !present.active(now) {
		present = backoff{began: now}
	}
	present.until = until
	r.backoffs[id] = present
	r.applyNotices(id)
	r.boundBackoffs(now)
}

// boundBackoffs keeps the number of backoffs within maxBackoffs: those that have ended are
// removed first, then the oldest.
func (r *Router) boundBackoffs(now time.Time) {
	if len(r.backoffs) <= maxBackoffs {
		return
	}
	r.ForgetBackoffs(now)
	for len(r.backoffs) > maxBackoffs {
		var oldest TargetID
		for id, known := range r.backoffs {
			if oldest == "" || known.began.Before(r.backoffs[oldest].began) {
				oldest = id
			}
		}
		delete(r.backoffs, oldest)
		r.applyNotices(oldest)
	}
}

// BackedOff returns until when a target accepts nothing from this VM, and whether it does.
func (r *Router) BackedOff(id TargetID, now time.Time) (until time.Time, backedOff bool) {
	known := r.backoffs[id]
	return known.until, known.active(now)
}

// ForgetBackoffs removes the backoffs that have ended.
func (r *Router) ForgetBackoffs(now time.Time) {
	maps.DeleteFunc(r.backoffs, func(_ TargetID, known backoff) bool { return !known.active(now) })
}

// BackedOffTarget is a target that accepts nothing from this VM until a time.
type BackedOffTarget struct {
	Target TargetID
	Until  time.Time
}

// BackedOffTargets returns the targets that this VM backs off from, sorted.
func (r *Router) BackedOffTargets(now time.Time) []BackedOffTarget {
	var backedOff []BackedOffTarget
	for id, known := range r.backoffs {
		if known.active(now) {
			backedOff = append(backedOff, BackedOffTarget{Target: id, Until: known.until})
		}
	}
	slices.SortFunc(backedOff, func(a, b BackedOffTarget) int { return cmp.Compare(a.Target, b.Target) })
	return backedOff
}

// EndBackoffs ends the backoffs of all incarnations of a target, at the request of an operator,
// and returns how many there were.
func (r *Router) EndBackoffs(name string) int {
	ended := 0
	for id := range r.backoffs {
		if id.Name() == name {
			delete(r.backoffs, id)
			r.applyNotices(id)
			ended++
		}
	}
	return ended
}

// shortOfTargets reports whether this VM backs off from a target of a service: the others have to
// bear its load.
func (r *Router) shortOfTargets(service string, now time.Time) bool {
	if len(r.backoffs) == 0 {
		return false
	}
	return slices.ContainsFunc(r.members[service], func(t *target) bool { return t.backoff.active(now) && t.acceptsWork() })
}

// hasCapacity reports whether a target of a plain service has capacity for one more request.
func (r *Router) hasCapacity(t *target, shortOfTargets bool) bool {
	return !shortOfTargets || t.ownWork.Requests < (requestsPerSlot*max(t.Slots, 1)+r.vms-1)/r.vms
}

// backoffEnd returns when a request that cannot be served now, for the sole reason of
// backoffs, may find a target again, and how long that backoff lasts in all.
func (r *Router) backoffEnd(service string, a PathRequest, now time.Time) (until time.Time, length time.Duration) {
	if !r.shortOfTargets(service, now) {
		return time.Time{}, 0
	}
	if r.servableAt(service, a, now) {
		return time.Time{}, 0
	}
	var backoffs []backoff
	for _, t := range r.members[service] {
		if t.backoff.active(now) && t.acceptsWork() {
			backoffs = append(backoffs, t.backoff)
		}
	}
	slices.SortFunc(backoffs, func(x, y backoff) int { return x.until.Compare(y.until) })
	// Those whose backoffs have ended by a time include those of any earlier time, so that the
	// search is over a monotonic condition.
	first := sort.Search(len(backoffs), func(i int) bool { return r.servableAt(service, a, backoffs[i].until) })
	if first == len(backoffs) {
		return time.Time{}, 0
	}
	return backoffs[first].until, backoffs[first].until.Sub(backoffs[first].began)
}

// servableAt reports whether the targets of a service whose backoffs have ended at a time, by
// what is known now, can serve a request.
func (r *Router) servableAt(service string, a PathRequest, at time.Time) bool {
	available := func(t *target) bool { return !t.backoff.active(at) && t.acceptsWork() }
	begins := func(t *target) bool { return available(t) && t.Layers.First == 0 && a.mayStartOn(t.ID) }
	return slices.ContainsFunc(r.members[service], begins) && r.coveredBy(r.services[service], available)
}

// RetryAt returns when the caller of a request that no target accepted is to retry: after a
// delay, or after a backoff if that is what keeps it from other targets.
func (r *Router) RetryAt(service string, delay time.Duration, now time.Time) time.Time {
	a := PathRequest{}
	a.permits = r.permitsFor(service, a, now)
	if refusal := r.noRoomRefusal(service, a, now); !refusal.NotBefore.IsZero() {
		return refusal.RetryAt
	}
	return now.Add(delay)
}
