package daemon

import (
	"context"
	"slices"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file reports whether a request goes to another target after a try; relay/repeat.go
// decides.

// recordAttempt records the outcome of a try.
func (f *forwarding) recordAttempt(r result, path relay.Path) {
	if r != resultNotSent {
		delete(f.failedDials, path.First().Target)
	}
	f.attempts = f.attemptsAfter(r, path)
	f.recordTry(r, path)
}

// attemptsAfter returns the attempts with one more that ended with r.
func (f *forwarding) attemptsAfter(r result, path relay.Path) relay.Attempts {
	a := f.attempts
	a.Tried++
	a.Reached = r != resultNotSent
	if a.Reached {
		a.Sent++
	}
	first := path.First().Target
	switch {
	case r == resultBroken:
		a.Ran = withTarget(a.Ran, first)
	case f.failedDials[first] >= failedDialThreshold:
		a.Ran = slices.DeleteFunc(slices.Clone(a.Ran), func(id relay.TargetID) bool { return id == first })
	}
	a.Route, a.Service, a.Begun = f.route, f.service, f.headSent
	return a
}

// awaitRepeat returns why the request may not go to another target, or nil. A stream that has
// begun waits for a repeat: the retry budget refills as its window advances, and cutting the
// stream off would discard completed work.
func (f *forwarding) awaitRepeat(ctx context.Context) *relay.Refusal {
	until := f.waitUntil()
	for {
		denial := f.takeRepeat()
		switch {
		case denial == relay.NotDenied:
			return nil
		case !f.headSent || !denial.Temporary() || !f.pause(ctx, until):
			return f.refusalFor(denial)
		}
	}
}

// takeRepeat takes a repeat from the retry budget, or returns why it is denied.
func (f *forwarding) takeRepeat() relay.Denial {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.router.TryRepeat(f.attempts, clock.Now())
}

// refusalFor returns the refusal of a request that may not go to another target.
func (f *forwarding) refusalFor(d relay.Denial) *relay.Refusal {
	if len(f.attempts.Ran) > 0 {
		return &relay.Refusal{Kind: relay.RefusedUnknownRun, Denial: d, Reason: "its target broke off: " + f.lastCause + "; " + d.String()}
	}
	f.g.mu.Lock()
	retryAt := f.g.router.RetryAt(f.service, retryDelay, clock.Now())
	f.g.mu.Unlock()
	return &relay.Refusal{Kind: relay.RefusedNotTaken, RetryAt: retryAt, Denial: d, Reason: "no target took it: " + f.lastCause + "; " + d.String()}
}

// couldRepeat reports whether the request may go to another target if its present try is
// abandoned.
func (f *forwarding) couldRepeat() bool {
	a := f.attemptsAfter(resultBroken, f.lastPath)
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.router.CanRepeat(a, clock.Now())
}

// takeResend reports whether a request whose reused connection was lost may be sent on a new
// one. A connection that the target had dropped before delivers nothing; one that broke just
// now may have delivered the request, so it counts as a repeat.
func (f *forwarding) takeResend() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.route.Repeat != relay.RepeatNever && f.g.router.AllowRepeat(f.service, f.headSent, clock.Now())
}
