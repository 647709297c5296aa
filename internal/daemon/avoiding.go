package daemon

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file holds the targets that failed a request.

const (
	// initialAvoidance is how long a begun stream avoids a target that failed it; each further
	// failure doubles it up to maxAvoidance.
	initialAvoidance = time.Second
	maxAvoidance     = 8 * time.Second
)

// avoidedTarget is a target that failed a request.
type avoidedTarget struct {
	target   relay.TargetID
	failures int
	until    time.Time
}

// avoidedTargets are the targets that failed a request, each once.
type avoidedTargets []avoidedTarget

// With returns the targets with one more failure of a target.
func (a avoidedTargets) With(id relay.TargetID, now time.Time) avoidedTargets {
	next := slices.Clone(a)
	i := slices.IndexFunc(next, func(t avoidedTarget) bool { return t.target == id })
	if i < 0 {
		i = len(next)
		next = append(next, avoidedTarget{target: id})
	}
	next[i].until = now.Add(min(initialAvoidance<<min(next[i].failures, 4), maxAvoidance))
	next[i].failures++
	return next
}

// all returns all targets that failed.
func (a avoidedTargets) all() []relay.TargetID {
	var ids []relay.TargetID
	for _, t := range a {
		ids = append(ids, t.target)
	}
	return ids
}

// until returns the targets that are avoided beyond a time.
func (a avoidedTargets) until(now time.Time) []relay.TargetID {
	var ids []relay.TargetID
	for _, t := range a {
		if now.Before(t.until) {
			ids = append(ids, t.target)
		}
	}
	return ids
}
