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

// Substitute returns a path with another engine in the place of one of its later stages,
// and counts the request as under way on it in place of the path given. The engine is one
// of the same hall, since a stage elsewhere crosses the pipes twice with each token.
func (r *Router) Substitute(p Path, id TargetID, now time.Time) (Path, bool) {
	s, ok := r.services[p.Service]
	at := slices.IndexFunc(p.Stages, func(s Stage) bool { return s.Target == id })
	if !ok || s.Engine == nil || at <= 0 || !r.settings.Policy.Has(StageReplacement) {
		return Path{}, false
	}
	var avoid []TargetID
	for _, stage := range p.Stages {
		avoid = append(avoid, stage.Target)
	}
	best := r.standIn(s, Ask{Prompt: p.tokens, Avoid: avoid}, p.Stages[at], p.Stages[0].hall, now)
	if best == nil {
		return Path{}, false
	}
	next := p
	next.Stages = slices.Clone(p.Stages)
	next.Stages[at] = Stage{Target: best.ID, Address: best.Address, Layers: p.Stages[at].Layers, hall: best.Hall}
	r.count(p, -1)
	r.count(next, 1)
	return next, true
}

// Restore counts a request as under way on a path again that Substitute has replaced.
func (r *Router) Restore(replaced, p Path) {
	r.count(replaced, -1)
	r.count(p, 1)
}

// standIn returns the engine of a hall that holds the layers of a stage, has room, and has
// the least under way; nil if there is none.
func (r *Router) standIn(s *Service, a Ask, stage Stage, hall string, now time.Time) *target {
	var best *target
	for _, t := range r.usable(s.Name, a, now, false) {
		kind, ok := s.Engine.accelerator(t.Accelerator)
		holds := t.Layers.First <= stage.Layers.First && t.Layers.Last >= stage.Layers.Last
		if !ok || !holds || t.Hall != hall || r.layersMost(s.Engine, kind, a, t) < stage.Layers.Len() {
			continue
		}
		if best == nil || r.load(t).Requests < r.load(best).Requests {
			best = t
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
