package core

import (
	"fmt"
	"time"
)

// RefusalKind is the kind of a refusal, as reported to callers.
type RefusalKind string

// The kinds of refusals.
const (
	RefusedKey         RefusalKind = "invalid_api_key"
	RefusedPipeline    RefusalKind = "unknown_pipeline"
	RefusedService     RefusalKind = "unknown_service"
	RefusedRequest     RefusalKind = "invalid_request"
	RefusedTooLarge    RefusalKind = "too_large"
	RefusedNoLease     RefusalKind = "entry_without_lease"
	RefusedOutdated    RefusalKind = "configuration_outdated"
	RefusedLeaving     RefusalKind = "entry_leaving"
	RefusedLimit       RefusalKind = "organisation_limit"
	RefusedOverload    RefusalKind = "overloaded"
	RefusedDeadline    RefusalKind = "deadline_passed"
	RefusedNoTarget    RefusalKind = "no_target"
	RefusedBroken      RefusalKind = "target_failed"
	RefusedMoved       RefusalKind = "taken_over"
	RefusedLost        RefusalKind = "answer_not_kept"
	RefusedUnknown     RefusalKind = "outcome_unknown"
	RefusedConflict    RefusalKind = "identity_reused"
	RefusedControl     RefusalKind = "control_unreachable"
	RefusedUnprocessed RefusalKind = "caller_gone"
)

// Refusal is the final answer to a request that is refused or has failed.
type Refusal struct {
	Kind RefusalKind
	Ran  Ran
	// Reason and Remedy are sentences for the caller's operator.
	Reason string
	Remedy string
	// RetryAt is when a retry can succeed; zero where a retry does not help.
	RetryAt time.Time
	// Others are the addresses of other entry VMs that may serve the request.
	Others []string
}

// Error implements error.
func (r Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s; %s", r.Kind, r.Ran, r.Reason, r.Remedy)
}

// WithUnknownOutcome returns the refusal for a request that may have run in an earlier attempt, here or
// by way of another VM.
func (r Refusal) WithUnknownOutcome() Refusal {
	if r.Ran != RanNo {
		return r
	}
	r.Ran = RanUnknown
	r.Reason += "; an earlier attempt under this identity could not be ruled out"
	r.Remedy = "send it again under the same identity"
	return r
}

// WithRetryAt returns the refusal with the time at which to retry.
func (r Refusal) WithRetryAt(at time.Time) Refusal {
	r.RetryAt = at
	return r
}

// WithOthers returns the refusal with the addresses of other entry VMs to try.
func (r Refusal) WithOthers(addresses []string) Refusal {
	r.Others = addresses
	return r
}

func refusal(kind RefusalKind, ran Ran, reason, remedy string) Refusal {
	return Refusal{Kind: kind, Ran: ran, Reason: reason, Remedy: remedy}
}
