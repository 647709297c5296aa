package relay

import "time"

// This file moves a request from one path to another.
//
// Problem: when engines are full, a request that gives up its path may find no other one, though
// the engines on the old path, or the one that it waits for, would have served it after all.
//
// Algorithm: the new path and the repeat that it costs are taken together, while the request still
// runs on the old path, and only then may that run be ended. The old path's room counts as free
// for the new one, since both usually share engines.
//
// Invariants: a request that gets no other path keeps its room; a repeat is taken from the budget
// only together with a path.

// ChooseRepeat picks another path for a request after the given attempts and takes a repeat from
// the budget where one is needed, or does neither.
func (r *Router) ChooseRepeat(a PathRequest, tried Attempts, now time.Time) (Path, *Refusal) {
	if denial := r.denial(tried, now); denial != NotDenied {
		r.noteDenied(tried, denial, now)
		return Path{}, &Refusal{Kind: RefusedNotTaken, Denial: denial, Reason: denial.String()}
	}
	path, refusal := r.Choose(a, now)
	if refusal == nil && tried.NeedsRepeat() {
		r.AllowRepeat(tried.Service, tried.Resumed, now)
	}
	return path, refusal
}

// Reroute picks another path for a request that runs on p, as ChooseRepeat does, and releases p. If
// it returns a refusal, the request still holds p. begun indicates that RecordBegun was called for p.
func (r *Router) Reroute(p Path, begun bool, a PathRequest, tried Attempts, now time.Time) (Path, *Refusal) {
	r.Release(p, begun)
	next, refusal := r.ChooseRepeat(a, tried, now)
	if refusal != nil {
		r.occupy(p, begun)
	}
	return next, refusal
}

// occupy undoes Release.
func (r *Router) occupy(p Path, begun bool) {
	r.addInFlight(p, 1)
	if begun {
		return
	}
	for _, s := range p.Stages {
		if t, ok := r.targets[s.Target]; ok {
			t.ownWork.Unread += p.prompt
		}
	}
}
