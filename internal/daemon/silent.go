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

// This file leaves connections to targets that have fallen silent while the target is well.
//
// A plain answer comes at once and whole: one that is overdue on a kept connection, by the
// answers of its service so far, is asked for again on a new one. A stream tells by its own
// pauses, and its engine is asked on a new connection: one that answers, does not say that
// the request stands still or that it is slow, and brings no event for several pauses, is
// not heard because of the connection. Neither counts against the target; both are drawn
// from the budget of repeats, since the request may have run.

const (
	// answerOverdueLeast is the shortest wait for a plain answer before its kept connection
	// is in doubt: twice the shortest objective of callers and more, so that a target which
	// is slow for a moment gets no second copy.
	minAnswerOverdue = 400 * time.Millisecond
	// silentPauses is how many of its own mean pauses a stream is without an event before
	// its connection is in doubt: more than the multiple at which an event can at most be
	// overdue.
	silentGapFactor = 6
	// silentLeast is the least time for that: reports lag by 0.2 s, and two are needed.
	minStreamSilence = 600 * time.Millisecond
	// silentFirsts is that for a first event, as a multiple of the time after which one is
	// overdue, and silentFirst the least time for it: prompts queue up at once in a burst,
	// and a second copy would add to it.
	silentFirstFactor = 3
	minFirstSilence   = time.Second
	// soundReports is how many reports in a row say that the engine does its part.
	requiredHealthyReports = 2
)

// answerTimes estimates the time to a plain answer, by service.
type answerTimes struct {
	mu        sync.Mutex
	byService map[string]silence.Trips
}

func (a *answerTimes) record(service string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byService == nil {
		a.byService = make(map[string]silence.Trips)
	}
	a.byService[service] = a.byService[service].With(took)
}

// overdueAfter returns the time after which an answer is overdue; 0 where answers usually
// take longer than a bound: then a late one says nothing of its connection.
func (a *answerTimes) overdueAfter(service string, bound time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	typical := a.byService[service].Usual(min(minAnswerOverdue, bound), math.MaxInt64)
	if typical > bound {
		return 0
	}
	return typical
}

func (g *Gateway) silenceBound() time.Duration {
	return time.Duration(g.daemon.settings.Timing.Silence)
}

// exchange sends a request to its first target, and again on a new connection where a kept
// one was gone or silent and the request may be repeated.
func (f *forwarding) exchange(ctx context.Context, address string, request *target.Request) (*target.Answer, error) {
	bound := f.g.answers.overdueAfter(f.service, f.g.silenceBound())
	if !f.route.Stream && bound > 0 && len(f.call.Body) <= target.InlineBody {
		// A longer body takes as long as the target reads it.
		request.Kept = target.KeptWait{For: bound, Leave: f.mayAskAgain}
	}
	request.Again = f.again
	// What broke off once must not meet a kept connection that is silent too: a second copy
	// is seldom allowed.
	request.Fresh = request.Fresh || len(f.attempts.Ran) > 0
	f.again = false
	sentAt := clock.Now()
	answer, err := f.g.exchanger.Do(ctx, address, request)
	silent := errors.Is(err, target.ErrKeptSilent)
	if !silent && (!errors.Is(err, target.ErrStale) || ctx.Err() != nil || !f.mayAskAgain()) {
		f.recordAnswerTime(sentAt, err)
		return answer, err
	}
	f.doubt, f.resent = true, true
	request.Fresh, request.Again = true, silent
	resentAt := clock.Now()
	answer, err = f.g.exchanger.Do(ctx, address, request)
	f.recordAnswerTime(resentAt, err)
	if silent && err == nil {
		f.g.exchanger.Void(address, sentAt)
		f.g.daemon.recordSilentConnection(silentTarget, address, resentAt.Sub(sentAt), bound)
	}
	return answer, err
}

// noteAnswer takes the time that a plain answer took.
func (f *forwarding) recordAnswerTime(sent time.Time, err error) {
	if err == nil && !f.route.Stream {
		f.g.answers.record(f.service, clock.Since(sent))
	}
}

// noteWell takes a report by which the engine neither stands still nor is slow.
func (w *watcher) noteWell(report EngineReport) {
	if report.Pace > 1 {
		w.sound = 0
		return
	}
	w.sound++
}

// onSilent reports whether the stream is on a silent connection, and can go on over another.
func (w *watcher) onSilent() bool {
	after, known := w.silentAfter()
	if !known || w.sound < requiredHealthyReports || clock.Since(w.since()) < after || !w.f.couldRepeat() {
		return false
	}
	w.silent = true
	return true
}

// silentAfter returns the pause after which the connection is in doubt, and whether it can
// be told at all.
func (w *watcher) silentAfter() (time.Duration, bool) {
	bound := w.f.g.silenceBound()
	if bound <= 0 {
		return 0, false
	}
	if !w.f.read {
		first := w.f.g.firstOverdueAfter()
		return max(silentFirstFactor*first, minFirstSilence), first > 0
	}
	mean := w.f.pace.Mean()
	if mean == 0 {
		return bound, true
	}
	return min(max(silentGapFactor*mean, minStreamSilence), bound), true
}

// leftSilent ends a try whose connection is silent. Its target keeps its name.
func (f *forwarding) leftSilent(path relay.Path, watch *watcher) result {
	f.last = "its connection fell silent"
	f.again = true
	address := path.First().Address
	voided := f.g.exchanger.Void(address, watch.since())
	age := clock.Since(watch.since())
	after, _ := watch.silentAfter()
	f.g.daemon.recordSilentConnection(silentStream, address, age, after)
	f.g.log.V(1).Info("stream leaves a silent connection", "request", f.call.ID, "address", address, "after", f.after, "silent_ms", age.Milliseconds(), "kept_left", voided)
	return resultBroken
}
