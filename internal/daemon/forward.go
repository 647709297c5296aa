package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file forwards one request from a caller to targets, and their answer to the caller.
//
// Problem: a target may refuse a request, fail in the middle, stop sending or send a malformed
// answer. The caller must get one whole answer of one run, or the correct outcome of its
// request.
//
// Algorithm: choose a path, send the request and read the answer; repeat with another path
// while that is allowed. A request that has provably not run may always be sent again. One
// that may have run is sent again only where its route allows it; a stream of which the caller
// has received a part is sent again only with the id of the last event received, so that the
// new run resumes there. Only whole events are forwarded: a run that fails inside an event
// leaves nothing that the next run could contradict. The head is sent with the first event,
// and the answer of a plain service once it is complete.
//
// Invariants: a request that may run once is sent once, unless its target reports that it did
// not run; 503 is returned only for requests that have not run; an incomplete answer never
// looks complete; repeats are charged to the retry budget.

// result is the outcome of one try.
type result int

const (
	// resultDone: the caller has received its final answer.
	resultDone result = iota
	// resultNotRun: the request has provably not run.
	resultNotRun
	// resultNotSent: no byte of the request was sent.
	resultNotSent
	// resultBroken: the request may have run, partly or completely.
	resultBroken
	// resultAborted: the caller has disconnected or does not read, or the deadline has passed.
	resultAborted
)

// String returns the result's name.
func (r result) String() string {
	return [...]string{"done", "not run", "not sent", "broken", "gone"}[r]
}

const (
	// stallCheckInterval is the pause in a stream after which its stages are compared with the
	// suspected targets: more than twice the usual gap between events on a slow path.
	stallCheckInterval = 250 * time.Millisecond
	// probeAfter is the pause after which the first engine is probed. Callers abandon a stream
	// after some 2 s, and a new run needs about 300 ms.
	probeAfter = 500 * time.Millisecond
	// maxBufferedAnswerBytes bounds the answers of plain services that are buffered completely
	// before they are forwarded, in bytes.
	maxBufferedAnswerBytes = 256 << 10
	// streamReadBytes is the read size for streams, in bytes.
	streamReadBytes = 4 << 10
	// refusedDialThreshold is the number of connections refused in a row after which a target counts
	// as ended. A dial that gets no answer, or whose connection is reset, shows nothing of the target.
	refusedDialThreshold = 2
	// roomRetryInterval is the interval between two checks for room, or for a repeat, with which
	// an interrupted stream can resume: slots become free every few hundredths of a second.
	roomRetryInterval = 30 * time.Millisecond
	// roomRetryDivisor and maxRoomRetryInterval lengthen it with the wait, to a part of the wait:
	// each check searches all engines.
	roomRetryDivisor     = 16
	maxRoomRetryInterval = 250 * time.Millisecond
	// callerEventTimeout bounds the wait of a call without an event from its arrival: callers
	// abandon a stream after 2 s without an event, and the first event takes some 100 ms.
	callerEventTimeout = 1800 * time.Millisecond
)

// forwarding is one request in flight.
type forwarding struct {
	g        *Gateway
	call     *Call
	route    *relay.Route
	class    int
	deadline time.Time
	// organisation is the organisation of the caller's key, empty where no key is needed.
	organisation string
	// fingerprints are those of the request and of the parts of its prompt.
	fingerprints []labelled

	tries
	attempt
	repeatState
	delivery
	ending
}

// tries is the history of a request's tries.
type tries struct {
	// service is the request's service, once the first path is chosen.
	service string
	// avoid holds the targets that failed, and full those that refused the request.
	avoid avoidedTargets
	full  []relay.TargetID
	count int
	// attempts records the tries before the present one.
	attempts relay.Attempts
	// firstPickedAt is when the first target was picked: until then the call waited on this VM.
	firstPickedAt time.Time
	// failedAnswer is an answer with a failure status; it is returned if no other target does
	// better.
	failedAnswer *wholeAnswer
	// refusedDials counts the connections that each target has refused in a row.
	refusedDials map[relay.TargetID]int
	// lastCause is the cause of the last try's result, for the log.
	lastCause string
	lastPath  relay.Path
	// trialSent is set if the request was sent as a trial of what is in quarantine.
	trialSent bool
	// leftSilentConn is set if the last try was abandoned because its connection was silent.
	leftSilentConn bool
}

// attempt is the present sending of a request.
type attempt struct {
	pickedAt, sentAt time.Time
	// promptProcessed is set if the prompt has been processed on the present path.
	promptProcessed bool
	// eventAt is when the first whole event came from it, and ranWell is set once the run has been
	// recorded as one that went well.
	eventAt time.Time
	ranWell bool
	// pace tracks the pauses between the events of the answer on the present path.
	pace relay.Pace
	// replaceAt is the earliest time at which a stage's replacement may be sought again.
	replaceAt map[relay.TargetID]time.Time
	// sent is set if a byte of the request was sent.
	sent bool
	// resent is set if the request was sent a second time: its target may have run the first
	// sending, even where the second one failed to connect.
	resent bool
	// permitReserved is set if a permit of the first target is reserved and unused.
	permitReserved bool
	// secured is the path that the request continues on once the present run has ended, if it was
	// taken before. The present path is released then.
	secured *relay.Path
}

// delivery is what the caller has received.
type delivery struct {
	w     http.ResponseWriter
	flush func()
	// caller is the caller's connection, or nil where it is of another type.
	caller *callerConn
	// headSent is set if the caller has received the head of an answer.
	headSent bool
	// keepPastStop keeps a planned stop from ending the request, and reports false if it has.
	keepPastStop func() bool
	firstEventAt time.Time
	// lastID is the id of the last event that the caller has received.
	lastID string
	// events counts the events sent to the caller, and worstPause is the longest gap between two
	// of them.
	events     int
	lastEvent  time.Time
	worstPause time.Duration
	// stallAttributed is set if the present pause is attributed to an engine or to the caller.
	stallAttributed bool
	// callerStall is the time for which the answer has waited for its caller, and waitedForCaller
	// is set if its target has waited since the last read.
	callerStall     time.Duration
	waitedForCaller bool
}

// Serve forwards a call until its caller has the final answer.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	g.awaitStart(ctx)
	route, org, refusal := g.admit(call)
	if refusal != nil {
		g.refuse(w, call, refusal, nil)
		return
	}
	f := &forwarding{g: g, call: call, route: route, class: route.Class, delivery: delivery{w: w, lastID: call.After}}
	if org != nil {
		f.organisation = org.Name
		if org.HasClass {
			f.class = org.Class
		}
	}
	f.fingerprints = fingerprintsOf(f.organisation, call)
	f.deadline = call.Arrived.Add(route.Timeout)
	if call.Deadline.Before(f.deadline) {
		f.deadline = call.Deadline
	}
	f.caller = connectionOf(ctx)
	f.caller.startRequest(call.ID)
	if flusher, ok := w.(http.Flusher); ok {
		f.flush = flusher.Flush
	}
	ctx, cancel := clock.WithDeadline(ctx, f.deadline)
	defer cancel()
	ctx, release := f.endAtStop(ctx)
	defer release()
	defer f.recordPanic()
	f.run(ctx)
}

// run tries targets until the caller has its final answer.
func (f *forwarding) run(ctx context.Context) {
	defer f.releaseSecured()
	for {
		path, refusal := f.next(ctx)
		if refusal != nil {
			f.end(ctx, refusal)
			return
		}
		if f.firstPickedAt.IsZero() {
			f.firstPickedAt = clock.Now()
		}
		f.service = path.Service
		f.pickedAt = clock.Now()
		r := f.tryAndRelease(ctx, path)
		path = f.lastPath
		f.count++
		if r == resultDone {
			f.recordPauses(path)
			f.recordServed(path)
			return
		}
		if r == resultAborted && ctx.Err() == nil {
			f.end(ctx, &relay.Refusal{Kind: relay.RefusedUnknownRun, Reason: f.lastCause})
			return
		}
		if ctx.Err() != nil {
			f.end(ctx, f.refusalAtEnd(ctx))
			return
		}
		f.recordAttempt(r, path)
		f.g.log.Info("try failed", "request", f.call.ID, "fingerprint", f.fingerprints[0].Fingerprint, "try", f.count, "result", r.String(), "cause", f.lastCause, "path", path.String(), "begun", f.headSent, "read", f.promptProcessed, "resent", f.resent, "may_have_run", f.attempts.Ran.String())
	}
}

// tryAndRelease sends the request along a path once and releases the path in every case: a
// call that is cut off ends with a panic.
func (f *forwarding) tryAndRelease(ctx context.Context, path relay.Path) result {
	f.lastPath = path
	f.promptProcessed = false
	f.eventAt, f.ranWell = time.Time{}, false
	f.sent, f.resent = false, false
	f.abandoned = false
	f.permitReserved = path.HasPermit()
	defer func() { f.release(path) }()
	if !clock.SampleNow().Before(f.deadline) {
		// This VM was suspended: the caller's time elapsed while the context's timer stood still.
		f.lastCause = "its time ran out while this VM was suspended"
		f.endCause = EndTimeout
		return resultAborted
	}
	if ctx.Err() != nil {
		// The caller disconnected, or the deadline passed, while the call waited here.
		f.lastCause = ctx.Err().Error()
		return resultAborted
	}
	return f.overSendings(f.try(ctx, path))
}

// release returns what the try on a path has reserved.
func (f *forwarding) release(path relay.Path) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	if f.secured == nil {
		f.g.router.Release(f.lastPath, f.promptProcessed)
	}
	if f.permitReserved {
		f.permitReserved = false
		f.g.router.EndReservation(path.First().Target, false, clock.Now())
	}
}

func (g *Gateway) recordFailure(id relay.TargetID, certain bool) {
	g.mu.Lock()
	g.router.RecordFailure(id, certain, clock.Now())
	g.mu.Unlock()
	g.meter.targetFailed()
	g.checkReach()
}

func (g *Gateway) recordSuccess(id relay.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.RecordSuccess(id, clock.Now())
}

func (g *Gateway) recordReached(id relay.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.RecordReached(id, clock.Now())
}

// try sends the request along a path once.
func (f *forwarding) try(ctx context.Context, path relay.Path) result {
	first := path.First()
	f.pace, f.sentAt = relay.Pace{}, clock.Now()
	request := &target.Request{
		Method: f.call.Method, URI: f.call.URI, Host: f.call.Host, Body: f.call.Body,
		NewConn: f.route.Repeat == relay.RepeatNever,
		Matches: func(h http.Header) bool { return f.g.platform.Codec.Verdict(0, h).ID == f.call.ID },
	}
	request.Admit = func() error {
		request.Header = f.head(path) // it states the time that is left
		return f.checkMaySend(first.Target)
	}
	incarnationCtx, stopFollowing := f.g.exchanges.track(ctx, first.Target)
	defer stopFollowing()
	watch := &watcher{f: f, ctx: ctx, incarnationCtx: incarnationCtx, began: clock.Now(), request: request}
	if f.route.Stream {
		request.MaxPause = max(stallCheckInterval, f.g.firstOverdueAfter())
		request.KeepWaiting = watch.keepWaiting
	}
	sending, ok := f.g.daemon.outbox.recordSending(first.Address, len(f.call.Body))
	if !ok {
		return f.recordNotSent(path)
	}
	sent := sync.OnceFunc(sending)
	defer sent()
	answer, err := f.exchange(incarnationCtx, first.Address, request)
	f.sent = !errors.Is(err, target.ErrNotSent)
	sent()
	if err != nil {
		return f.handleBroken(ctx, path, watch, err)
	}
	defer answer.Close()
	if answer.OnNewConn() {
		f.g.recordReached(first.Target)
	}
	notice := f.handleNotice(path, answer)
	verdict := f.g.platform.Codec.Verdict(answer.Status, answer.Header)
	if verdict.NotRun {
		return f.handleNotRun(path, verdict, notice, answer)
	}
	if f.route.Stream && answer.Status == http.StatusOK {
		return f.stream(ctx, path, watch, answer)
	}
	if verdict.ClaimsNotRun {
		return f.handleUnconfirmed(path, answer)
	}
	return f.forwardWhole(ctx, path, watch, answer)
}

// head returns the headers of a request to the first target of a path, as of now.
func (f *forwarding) head(path relay.Path) http.Header {
	return f.g.platform.Codec.Head(Hop{
		Call: f.call, Path: path, Organisation: f.organisation, Deadline: f.deadline, After: f.lastID, Class: f.class,
	})
}
