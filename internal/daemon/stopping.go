package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file ends the requests of a VM that stops as planned.
//
// Problem: the grace time of a stop runs from the signal, and a request may come late in it: its body is sent
// slowly, it waits for room, or it is repeated. A request that is in flight at the end of the grace time has its
// connection closed, and its caller can't know whether it ran.
//
// Algorithm: before each sending, a request whose answer usually takes longer than the VM lasts is refused
// as not run, so that its caller goes to another VM at once. The time that answers of a service usually
// take is observed. Shortly before the end, requests without an answer so far get their final one: those that
// were sent may have run. Answers that have begun go on to the end.
//
// Invariant: a request that was sent to a target gets an answer before its connection closes.

// stopAnswerTime is the part of the grace time in which requests that are still in flight get their final
// answers.
const stopAnswerTime = 150 * time.Millisecond

// errGraceEnded is the cause of the end of requests that a planned stop has ended.
var errGraceEnded = errors.New("this VM stops")

// Reloaded records that the settings were read again.
func (g *Gateway) Reloaded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plannedStop = g.plannedStop.WithReload(clock.Now())
}

// refuseOutlasting refuses a request whose answer would not end before the planned stop of this
// VM; relay.PlannedStop decides. The service is empty before the first choice of a target. The caller holds
// the gateway's lock.
func (g *Gateway) refuseOutlasting(call *Call, route *relay.Route, service string, now time.Time) *relay.Refusal {
	if !g.policy.Has(relay.StopAdmission) || !g.plannedStop.Planned() || len(route.Shares) == 0 {
		return nil
	}
	if service == "" {
		service = route.Shares[0].Service
	}
	if !g.plannedStop.Outlasts(g.answerTime(call, route, service, now), now) {
		return nil
	}
	return &relay.Refusal{Kind: relay.RefusedNoRoom, RetryAt: now.Add(retryDelay), NotBefore: g.plannedStop.At, Reason: "this VM stops before the answer would end"}
}

// answerTime returns the time that the answer to a call usually takes. The caller holds the gateway's lock.
func (g *Gateway) answerTime(call *Call, route *relay.Route, service string, now time.Time) time.Duration {
	if !route.Stream {
		return g.answers.usual(service) + stopAnswerTime
	}
	return g.router.AnswerTime(service, g.plannedStop.EstimatedTokens(call.LengthHint, call.AnswerTokens, now))
}

// endAtStop returns a context that a planned stop ends, unless f.keepPastStop is called before.
func (f *forwarding) endAtStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.keepPastStop = context.AfterFunc(f.g.stopEnding, func() { cancel(errGraceEnded) })
	return ctx, func() {
		f.keepPastStop()
		cancel(nil)
	}
}

// beginAnswer records that the caller gets the head of an answer, which a planned stop does not end before
// its grace time does. It returns false if the stop has ended the request already.
func (f *forwarding) beginAnswer() bool {
	f.headSent = f.keepPastStop()
	return f.headSent
}

// refusalAtEnd returns the final answer of a request whose context has ended during a try.
func (f *forwarding) refusalAtEnd(ctx context.Context) *relay.Refusal {
	if !errors.Is(context.Cause(ctx), errGraceEnded) {
		return &relay.Refusal{Kind: relay.RefusedTimeout, Reason: "its time ran out under way"}
	}
	f.endCause = EndStopped
	kind := relay.RefusedNoRoom
	if f.sent || f.resent {
		kind = relay.RefusedUnknownRun
	}
	return &relay.Refusal{Kind: kind, RetryAt: clock.Now().Add(retryDelay), Reason: "this VM stops, and the request has not ended in time"}
}
