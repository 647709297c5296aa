package relay

import (
	"slices"
	"time"
)

// This file is what a Router knows of targets, and which of them a request may go to.

// target is what a Router knows of one target.
type target struct {
	Target
	key    TargetKey
	own    Work
	others Work
	// trouble grows with failures in a row, and fullness with refusals in a row.
	trouble      int
	suspectUntil time.Time
	fullness     int
	fullUntil    time.Time
	// pace is how slow it has said to be, for as long as that counts. slowness grows each
	// time that it is found slow again.
	pace      float64
	slowness  int
	slowUntil time.Time
	// slowElsewhere says that another VM has been told so.
	slowElsewhere bool
	// failedAt is when it last failed for certain, zero once it has done its part.
	failedAt    time.Time
	succeededAt time.Time
	// ownReported is what this VM had under way when the others' work was told.
	ownReported Work
	// silent says that the target has told no VM of late that it lives, or that
	// half of the VMs find it dead; moving that it was ordered to hold other layers.
	silent bool
	moving bool
	// backoff and draining are what it has said with its answers: see Router.noteSaid.
	backoff  backoff
	draining bool
	// void says that another incarnation runs in the place of this one. A void target is no member
	// of its service.
	void bool
	// failures is a moving mean of recent results: 0 all well, 1 all failed.
	failures float64
}

// TakeTargets takes what targets have newly said.
func (r *Router) TakeTargets(targets []Target) {
	for _, t := range targets {
		r.confirmDraining(t)
		known, ok := r.targets[t.ID]
		if !ok {
			known = &target{Target: t, key: t.ID.Key()}
			known.takeMark(r.marks[known.key])
			r.targets[t.ID] = known
			r.noteSaid(t.ID)
			r.members[t.Service] = append(r.members[t.Service], known)
			continue
		}
		if known.void {
			known.void = false
			r.members[known.Service] = append(r.members[known.Service], known)
		}
		known.Target = known.Target.merge(t)
		if known.Gone && known.own.Requests == 0 {
			r.drop(known)
		}
	}
}

func (r *Router) drop(t *target) {
	delete(r.targets, t.ID)
	r.leave(t)
}

// leave takes a target from the members of its service.
func (r *Router) leave(t *target) {
	r.members[t.Service] = slices.DeleteFunc(r.members[t.Service], func(o *target) bool { return o == t })
}

// usable returns the members of a service that a request may go to, those that
// this VM alone suspects only where they are asked for.
func (r *Router) usable(service string, a Ask, now time.Time, suspects bool) []*target {
	var usable []*target
	for _, t := range r.members[service] {
		if !t.takes() || t.backoff.holds(now) || t.silent && !slices.Contains(a.Only, t.ID) || t.moving || now.Before(t.fullUntil) || a.avoids(t.ID) {
			continue
		}
		if !suspects && now.Before(t.suspectUntil) {
			continue
		}
		usable = append(usable, t)
	}
	return usable
}

// connLimit is this VM's part of the connections that a target accepts.
func (r *Router) connLimit(s *Service) int {
	if !r.settings.Policy.Has(ConnectionShares) {
		return max(1, s.MaxConns)
	}
	return max(1, s.MaxConns/r.vms)
}

// ConnLimit returns this VM's part of the connections to each target of a service.
func (r *Router) ConnLimit(service string) int {
	if s, ok := r.services[service]; ok {
		return r.connLimit(s)
	}
	return 1
}

const (
	// failurePenalty makes a target that fails everything look as busy as one
	// with so many requests.
	failurePenalty = 20.0
	// crossHall is the part of a request that another hall counts for: it decides
	// between equals, since bytes between halls are priced.
	crossHall = 0.3
)

// chooseTarget picks the target of a plain service with the least under way.
func (r *Router) chooseTarget(s *Service, a Ask, now time.Time) (Path, bool) {
	scarce := r.scarce(s.Name, now)
	for _, suspects := range []bool{false, true} {
		var best *target
		least := 0.0
		for _, t := range r.usable(s.Name, a, now, suspects) {
			if !r.takesMore(t, a, now) || t.own.Requests >= r.connLimit(s) || !r.hasPlace(t, scarce) {
				continue
			}
			busy := float64(r.load(t).Requests) + r.rand.Float64()*crossHall
			if r.settings.Policy.Has(FailureMean) {
				busy += failurePenalty * t.failures
			}
			if t.Hall != r.settings.Hall {
				busy += crossHall
			}
			if best == nil || busy < least {
				best, least = t, busy
			}
		}
		if best != nil {
			return Path{Service: s.Name, Stages: []Stage{{Target: best.ID, Address: best.Address}}}, true
		}
	}
	return Path{}, false
}
