package relay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file determines why targets are not used for a request, and summarizes that for the log.

// exclusion is the reason why a request does not go to a target.
type exclusion int

const (
	notExcluded exclusion = iota
	// excludedLeaving: it accepts no new work.
	excludedLeaving
	// excludedBackoff: it has asked VMs to back off.
	excludedBackoff
	// excludedSilent: all VMs take it for lost.
	excludedSilent
	// excludedMoving: it was ordered to hold other layers.
	excludedMoving
	// excludedRefused: it had no room moments ago.
	excludedRefused
	// excludedAvoided: it has failed this request.
	excludedAvoided
	// excludedSuspect: this VM takes it for lost.
	excludedSuspect
	numExclusions
)

// String returns the name of the reason in log lines.
func (e exclusion) String() string {
	return [...]string{"none", "leaving", "backed_off", "silent", "moving", "refused", "avoided", "suspect"}[e]
}

// exclusion returns why a request does not go to a target: the first reason that applies.
func (t *target) exclusion(a PathRequest, now time.Time) exclusion {
	switch {
	case !t.acceptsWork():
		return excludedLeaving
	case t.backoff.active(now):
		return excludedBackoff
	case t.silent && !slices.Contains(a.Only, t.ID):
		return excludedSilent
	case t.moving:
		return excludedMoving
	case now.Before(t.refusedUntil):
		return excludedRefused
	case a.avoids(t.ID):
		return excludedAvoided
	case now.Before(t.suspectUntil):
		return excludedSuspect
	}
	return notExcluded
}

// Shortage explains for the log why a request finds no path, as sums over the targets of its
// service.
type Shortage struct {
	// Targets are the targets of the service, and excluded those that the request does not go to,
	// by reason.
	Targets  int
	excluded [numExclusions]int
	// Full have no memory for a layer of the request, and CantStart could run it only as a later
	// stage: no slot, connection or permit is free, or the request may not begin there.
	Full, CantStart int
	// Lacking are the layers that no target in reach has memory for.
	Lacking []config.Range
	// Repeats is what the repeat budget of this VM has left for begun answers, and
	// UnstartedRepeats the part of it that other requests may use.
	Repeats, UnstartedRepeats int
}

// Leaving returns how many targets of the service accept no new work.
func (s Shortage) Leaving() int { return s.excluded[excludedLeaving] }

// Shortage returns what a request finds of the targets of its service.
func (r *Router) Shortage(a PathRequest, now time.Time) Shortage {
	s := Shortage{
		Targets: len(r.members[a.Service]),
		Repeats: r.repeatsLeft(a.Service, true, now), UnstartedRepeats: r.repeatsLeft(a.Service, false, now),
	}
	for _, t := range r.members[a.Service] {
		s.excluded[t.exclusion(a, now)]++
	}
	if service, ok := r.services[a.Service]; ok && service.Engine != nil && service.Engine.Layers > 0 {
		r.addLacking(service, a.withExpectedAnswer(service.Engine), now, &s)
	}
	return s
}

// addLacking adds the engines without room, and the layers that no engine has room for.
func (r *Router) addLacking(service *Service, a PathRequest, now time.Time, s *Shortage) {
	engines := r.usable(service.Name, a, now, true)
	candidates := r.candidates(service, a, engines, now)
	s.Full = len(engines) - len(candidates)
	covered := make([]bool, service.Engine.Layers)
	for i := range candidates {
		c := &candidates[i]
		if !c.canStart {
			s.CantStart++
		}
		for layer := c.Layers.First; layer < c.Layers.Last; layer++ {
			covered[layer] = true
		}
	}
	for layer := 0; layer < len(covered); {
		if covered[layer] {
			layer++
			continue
		}
		first := layer
		for layer < len(covered) && !covered[layer] {
			layer++
		}
		s.Lacking = append(s.Lacking, config.Range{First: first, Last: layer})
	}
}

// String formats the shortage for the log, without the counts that are zero.
func (s Shortage) String() string {
	text := []string{fmt.Sprintf("targets=%d", s.Targets)}
	count := func(name string, n int) {
		if n > 0 {
			text = append(text, fmt.Sprintf("%s=%d", name, n))
		}
	}
	for e := notExcluded + 1; e < numExclusions; e++ {
		count(e.String(), s.excluded[e])
	}
	count("full", s.Full)
	count("cant_start", s.CantStart)
	for _, layers := range s.Lacking {
		text = append(text, "lacking="+layers.String())
	}
	return strings.Join(append(text, fmt.Sprintf("repeats=%d unstarted_repeats=%d", s.Repeats, s.UnstartedRepeats)), " ")
}
