package relay

import (
	"slices"
	"time"
)

// This file replaces one stage of a request that runs.
//
// An engine that is first on a path can be told to go on with another engine in the place
// of a later one: the new one reads all tokens so far through its layers, and all other
// stages keep what they have. A run that begins anew reads them through all stages, costs
// a repeat, and loses the pause until then.

// stagesMost bounds the stages of a path that an engine takes.
const stagesMost = 32

// Substitute returns a path with other engines in the place of some of its later stages,
// and counts the request as under way on it in place of the path given. The engines are of
// the same hall, since a stage elsewhere crosses the pipes twice with each token.
func (r *Router) Substitute(p Path, ids []TargetID, now time.Time) (Path, bool) {
	s, ok := r.services[p.Service]
	if !ok || s.Engine == nil || len(ids) == 0 || !r.settings.Policy.Has(StageReplacement) {
		return Path{}, false
	}
	var avoid []TargetID
	for _, stage := range p.Stages {
		avoid = append(avoid, stage.Target)
	}
	next := p
	next.Stages = slices.Clone(p.Stages)
	for _, id := range ids {
		at := slices.IndexFunc(p.Stages, func(s Stage) bool { return s.Target == id })
		if at <= 0 {
			return Path{}, false
		}
		stages := r.standIns(s, Ask{Prompt: p.tokens, Avoid: avoid, answer: 1}, p.Stages[at], p.Stages[0], now)
		if len(stages) == 0 {
			return Path{}, false
		}
		for _, stage := range stages {
			avoid = append(avoid, stage.Target)
		}
		at = slices.IndexFunc(next.Stages, func(s Stage) bool { return s.Target == id })
		if at < 0 {
			continue // it was named twice
		}
		next.Stages = slices.Replace(next.Stages, at, at+1, stages...)
	}
	if len(next.Stages) > stagesMost {
		return Path{}, false
	}
	r.count(p, -1)
	r.count(next, 1)
	return next, true
}

// Restore counts a request as under way on a path again that Substitute has replaced.
func (r *Router) Restore(replaced, p Path) {
	r.count(replaced, -1)
	r.count(p, 1)
}

// standIns returns the stages that take the place of one: a single engine, or several that
// hold its layers between them; none where its hall has no room. A hall whose engines hold
// unlike ranges has several more often than one.
func (r *Router) standIns(s *Service, a Ask, lost, first Stage, now time.Time) []Stage {
	if best := r.standIn(s, a, lost, first.hall, now); best != nil {
		return []Stage{{Target: best.ID, Address: best.Address, Layers: lost.Layers, hall: best.Hall}}
	}
	hall := slices.DeleteFunc(r.usable(s.Name, a, now, false), func(t *target) bool { return t.Hall != first.hall })
	candidates := r.candidates(s, a, hall, now)
	arrivals := make([]arrival, s.Engine.Layers+1)
	arrivals[lost.Layers.First] = arrival{ok: true}
	r.relaxRange(s.Engine, a, candidates, lost.Layers, arrivals)
	if !arrivals[lost.Layers.Last].ok {
		return nil
	}
	stages, _ := reconstruct(arrivals, lost.Layers)
	return stages
}

// standIn draws an engine of a hall that holds the layers of a stage and has room; nil if
// there is none. An answer stands still until its new engine has read what it has so far,
// and when an engine dies all VMs move their answers at once: each engine is drawn with a
// probability that is proportional to the rate at which it reads, so that all are done at
// about the same time. The least of waits that are each multiplied by an exponential variate
// falls on one with a probability proportional to its inverse.
func (r *Router) standIn(s *Service, a Ask, stage Stage, hall string, now time.Time) *target {
	var best *target
	soonest := 0.0
	for _, t := range r.usable(s.Name, a, now, false) {
		kind, ok := s.Engine.accelerator(t.Accelerator)
		holds := t.Layers.First <= stage.Layers.First && t.Layers.Last >= stage.Layers.Last
		if !ok || !holds || t.Hall != hall || r.layerLimit(s.Engine, kind, a, t) < stage.Layers.Len() {
			continue
		}
		kind = kind.Slowed(t.slowdown(now))
		load := r.load(t)
		share := float64(t.Layers.Len()) / float64(s.Engine.Layers)
		wait := float64(load.Unread+a.Prompt) / s.Engine.readRate(kind, load, share) * r.rand.ExpFloat64()
		if best == nil || wait < soonest {
			best, soonest = t, wait
		}
	}
	return best
}

// MovingOn returns a later stage of a path whose engine was ordered to hold other layers.
func (r *Router) MovingOn(p Path) (TargetID, bool) {
	if !r.settings.Policy.Has(LeaveMoving) {
		return "", false
	}
	for _, s := range p.Stages[1:] {
		if t, ok := r.targets[s.Target]; ok && t.moving {
			return s.Target, true
		}
	}
	return "", false
}
