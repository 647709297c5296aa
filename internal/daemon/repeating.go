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
		delete(f.refusedDials, path.First().Target)
	}
	f.attempts = f.attemptsAfter(r, path)
	f.recordTry(r, path)
}

// attemptsAfter returns the attempts with one more that ended with r.
func (f *forwarding) attemptsAfter(r result, path relay.Path) relay.Attempts {
	first := path.First().Target
	a := f.attempts.With(relay.Try{
		Target: first, Sent: r != resultNotSent, MayHaveRun: r == resultBroken,
		Ended: f.refusedDials[first] >= refusedDialThreshold, RepeatExpired: f.repeatExpired,
	})
	a.Route, a.Service, a.Begun, a.Resumed = f.route, f.service, f.headSent, f.resumed()
	return a
}

// overSendings returns the result of a try whose last sending had the result r: what is known of the
// last one does not hold for the one before it, which may have run.
func (f *forwarding) overSendings(r result) result {
	if f.resent && (r == resultNotRun || r == resultNotSent) {
		return resultBroken
	}
	return r
}

// next returns the path of the next try.
func (f *forwarding) next(ctx context.Context) (relay.Path, *relay.Refusal) {
	if f.secured != nil {
		path := *f.secured
		f.secured = nil
		return path, nil
	}
	return f.choose(ctx)
}

// refusalFor returns the refusal of a request that may not go to another target.
func (f *forwarding) refusalFor(d relay.Denial) *relay.Refusal {
	if f.attempts.Ran.Any() {
		return &relay.Refusal{Kind: relay.RefusedUnknownRun, Denial: d, Reason: "its target broke off: " + f.lastCause + "; " + d.String()}
	}
	f.g.mu.Lock()
	retryAt := f.g.router.RetryAt(f.service, retryDelay, clock.Now())
	f.g.mu.Unlock()
	return &relay.Refusal{Kind: relay.RefusedNotTaken, RetryAt: retryAt, Denial: d, Reason: "no target took it: " + f.lastCause + "; " + d.String()}
}

// endRun prepares the end of the present run because of some targets on its path, and reports
// whether it may be ended: once another path is secured, since it may still go on. A request that
// has not begun is given up shortly before its caller leaves, if it may be sent again.
func (f *forwarding) endRun(culprits ...relay.TargetID) bool {
	if f.secure(culprits) {
		return true
	}
	if f.headSent || clock.Now().Before(f.call.Arrived.Add(callerEventTimeout)) {
		return false
	}
	return f.couldRepeat()
}

// secure takes another path for the request, without some targets, and releases the present one.
func (f *forwarding) secure(without []relay.TargetID) bool {
	now := clock.Now()
	if f.g.quarantineRefusal(f, now) != nil {
		return false
	}
	attempts := f.attemptsAfter(resultBroken, f.lastPath)
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	request := f.pathRequest(attempts, false)
	if len(request.Only) > 0 {
		request.Only = slices.DeleteFunc(request.Only, func(id relay.TargetID) bool { return slices.Contains(without, id) })
		if len(request.Only) == 0 {
			return false
		}
	}
	request.Avoid = slices.Concat(request.Avoid, without)
	path, refusal := f.g.router.Reroute(f.lastPath, f.promptProcessed, request, attempts, now)
	if refusal != nil {
		return false
	}
	f.secured = &path
	f.repeatUntil = now.Add(f.g.router.RepeatTTL())
	f.g.meter.repeated(f.service, RepeatInsteadOfRun, true)
	f.logRepeat(RepeatInsteadOfRun, attempts.Ran)
	return true
}

// releaseSecured releases a secured path that is not used.
func (f *forwarding) releaseSecured() {
	if f.secured == nil {
		return
	}
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.g.router.Release(*f.secured, false)
	if f.secured.HasPermit() {
		f.g.router.EndReservation(f.secured.First().Target, false, clock.Now())
	}
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
	if f.route.Repeat == relay.RepeatNever {
		return false
	}
	f.g.mu.Lock()
	allowed := f.g.router.AllowRepeat(f.service, f.resumed(), clock.Now())
	f.g.mu.Unlock()
	denial := relay.DeniedBudget
	if allowed {
		denial = relay.NotDenied
		f.repeatUntil = clock.Now().Add(f.g.router.RepeatTTL())
	}
	f.recordRepeat(RepeatOnNewConn, denial)
	return allowed
}
