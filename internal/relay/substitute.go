package relay

import (
	"slices"
	"time"
)

// This file replaces stages of a running request.
//
// The engine that is first on a path can be ordered to continue with another engine in the
// place of a later one: the new engine reads all tokens so far through its layers, and all
// other stages keep their state. A run that starts over reads them through all stages,
// costs a repeat, and pauses the answer until then.

// maxStages bounds the stages of a path that an engine accepts.
const maxStages = 32

// Substitute returns a path with other engines in the place of some of its later stages,
// and counts the request as in flight on it instead of on p. The engines are in the same
// hall, since a stage elsewhere crosses the pipes twice with each token.
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
		stages := r.replacementStages(s, PathRequest{Prompt: p.tokens, Avoid: avoid, answer: 1}, p.Stages[at], p.Stages[0], now)
		if len(stages) == 0 {
			return Path{}, false
		}
		for _, stage := range stages {
			avoid = append(avoid, stage.Target)
		}
		at = slices.IndexFunc(next.Stages, func(s Stage) bool { return s.Target == id })
		if at < 0 {
			continue // the id is given twice
		}
		next.Stages = slices.Replace(next.Stages, at, at+1, stages...)
	}
	if len(next.Stages) > maxStages {
		return Path{}, false
	}
	r.addInFlight(p, -1)
	r.addInFlight(next, 1)
	return next, true
}

// UndoSubstitute undoes Substitute: it counts the request as in flight on the original path again.
func (r *Router) UndoSubstitute(replaced, p Path) {
	r.addInFlight(replaced, -1)
	r.addInFlight(p, 1)
}

// replacementStages returns the stages that replace a lost one: a single engine, or several
// that hold its layers between them, or none if the hall has no room. A hall whose engines
// hold different ranges more often has several than one.
func (r *Router) replacementStages(s *Service, a PathRequest, lost, first Stage, now time.Time) []Stage {
	if best := r.replacementEngine(s, a, lost, first.hall, now); best != nil {
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

// replacementEngine draws an engine of a hall that holds the layers of a stage and has
// room, or returns nil if there is none. An answer stalls until its new engine has read its
// tokens so far, and when an engine dies, all VMs move their answers at once. Each engine
// is drawn with a probability inversely proportional to the time that it would take, so
// that all finish at about the same time: the minimum of times that are each multiplied by
// an exponential variate falls on one with a probability proportional to its inverse.
func (r *Router) replacementEngine(s *Service, a PathRequest, stage Stage, hall string, now time.Time) *target {
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

// MovingStage returns a later stage of a path whose engine was ordered to hold other layers.
func (r *Router) MovingStage(p Path) (TargetID, bool) {
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
