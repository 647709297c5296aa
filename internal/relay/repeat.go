package relay

import "time"

// Attempts is the state of a request after the attempts so far.
type Attempts struct {
	Route   *Route
	Service string
	// Begun is set if the caller has received a part of the answer, Resumed also if it was in an
	// earlier request.
	Begun, Resumed bool
	// Waiting is set if the request waits for a repeat and has recently been counted as one that
	// wants it.
	Waiting bool
	// Tried counts the targets that were tried without success, and Sent those of them that
	// any byte of the request was sent to.
	Tried, Sent int
	// Ran holds the targets that may have run the request.
	Ran Runs
	// Reached is set if the last target tried is counted in Sent.
	Reached bool
	// RepeatExpired is set if the repeat that was taken last expired before it was sent.
	RepeatExpired bool
}

// Denial is the reason why a request may not go to another target.
type Denial int

// The denials.
const (
	// NotDenied: the request may go to another target.
	NotDenied Denial = iota
	// DeniedRunsOnce: the request may have run, and may run only once.
	DeniedRunsOnce
	// DeniedAsked: several targets were tried without success.
	DeniedAsked
	// DeniedRoute: its route allows no more targets.
	DeniedRoute
	// DeniedBudget: the repeat budget is used up for now.
	DeniedBudget
)

// String returns the reason for callers and logs.
func (d Denial) String() string {
	return [...]string{
		"allowed",
		"it may have run, and may run once only",
		"several targets were asked",
		"its route allows no more targets",
		"the budget of repeats is used up",
	}[d]
}

// Temporary reports whether the denial is temporary: it ends once other requests repeat less.
func (d Denial) Temporary() bool { return d == DeniedBudget }

// maxTried bounds the targets that are tried for a request that has not begun: its caller
// can be asked to retry. A request whose caller has a part of the answer is tried until the
// wait for it is over.
const maxTried = 4

// noteDenied records that a request wants a repeat that it was denied.
func (r *Router) noteDenied(a Attempts, d Denial, now time.Time) {
	if d == DeniedBudget && !a.Waiting {
		r.budget(a.Service).noteDenied(a.Resumed, now)
	}
}

// CanRepeat reports whether a request may go to another target, without taking a repeat from the
// budget. If nothing was sent, nothing is repeated: a target that cannot be connected to costs
// neither budget nor one of the targets that the route allows.
func (r *Router) CanRepeat(a Attempts, now time.Time) bool { return r.denial(a, now) == NotDenied }

// NeedsRepeat reports whether another target would cost a repeat of the budget.
func (a Attempts) NeedsRepeat() bool { return a.Sent > 0 && (a.Reached || a.RepeatExpired) }

func (r *Router) denial(a Attempts, now time.Time) Denial {
	most := max(a.Route.MaxTargets, 1)
	switch {
	case a.Ran.Any() && a.Route.Repeat == RepeatNever:
		return DeniedRunsOnce
	case a.Tried >= maxTried && !a.Begun:
		return DeniedAsked
	case len(a.Ran.Counted()) >= most && !a.Begun, most == 1 && a.Sent >= 1:
		return DeniedRoute
	case a.NeedsRepeat() && r.repeatsLeft(a.Service, a.Resumed, now) < 1:
		return DeniedBudget
	}
	return NotDenied
}

// AllowedTargets returns the targets that a request may still begin on, or nil for any. A request
// may run on as many targets as its route allows; after that, an answer that has begun
// continues on targets that have run it. Targets that have signed off since do not count. A
// target that is silent, or that VMs find failed, may still be live.
func (r *Router) AllowedTargets(a Attempts) []TargetID {
	if !a.Ran.Any() {
		return nil
	}
	var live []TargetID
	for _, id := range a.Ran.Counted() {
		if t, ok := r.targets[id]; ok && !t.Gone {
			live = append(live, id)
		}
	}
	if len(live) < max(a.Route.MaxTargets, 1) {
		return nil
	}
	return live
}
