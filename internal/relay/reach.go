package relay

import (
	"slices"
	"time"
)

// This file distinguishes a VM that has lost its links to the targets of a service from targets
// that are lost.
//
// Problem: a VM without links finds all targets failed. If it reports them, other VMs stop using
// healthy targets; if it retries them, its callers wait in vain.
//
// Algorithm: where two targets of a service fail within reachEvidenceTTL and none answers on a new
// connection meanwhile, it is doubtful whether this VM reaches the service. Until that is decided,
// it reports none of the service's targets as failed. It dials some others: if none of them
// accepts, it is isolated from the service until one accepts or answers: the failures do not count
// against the targets, and connections lead by way of other VMs (daemon/tunnels.go).
//
// Limits: if most targets of a service are lost, the ones that are dialed may all be among them.
// The VM then counts as isolated until the next check.

const (
	// reachEvidenceTTL is how long a failure counts.
	reachEvidenceTTL = 2 * time.Second
	// minUnreachedTargets is the number of targets that fail before this VM doubts its links.
	minUnreachedTargets = 2
	// reachCheckInterval is the interval at which some targets are dialed while that is in doubt,
	// and reachCheckTargets their number.
	reachCheckInterval = 250 * time.Millisecond
	reachCheckTargets  = 3
)

// reach is the evidence on whether this VM reaches the targets of a service.
type reach struct {
	// failed holds when targets have failed since one last answered on a new connection.
	failed map[TargetID]time.Time
	// isolatedSince is when this VM was found to be isolated from the service, or zero.
	isolatedSince time.Time
	checkAt       time.Time
}

func (r *Router) reachOf(service string) *reach {
	known, ok := r.reaches[service]
	if !ok {
		known = &reach{failed: make(map[TargetID]time.Time)}
		r.reaches[service] = known
	}
	return known
}

// doubtful reports whether this VM may have lost its links to the service.
func (c *reach) doubtful(now time.Time) bool {
	for id, at := range c.failed {
		if !now.Before(at.Add(reachEvidenceTTL)) {
			delete(c.failed, id)
		}
	}
	return len(c.failed) >= minUnreachedTargets
}

func (c *reach) isolated() bool { return !c.isolatedSince.IsZero() }

// RecordReached records that a target has answered on a new connection.
func (r *Router) RecordReached(id TargetID, now time.Time) {
	if t, ok := r.targets[id]; ok {
		r.setReached(t.Service, now)
	}
}

// setReached records that this VM reaches a service.
func (r *Router) setReached(service string, now time.Time) {
	c := r.reachOf(service)
	if c.isolated() {
		r.clearFailures(service)
	}
	clear(c.failed)
	c.isolatedSince = time.Time{}
}

// clearFailures forgets the failures of a service's targets that are due to this VM's links.
func (r *Router) clearFailures(service string) {
	for _, t := range r.members[service] {
		t.failedAt, t.suspectUntil, t.failuresInRow = time.Time{}, time.Time{}, 0
	}
}

// ReachCheck is a check of whether this VM reaches a service.
type ReachCheck struct {
	Service string
	// Failed is the number of targets that have failed since one last answered.
	Failed int
	// Targets are the ones to dial.
	Targets []Stage
}

// ReachChecks returns the checks that are due.
func (r *Router) ReachChecks(now time.Time) []ReachCheck {
	var due []ReachCheck
	for service, c := range r.reaches {
		if now.Before(c.checkAt) || !c.doubtful(now) && !c.isolated() {
			continue
		}
		c.checkAt = now.Add(reachCheckInterval)
		due = append(due, ReachCheck{Service: service, Failed: len(c.failed), Targets: r.reachTargets(service, c)})
	}
	return due
}

// reachTargets draws targets to dial, preferably such that have not failed.
func (r *Router) reachTargets(service string, c *reach) []Stage {
	var untried, tried []Stage
	for _, i := range r.rand.Perm(len(r.members[service])) {
		t := r.members[service][i]
		if t.Gone || t.superseded {
			continue
		}
		stage := Stage{Target: t.ID, Address: t.Address}
		if _, failed := c.failed[t.ID]; failed {
			tried = append(tried, stage)
			continue
		}
		untried = append(untried, stage)
	}
	targets := slices.Concat(untried, tried)
	return targets[:min(len(targets), reachCheckTargets)]
}

// ReachChange is a change of whether this VM is isolated from a service.
type ReachChange struct {
	Service  string
	Isolated bool
	// Since is when it was found to be isolated.
	Since time.Time
}

// RecordReachCheck records whether any target accepted a connection, and returns whether that
// changes anything.
func (r *Router) RecordReachCheck(service string, accepted bool, now time.Time) (ReachChange, bool) {
	c := r.reachOf(service)
	before := c.isolatedSince
	switch {
	case accepted:
		r.setReached(service, now)
	case !c.isolated() && c.doubtful(now):
		c.isolatedSince = now
		r.clearFailures(service)
	}
	if before.IsZero() == c.isolatedSince.IsZero() {
		return ReachChange{}, false
	}
	return ReachChange{Service: service, Isolated: c.isolated(), Since: laterTime(before, c.isolatedSince)}, true
}

// TargetAt returns the target at an address, and whether one is known.
func (r *Router) TargetAt(address string) (Target, bool) {
	for _, t := range r.targets {
		if t.Address == address && !t.Gone && !t.superseded {
			return t.Target, true
		}
	}
	return Target{}, false
}

// TargetNamed returns a target that has not ended, and whether it is known.
func (r *Router) TargetNamed(id TargetID) (Target, bool) {
	if t, ok := r.targets[id]; ok && !t.Gone && !t.superseded {
		return t.Target, true
	}
	return Target{}, false
}

// RecordUnreached records that a dial of a target failed that no request of this VM needed.
func (r *Router) RecordUnreached(id TargetID, now time.Time) {
	if t, ok := r.targets[id]; ok {
		r.reachOf(t.Service).failed[id] = now
	}
}

// Addresses returns the addresses of a service's targets.
func (r *Router) Addresses(service string) []string {
	var addresses []string
	for _, t := range r.members[service] {
		addresses = append(addresses, t.Address)
	}
	return addresses
}

// IsolatedFrom reports whether this VM is isolated from a service.
func (r *Router) IsolatedFrom(service string) bool {
	c, ok := r.reaches[service]
	return ok && c.isolated()
}

// doubts reports whether what this VM finds of a service's targets may be due to its own links.
func (r *Router) doubts(service string, now time.Time) bool {
	c, ok := r.reaches[service]
	return ok && (c.isolated() || c.doubtful(now))
}
