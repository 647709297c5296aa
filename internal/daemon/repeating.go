package daemon

import (
	"context"
	"slices"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file says whether a request goes to another target after a try; relay/repeat.go decides.

// noteAttempt takes what became of a try.
func (f *forwarding) noteAttempt(r result, path relay.Path) {
	if r != resultNotSent {
		delete(f.unreached, path.First().Target)
	}
	f.attempts = f.attemptsAfter(r, path)
}

// attemptsAfter returns the tries with one that ended so.
func (f *forwarding) attemptsAfter(r result, path relay.Path) relay.Attempts {
	a := f.attempts
	a.Asked++
	a.Reached = r != resultNotSent
	if a.Reached {
		a.Sent++
	}
	first := path.First().Target
	switch {
	case r == resultBroken:
		a.Ran = withTarget(a.Ran, first)
	case f.unreached[first] >= unreachedEnded:
		a.Ran = slices.DeleteFunc(slices.Clone(a.Ran), func(id relay.TargetID) bool { return id == first })
	}
	a.Route, a.Service, a.Begun = f.route, f.service, f.begun
	return a
}

// awaitRepeat returns why the request may not go to another target, or nil. A stream in the
// middle waits for a repeat: the budget refills as its window moves on, and to cut it would
// throw away what was done.
func (f *forwarding) awaitRepeat(ctx context.Context) *relay.Refusal {
	until := f.waitUntil()
	for {
		denial := f.mayRepeat()
		switch {
		case denial == relay.NotDenied:
			return nil
		case !f.begun || !denial.Passes() || !f.pause(ctx, until):
			return f.denied(denial)
		}
	}
}

// mayRepeat takes a repeat, or returns why there is none.
func (f *forwarding) mayRepeat() relay.Denial {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.router.MayRepeat(f.attempts, clock.Now())
}

// denied returns the refusal of a request that may not go to another target.
func (f *forwarding) denied(d relay.Denial) *relay.Refusal {
	if len(f.attempts.Ran) > 0 {
		return &relay.Refusal{Kind: relay.RefusedUnknownRun, Reason: "its target broke off: " + f.last + "; " + d.String()}
	}
	f.g.mu.Lock()
	retryAt := f.g.router.ComeBack(f.service, comeBackAtOnce, clock.Now())
	f.g.mu.Unlock()
	return &relay.Refusal{Kind: relay.RefusedNotTaken, RetryAt: retryAt, Reason: "no target took it: " + f.last + "; " + d.String()}
}

// couldRepeat reports whether the request may go to another target if its present try is
// given up.
func (f *forwarding) couldRepeat() bool {
	a := f.attemptsAfter(resultBroken, f.lastPath)
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.router.CouldRepeat(a, clock.Now())
}

// mayAskAgain reports whether a request whose kept connection was gone may be sent
// on a new one. A forgotten connection brings nothing to its target; one that broke
// at this moment may have, so that it counts as a repeat.
func (f *forwarding) mayAskAgain() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.route.Repeat != relay.RepeatNever && f.g.router.Repeat(f.service, f.begun, clock.Now())
}
