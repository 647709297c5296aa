package relay

import "time"

// Attempts is what became of a request so far.
type Attempts struct {
	Route   *Route
	Service string
	// Begun says that the caller has a part of its answer.
	Begun bool
	// Asked counts the targets that were tried in vain, Sent those of them that a byte of
	// the request went to, and Ran those that may have run it.
	Asked, Sent, Ran int
	// Reached says that the last one is among Sent.
	Reached bool
}

// CouldRepeat reports whether MayRepeat would allow it, and takes nothing.
func (r *Router) CouldRepeat(a Attempts, now time.Time) bool {
	b := r.budget(a.Service)
	kept := *b
	ok, _ := r.MayRepeat(a, now)
	*b = kept
	return ok
}

// askedMost bounds the targets that are asked in vain for one request.
const askedMost = 4

// MayRepeat reports whether a request may go to another target, and takes it from the
// budget of repeats. Where nothing was sent, nothing is repeated: a target that can't be
// connected to costs neither the budget nor one of the targets that the route allows.
func (r *Router) MayRepeat(a Attempts, now time.Time) (ok bool, reason string) {
	most := max(a.Route.MaxTargets, 1)
	switch {
	case a.Ran > 0 && a.Route.Repeat == RepeatNever:
		return false, "it may have run, and may run once only"
	case a.Asked >= askedMost:
		return false, "several targets were asked"
	case a.Ran >= most, most == 1 && a.Sent >= 1:
		return false, "its route allows no more targets"
	case a.Sent > 0 && a.Reached && !r.Repeat(a.Service, a.Begun, now):
		return false, "the budget of repeats is used up"
	}
	return true, ""
}
