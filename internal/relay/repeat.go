package relay

import "time"

// Attempts is what became of a request so far.
type Attempts struct {
	Route   *Route
	Service string
	// Begun says that the caller has a part of its answer.
	Begun bool
	// Asked counts the targets that were tried in vain, and Sent those of them that a byte
	// of the request went to.
	Asked, Sent int
	// Ran holds the targets that may have run it, each once, without those that were found
	// to have ended since.
	Ran []TargetID
	// Reached says that the last one is among Sent.
	Reached bool
}

// Denial is why a request may not go to another target.
type Denial int

// The denials.
const (
	// NotDenied: it may.
	NotDenied Denial = iota
	// DeniedRunsOnce: it may have run, and may run once only.
	DeniedRunsOnce
	// DeniedAsked: several targets were asked in vain.
	DeniedAsked
	// DeniedRoute: its route allows no more targets.
	DeniedRoute
	// DeniedBudget: the budget of repeats is used up for now.
	DeniedBudget
)

// String returns the reason that callers and logs are given.
func (d Denial) String() string {
	return [...]string{
		"allowed",
		"it may have run, and may run once only",
		"several targets were asked",
		"its route allows no more targets",
		"the budget of repeats is used up",
	}[d]
}

// Passes reports whether the denial is over once others have repeated less.
func (d Denial) Passes() bool { return d == DeniedBudget }

// CouldRepeat reports whether MayRepeat would allow it, and takes nothing.
func (r *Router) CouldRepeat(a Attempts, now time.Time) bool {
	b := r.budget(a.Service)
	kept := *b
	denial := r.MayRepeat(a, now)
	*b = kept
	return denial == NotDenied
}

// askedMost bounds the targets that are asked in vain for one request that has not begun:
// its caller can be told to come back. One whose caller has a part is asked for until the
// wait for it is over.
const askedMost = 4

// MayRepeat returns why a request may not go to another target, and takes the repeat from
// the budget where it may. Where nothing was sent, nothing is repeated: a target that can't
// be connected to costs neither the budget nor one of the targets that the route allows.
func (r *Router) MayRepeat(a Attempts, now time.Time) Denial {
	most := max(a.Route.MaxTargets, 1)
	switch {
	case len(a.Ran) > 0 && a.Route.Repeat == RepeatNever:
		return DeniedRunsOnce
	case a.Asked >= askedMost && !a.Begun:
		return DeniedAsked
	case len(a.Ran) >= most && !a.Begun, most == 1 && a.Sent >= 1:
		return DeniedRoute
	case a.Sent > 0 && a.Reached && !r.Repeat(a.Service, a.Begun, now):
		return DeniedBudget
	}
	return NotDenied
}

// OnlyOn returns the targets that a request may still begin on; nil for any. A request may
// run on as many targets as its route allows, and an answer in the middle goes on with
// those that it has run on. Those that have signed off since do not count; one that is
// silent, or that VMs find dead, may live.
func (r *Router) OnlyOn(a Attempts) []TargetID {
	if len(a.Ran) == 0 {
		return nil
	}
	var live []TargetID
	for _, id := range a.Ran {
		if t, ok := r.targets[id]; ok && !t.Gone {
			live = append(live, id)
		}
	}
	if len(live) < max(a.Route.MaxTargets, 1) {
		return nil
	}
	return live
}
