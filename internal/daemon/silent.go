package daemon

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/silence"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file abandons connections to targets that are silent while the target is healthy.
//
// A plain answer arrives at once and whole. If it is overdue on a reused connection, compared to
// earlier answers of its service, the request is sent again on a new connection. A stream is
// judged by its own gaps between events, and its engine is probed on a new connection. If the
// engine answers, reports the request neither stalled nor slow, and no event arrives for
// several gaps, the connection is at fault. Neither case counts against the target. Both use
// the retry budget, since the request may have run.

const (
	// minAnswerOverdue is the shortest wait for a plain answer before its reused connection is
	// suspected: at least twice the shortest objective of callers, so that a target that is
	// slow for a moment gets no second copy.
	minAnswerOverdue = 400 * time.Millisecond
	// silentGapFactor is how many of its own mean gaps a stream goes without an event before
	// its connection is suspected. It exceeds the largest multiple at which an event becomes
	// overdue.
	silentGapFactor = 6
	// minStreamSilence is the least such time: reports lag by 0.2 s, and two are needed.
	minStreamSilence = 600 * time.Millisecond
	// silentFirstFactor is the factor for a first event, relative to the time after which one
	// is overdue, and minFirstSilence the least such time: prompts queue up in a burst, and a
	// second copy would add to it.
	silentFirstFactor = 3
	minFirstSilence   = time.Second
	// requiredHealthyReports is how many consecutive reports show that the engine is healthy.
	requiredHealthyReports = 2
)

// answerTimes estimates the time to a plain answer, by service.
type answerTimes struct {
	mu        sync.Mutex
	byService map[string]silence.RTT
}

func (a *answerTimes) record(service string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byService == nil {
		a.byService = make(map[string]silence.RTT)
	}
	a.byService[service] = a.byService[service].With(took)
}

// overdueAfter returns the time after which an answer is overdue, or 0 if answers usually
// take longer than bound: then a late answer proves nothing about its connection.
func (a *answerTimes) overdueAfter(service string, bound time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	typical := a.byService[service].Timeout(min(minAnswerOverdue, bound), math.MaxInt64)
	if typical > bound {
		return 0
	}
	return typical
}

// usual returns the usual time to a plain answer of a service, or 0 if none is known.
func (a *answerTimes) usual(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byService[service].Usual()
}

func (g *Gateway) silenceBound() time.Duration {
	return time.Duration(g.daemon.settings.Timing.Silence)
}

// exchange sends a request to its first target. It sends it again on a new connection if a
// reused one was closed or silent and the request may be repeated.
func (f *forwarding) exchange(ctx context.Context, address string, request *target.Request) (*target.Answer, error) {
	bound := f.g.answers.overdueAfter(f.service, f.g.silenceBound())
	if !f.route.Stream && bound > 0 && len(f.call.Body) <= target.InlineBody {
		// The target may take any time to read a longer body.
		request.FirstByte = target.FirstByteWait{Timeout: bound, ShouldAbandon: f.takeResend}
	}
	request.Redial = f.leftSilentConn
	// After a try that broke off, use no idle connection, which may be silent too: a second copy
	// is seldom allowed.
	request.NewConn = request.NewConn || f.attempts.Ran.Any()
	f.leftSilentConn = false
	sentAt := clock.Now()
	answer, err := f.g.exchanger.Do(ctx, address, request)
	silent := errors.Is(err, target.ErrReusedSilent)
	if !silent && (!errors.Is(err, target.ErrStale) || ctx.Err() != nil || !f.takeResend()) {
		f.recordAnswerTime(sentAt, err)
		return answer, err
	}
	f.resent = true
	request.NewConn, request.Redial = true, silent
	resentAt := clock.Now()
	answer, err = f.g.exchanger.Do(ctx, address, request)
	f.recordAnswerTime(resentAt, err)
	if silent && err == nil {
		f.g.exchanger.CloseIdleSince(address, sentAt)
		f.g.daemon.recordSilentConnection(silentTarget, address, resentAt.Sub(sentAt), bound)
	}
	return answer, err
}

// recordAnswerTime records how long a plain answer took.
func (f *forwarding) recordAnswerTime(sent time.Time, err error) {
	if err == nil && !f.route.Stream {
		f.g.answers.record(f.service, clock.Since(sent))
	}
}

// recordHealthyReport records a report that the engine has not stalled; reports of a slow engine
// reset the count.
func (w *watcher) recordHealthyReport(report EngineReport) {
	if report.Pace > 1 {
		w.healthyReports = 0
		return
	}
	w.healthyReports++
}

// connectionSilent reports whether the stream's connection is silent and the stream can continue on
// another one.
func (w *watcher) connectionSilent() bool {
	after, known := w.silentAfter()
	if !known || w.healthyReports < requiredHealthyReports || clock.Since(w.pauseStart()) < after || !w.f.endRun() {
		return false
	}
	w.connSilent = true
	return true
}

// silentAfter returns the gap after which the connection is suspected, and whether one
// is known.
func (w *watcher) silentAfter() (time.Duration, bool) {
	bound := w.f.g.silenceBound()
	if bound <= 0 {
		return 0, false
	}
	if !w.f.promptProcessed {
		first := w.f.g.firstOverdueAfter()
		return max(silentFirstFactor*first, minFirstSilence), first > 0
	}
	mean := w.f.pace.Mean()
	if mean == 0 {
		return bound, true
	}
	return min(max(silentGapFactor*mean, minStreamSilence), bound), true
}

// leaveSilentConnection ends a try whose connection is silent. The target is not marked as failed.
func (f *forwarding) leaveSilentConnection(path relay.Path, watch *watcher) result {
	f.lastCause = "its connection fell silent"
	f.leftSilentConn = true
	address := path.First().Address
	closed := f.g.exchanger.CloseIdleSince(address, watch.pauseStart())
	age := clock.Since(watch.pauseStart())
	after, _ := watch.silentAfter()
	f.g.daemon.recordSilentConnection(silentStream, address, age, after)
	f.g.log.V(1).Info("stream leaves a silent connection", "request", f.call.ID, "address", address, "after", f.lastID, "silent_ms", age.Milliseconds(), "kept_left", closed)
	return resultBroken
}
