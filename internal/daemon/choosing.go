package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file chooses the next targets of a request, and waits where there are none.

// choose returns the next path. It waits for room where waitsForRoom allows it, or for a
// permit that is due soon enough.
func (f *forwarding) choose(ctx context.Context) (relay.Path, *relay.Refusal) {
	until := f.waitUntil()
	waiting := false
	for {
		path, refusal := f.g.choose(f, waiting)
		f.recordChosenRepeat(refusal)
		if refusal == nil {
			return path, nil
		}
		if refusal.Denial != relay.NotDenied {
			refusal = f.refusalFor(refusal.Denial)
		}
		if !f.worthWaiting(refusal, until) {
			return path, refusal
		}
		if refusal.AwaitsTrial {
			until = f.call.Arrived.Add(trialWait)
		}
		if refusal.NoPermit && !waiting {
			waiting = true
			stopWaiting := f.g.waitForPermit(refusal.Service, f.urgency())
			defer stopWaiting()
		}
		if !f.pause(ctx, until) {
			return path, refusal
		}
	}
}

// worthWaiting reports whether a choice that was refused may succeed if it is repeated before until.
func (f *forwarding) worthWaiting(r *relay.Refusal, until time.Time) bool {
	if r.Kind == relay.RefusedCrashes || r.Kind == relay.RefusedQuarantined {
		return r.AwaitsTrial
	}
	if !r.NotBefore.Before(until) || r.Denial != relay.NotDenied && !r.Denial.Temporary() {
		return false
	}
	return f.waitsForRoom() || r.NoPermit
}

// waitUntil returns until when a request waits for room, or for a repeat. An answer that has begun
// waits for all of its time: its caller can't be asked to come back, and ends the wait itself when
// it has no more patience. Targets that are taken for lost are no reason to end it sooner: they may
// only be silent. Other callers abandon a stream without an event after callerEventTimeout. A
// request that can be asked to come back waits for a permit only, for a part of its route's
// objective.
func (f *forwarding) waitUntil() time.Time {
	switch {
	case f.headSent:
		return f.deadline
	case f.waitsForRoom():
		return f.call.Arrived.Add(callerEventTimeout)
	}
	return f.call.Arrived.Add(min(f.route.Objective/permitWaitDivisor, callerEventTimeout))
}

// permitWaitDivisor is the divisor of a route's objective that gives the longest wait for a
// permit: the rest is for the answer.
const permitWaitDivisor = 2

// pause waits before the next check, and reports false when the wait is over.
func (f *forwarding) pause(ctx context.Context, until time.Time) bool {
	now := clock.Now()
	if !now.Before(until) {
		return false
	}
	since := f.call.Arrived
	if f.headSent {
		since = f.lastEvent
	}
	select {
	case <-time.After(min(max(now.Sub(since)/roomRetryDivisor, roomRetryInterval), maxRoomRetryInterval)):
		return true
	case <-ctx.Done():
		return false
	}
}

// waitsForRoom reports whether a request waits for room. A stream of which the caller has
// received a part, in this call or an earlier one, does: refusing it would discard completed
// work. So does any call on a VM that has just started and takes no more than its share.
func (f *forwarding) waitsForRoom() bool { return f.resumed() || f.g.starting() }

// resumed reports whether the caller has received a part of the answer, in this call or an
// earlier one.
func (f *forwarding) resumed() bool { return f.headSent || f.call.After != "" }

// starting reports whether this VM has not yet received what other VMs have in flight.
func (g *Gateway) starting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.router.OthersWorkKnown()
}

func (g *Gateway) choose(f *forwarding, waiting bool) (relay.Path, *relay.Refusal) {
	now := clock.Now()
	if refusal := g.quarantineRefusal(f, now); refusal != nil {
		return relay.Path{}, refusal
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !f.headSent {
		if refusal := g.refuseOutlasting(f.call, f.route, f.service, now); refusal != nil {
			return relay.Path{}, refusal
		}
	}
	request := f.pathRequest(f.attempts, waiting)
	if f.count > 0 {
		f.attempts.Waiting = now.Before(f.repeatWantedUntil)
		path, refusal := g.router.ChooseRepeat(request, f.attempts, now)
		if refusal == nil && f.attempts.NeedsRepeat() {
			f.repeatUntil, f.repeatExpired = now.Add(g.router.RepeatTTL()), false
		}
		return path, refusal
	}
	path, refusal := g.router.Choose(request, now)
	if refusal == nil {
		g.router.CountRequest(path.Service, f.call.Arrived)
	}
	return path, refusal
}

// pathRequest describes the request to the router, after some attempts. The caller holds the
// gateway's lock.
func (f *forwarding) pathRequest(after relay.Attempts, waiting bool) relay.PathRequest {
	return relay.PathRequest{
		Route: f.route, Service: f.service, Avoid: f.avoided(clock.Now()), Only: f.g.router.AllowedTargets(after),
		Prompt: f.call.PromptTokens, MaxTokens: f.call.AnswerTokens, LengthHint: f.call.LengthHint, Begun: f.headSent, Resumed: f.resumed(),
		Urgency: f.urgency(), Waiting: waiting,
	}
}

// avoided returns the targets that are excluded. A stream that has begun does not exclude
// targets that had no room, and those that failed only for a while: its caller can't be asked to
// come back, and a failure may be one of a connection or of another stage.
func (f *forwarding) avoided(now time.Time) []relay.TargetID {
	if f.headSent {
		return f.avoid.until(now)
	}
	return slices.Concat(f.avoid.all(), f.full)
}
