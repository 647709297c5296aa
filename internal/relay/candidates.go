package relay

import (
	"slices"
	"time"
)

// This file holds what a Router knows about targets, and selects those that a request may
// go to.

// target is what a Router knows about one target.
type target struct {
	Target
	key        TargetKey
	ownWork    Work
	othersWork Work
	// failuresInRow counts failures in a row, and refusalsInRow refusals in a row.
	failuresInRow int
	suspectUntil  time.Time
	refusalsInRow int
	refusedUntil  time.Time
	// slowdownFactor is the factor that the target reported, valid until slowUntil. slowReports
	// counts how often it was found slow again.
	slowdownFactor float64
	slowReports    int
	slowUntil      time.Time
	// markedSlow is set if the target has reported a slowdown to another VM.
	markedSlow bool
	// failedAt is the time of the last certain failure, zero once the target has succeeded
	// again.
	failedAt    time.Time
	succeededAt time.Time
	// ownWorkAtReport is the work of this VM when the work of the others was last reported.
	ownWorkAtReport Work
	// silent is set if no VM has received a recent heartbeat of the target, or if at least
	// twice as many entry VMs find it failed as find it healthy. moving is set if it was ordered
	// to hold other layers.
	silent bool
	moving bool
	// backoff and draining come from the notices of the target: see Router.applyNotices.
	backoff  backoff
	draining bool
	// superseded is set if another incarnation runs in place of this one, which is then not
	// a member of its service.
	superseded bool
	// failures is a moving mean of recent results, from 0 (all succeeded) to 1 (all
	// failed).
	failures float64
}

// UpdateTargets applies new reports of targets.
func (r *Router) UpdateTargets(targets []Target) {
	for _, t := range targets {
		r.confirmDraining(t)
		known, ok := r.targets[t.ID]
		if !ok {
			known = &target{Target: t, key: t.ID.Key()}
			known.applyMark(r.marks[known.key])
			r.targets[t.ID] = known
			r.applyNotices(t.ID)
			r.members[t.Service] = append(r.members[t.Service], known)
			continue
		}
		if known.superseded {
			known.superseded = false
			r.members[known.Service] = append(r.members[known.Service], known)
		}
		known.Target = known.Target.merge(t)
		if known.Gone && known.ownWork.Requests == 0 {
			r.removeTarget(known)
		}
	}
}

func (r *Router) removeTarget(t *target) {
	delete(r.targets, t.ID)
	r.removeMember(t)
}

// removeMember removes a target from the members of its service.
func (r *Router) removeMember(t *target) {
	r.members[t.Service] = slices.DeleteFunc(r.members[t.Service], func(o *target) bool { return o == t })
}

// usable returns the members of a service that a request may go to. Targets that only this
// VM suspects are included if suspects is set.
func (r *Router) usable(service string, a PathRequest, now time.Time, suspects bool) []*target {
	var usable []*target
	for _, t := range r.members[service] {
		e := t.exclusion(a, now)
		if e == notExcluded || e == excludedSuspect && suspects {
			usable = append(usable, t)
		}
	}
	return usable
}

// connLimit returns this VM's share of the connections that a target accepts.
func (r *Router) connLimit(s *Service) int {
	if !r.settings.Policy.Has(ConnectionShares) {
		return max(1, s.MaxConns)
	}
	return max(1, s.MaxConns/r.vms)
}

// ConnLimit returns this VM's share of the connections to each target of a service.
func (r *Router) ConnLimit(service string) int {
	if s, ok := r.services[service]; ok {
		return r.connLimit(s)
	}
	return 1
}

const (
	// failurePenalty makes a target that fails everything count as busy as one with this
	// many requests in flight.
	failurePenalty = 20.0
	// otherHallLoad is the part of a request that a target in another hall counts as
	// additional load. It decides between targets that are equally busy, since traffic
	// between halls is priced.
	otherHallLoad = 0.3
)

// chooseTarget picks the target of a plain service with the fewest requests in flight.
func (r *Router) chooseTarget(s *Service, a PathRequest, now time.Time) (Path, bool) {
	scarce := r.shortOfTargets(s.Name, now)
	for _, suspects := range []bool{false, true} {
		var best *target
		leastBusy := 0.0
		for _, t := range r.usable(s.Name, a, now, suspects) {
			if !a.mayStartOn(t.ID) || !r.permitAvailable(t, a, now) || t.ownWork.Requests >= r.connLimit(s) || !r.hasCapacity(t, scarce) {
				continue
			}
			busy := float64(r.load(t).Requests) + r.rand.Float64()*otherHallLoad
			if r.settings.Policy.Has(FailureMean) {
				busy += failurePenalty * t.failures
			}
			if t.Hall != r.settings.Hall {
				busy += otherHallLoad
			}
			if best == nil || busy < leastBusy {
				best, leastBusy = t, busy
			}
		}
		if best != nil {
			return Path{Service: s.Name, Stages: []Stage{{Target: best.ID, Address: best.Address}}}, true
		}
	}
	return Path{}, false
}
