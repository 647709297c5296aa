package relay

import (
	"fmt"
	"time"
)

// RefusalKind is the reason why a request was not served.
type RefusalKind int

// The kinds of refusals. All except RefusedUnknownRun, RefusedTimeout and RefusedCrashes
// mean that the request has not run and will not run.
const (
	// RefusedNoDocument: this VM has no configuration that it may act on.
	RefusedNoDocument RefusalKind = iota
	// RefusedNoRoute: no route matches the path.
	RefusedNoRoute
	// RefusedKey: the key is missing or belongs to no organisation.
	RefusedKey
	// RefusedTooLarge: the body is over the limit.
	RefusedTooLarge
	// RefusedNoRoom: no target has room, or none is known.
	RefusedNoRoom
	// RefusedNotTaken: targets were tried and none ran the request.
	RefusedNotTaken
	// RefusedUnknownRun: the request was sent, and it is unknown whether it ran.
	RefusedUnknownRun
	// RefusedTimeout: the route's timeout expired while the request was in flight.
	RefusedTimeout
	// RefusedNoMemory: this VM has no memory left for the request.
	RefusedNoMemory
	// RefusedCrashes: the request has ended the targets that ran it, and is sent to no
	// other.
	RefusedCrashes
	// RefusedQuarantined: requests that have something in common with it have ended the targets that
	// ran them. It is sent to no target.
	RefusedQuarantined
	// RefusedUnreadable: the request could not be read completely.
	RefusedUnreadable
	// RefusedOutdated: the configuration doesn't allow the request, and a newer one may.
	RefusedOutdated
)

// String returns the name of the kind.
func (k RefusalKind) String() string {
	return [...]string{"no document", "no route", "key", "too large", "no room", "not taken", "unknown run", "timeout", "no memory", "crashes its targets", "quarantined", "unreadable", "outdated"}[k]
}

// Refusal is a final answer other than the requested one.
type Refusal struct {
	Kind RefusalKind
	// RetryAt is when the caller should retry; zero if a retry is of no use.
	RetryAt time.Time
	// NotBefore is the earliest time at which another search for a target may succeed; zero
	// if any may.
	NotBefore time.Time
	// NoPermit is set if targets would have served the request but for their limits on
	// requests a second.
	NoPermit bool
	// AwaitsTrial is set if the request may be sent soon, as a trial of what is in quarantine or after
	// one.
	AwaitsTrial bool
	// Denial is why no other target was tried, if that is the reason.
	Denial Denial
	// Service is the service of these targets.
	Service string
	// Reason is the text for the log and the caller.
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Reason) }

// WithNewerPossible returns the refusal of a request that the configuration doesn't allow if a newer
// one may be in force elsewhere, and any other refusal as it is.
func (r *Refusal) WithNewerPossible(retryAt time.Time) *Refusal {
	if r == nil || r.Kind != RefusedNoRoute && r.Kind != RefusedKey {
		return r
	}
	outdated := *r
	outdated.Kind, outdated.RetryAt = RefusedOutdated, retryAt
	outdated.Reason = "this VM may lack a change of the configuration, by which " + r.Reason
	return &outdated
}

// NotRun reports whether the refusal means that the request has not run.
func (r *Refusal) NotRun() bool {
	return r.Kind != RefusedUnknownRun && r.Kind != RefusedTimeout && r.Kind != RefusedCrashes
}
