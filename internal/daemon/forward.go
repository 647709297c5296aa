package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file takes one request from a caller to targets and their answer back.
//
// Problem: a target may refuse, die in the middle, fall silent or garble its
// answer. The caller is to get one whole answer of one run, or a true word on
// what became of its request.
//
// Algorithm: pick a path, send, read the answer; go on with another path while
// that is allowed. What has provably not run may be sent again in any case. What
// may have run is sent again only where the route says so, and a stream that its
// caller has seen a part of only with the id of the last event given, so that
// the new run goes on from there. Only whole events are handed on: a run that
// breaks off inside one leaves nothing that the next could contradict. The head
// goes to the caller with the first event, and an answer of a plain service once
// it is there whole.
//
// Invariants: a request that may run once is sent once, unless its target says
// that it did not run; 503 is said only of what has not run; an answer that is
// not whole never looks complete; repeats are drawn from the budget.

// result is how one try ended.
type result int

const (
	// resultDone: the caller has its final answer.
	resultDone result = iota
	// resultNotRun: it has provably not run.
	resultNotRun
	// resultNotSent: no byte of it was sent.
	resultNotSent
	// resultBroken: it may have run, in part or whole.
	resultBroken
	// resultGone: the caller has left or reads nothing, or its time is over.
	resultGone
)

// String returns the result's name.
func (r result) String() string {
	return [...]string{"done", "not run", "not sent", "broken", "gone"}[r]
}

const (
	// pauseCheck is the pause in a stream after which its stages are compared with
	// those under suspicion: over two usual gaps between events on a slow path.
	pauseCheck = 250 * time.Millisecond
	// probeAfter is the pause after which the first engine is asked. Callers give
	// a stream up after some 2 s, and a new run needs about 300 ms.
	probeAfter = 500 * time.Millisecond
	// wholeLimit bounds the answers of plain services that are read whole before
	// they are handed on, in bytes.
	wholeLimit = 256 << 10
	// eventBuffer is the size of reads from a stream, in bytes.
	eventBuffer = 4 << 10
	// unreachedEnded is the connections in a row that must not come about for a target to
	// count as ended: one may be lost where all VMs connect at once.
	unreachedEnded = 2
	// resumePause is the wait between two looks for a room, or a repeat, that a broken
	// stream can go on with: a place falls free every few hundredths of a second.
	resumePause = 30 * time.Millisecond
	// callerPatience bounds the wait of a call from its arrival: callers give a stream up
	// after 2 s without an event, and the first one takes some 100 ms.
	callerPatience = 1800 * time.Millisecond
)

// forwarding is one request under way.
type forwarding struct {
	g            *Gateway
	call         *Call
	route        *relay.Route
	organisation string
	fingerprint  relay.Fingerprint
	class        int
	deadline     time.Time
	w            http.ResponseWriter
	flush        func()
	// caller is the caller's connection, or nil where it is of another kind.
	caller *callerConn

	service string
	// avoid holds the targets that broke off, and full those that took nothing.
	avoid []relay.TargetID
	full  []relay.TargetID
	tries int
	// attempts is what became of the tries before the present one.
	attempts relay.Attempts
	// begun says that the caller has got the head of an answer.
	begun   bool
	beganAt time.Time
	// askedAt is when the first target was picked: until then the call was held here.
	askedAt time.Time
	// read says that the prompt has been read on the present path.
	read bool
	// events counts what the caller got, and worstPause is the longest wait
	// between two of them.
	events     int
	lastEvent  time.Time
	worstPause time.Duration
	// proven says that the answer has gone on for long enough to speak for the request.
	proven bool
	// pace is that of the answer on the present path, which was asked at sentAt.
	pace   relay.Pace
	sentAt time.Time
	// pauseExplained says that an engine is at fault for the present pause.
	pauseExplained bool
	// after is the id of the last event that the caller has.
	after string
	// kept is a failed answer that is given if no other target does better.
	kept *wholeAnswer
	// unreached counts by target how often no connection came about.
	unreached map[relay.TargetID]int
	// last is what the last try ended with, for the log.
	last     string
	lastPath relay.Path
	// replaceAt is when another engine may be looked for again in the place of a stage.
	replaceAt map[relay.TargetID]time.Time
	// heldUp is how long the answer has waited for its caller, and leftUnread says that its
	// target has waited since it was last read.
	heldUp     time.Duration
	leftUnread bool
	// doubt says that a sending of which nothing was heard was followed by another within
	// one try: what its target says of the second doesn't speak for the first.
	doubt bool
	// resent says that the present try was sent a second time: its target may have run the
	// first sending, also where the second did not come about.
	resent bool
	// again says that the last try was left for its silent connection.
	again bool
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Serve takes a call to its final answer.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	g.awaitStart(ctx)
	route, org, refusal := g.admit(call)
	if refusal != nil {
		g.refuse(w, call, refusal, nil)
		return
	}
	f := &forwarding{g: g, call: call, route: route, class: route.Class, w: w, after: call.After}
	if org != nil {
		f.organisation = org.Name
		if org.HasClass {
			f.class = org.Class
		}
	}
	f.fingerprint = relay.NewFingerprint(f.organisation, call.Method, call.Host, call.URI, call.Body)
	f.deadline = call.Arrived.Add(route.Timeout)
	if call.Deadline.Before(f.deadline) {
		f.deadline = call.Deadline
	}
	f.caller = connectionOf(ctx)
	f.caller.begin(call.ID)
	if flusher, ok := w.(http.Flusher); ok {
		f.flush = flusher.Flush
	}
	ctx, cancel := clock.WithDeadline(ctx, f.deadline)
	defer cancel()
	f.run(ctx)
}

// run tries targets until the caller has its final answer.
func (f *forwarding) run(ctx context.Context) {
	for {
		path, refusal := f.choose(ctx)
		if refusal != nil {
			f.end(ctx, refusal)
			return
		}
		if f.askedAt.IsZero() {
			f.askedAt = clock.Now()
		}
		f.service = path.Service
		r := f.tryAndRelease(ctx, path)
		path = f.lastPath
		f.tries++
		if r == resultDone {
			f.notePauses(path)
			f.served(path)
			return
		}
		if r == resultGone && ctx.Err() == nil {
			f.end(ctx, &relay.Refusal{Kind: relay.RefusedUnknownRun, Reason: f.last})
			return
		}
		if ctx.Err() != nil {
			f.end(ctx, &relay.Refusal{Kind: relay.RefusedTimeout, Reason: "its time ran out under way"})
			return
		}
		f.g.log.Info("try failed", "request", f.call.ID, "fingerprint", f.fingerprint, "try", f.tries, "result", r.String(), "cause", f.last, "path", path.String(), "begun", f.begun, "read", f.read)
		f.noteAttempt(r, path)
		if refusal := f.awaitRepeat(ctx); refusal != nil {
			f.end(ctx, refusal)
			return
		}
	}
}

// tryAndRelease sends the request along a path once, and lets the path go however that
// ends: a call that is cut ends with a panic.
func (f *forwarding) tryAndRelease(ctx context.Context, path relay.Path) result {
	f.lastPath = path
	f.read = false
	f.resent = false
	defer func() { f.g.release(f.lastPath, f.read) }()
	if !clock.Sampled().Before(f.deadline) {
		// This VM was suspended: the caller's time went on, and the context's stood.
		f.last = "its time ran out while this VM was suspended"
		return resultGone
	}
	if ctx.Err() != nil {
		// Its caller left, or its time ended, while it was held here.
		f.last = ctx.Err().Error()
		return resultGone
	}
	return f.try(ctx, path)
}

// served notes an answer that was given whole.
func (f *forwarding) served(path relay.Path) {
	f.g.ranWell(f.fingerprint)
	f.g.meter.served(f.call.Arrived)
	first := int64(-1)
	if !f.beganAt.IsZero() {
		first = f.beganAt.Sub(f.call.Arrived).Milliseconds()
	}
	f.g.log.Info("request served", "request", f.call.ID, "held_ms", f.askedAt.Sub(f.call.Arrived).Milliseconds(), "first_ms", first, "events", f.events, "worst_pause_ms", f.worstPause.Milliseconds(), "took_ms", clock.Since(f.call.Arrived).Milliseconds(),
		"tries", f.tries, "prompt", f.call.Prompt, "answer", f.call.Answer, "hint", f.call.Hint, "forecast_us", path.Forecast().Microseconds(), "path", path.String())
}

// choose picks the next path, and waits a little for room where mayWait says so.
func (f *forwarding) choose(ctx context.Context) (relay.Path, *relay.Refusal) {
	until := f.waitUntil()
	for {
		path, refusal := f.g.choose(f)
		if refusal == nil || refusal.Kind == relay.RefusedCrashes || !f.mayWait() || !f.pause(ctx, until) {
			return path, refusal
		}
	}
}

// waitUntil is how long a request waits for room, or for a repeat: a caller gives an answer
// up that has brought nothing for callerPatience.
func (f *forwarding) waitUntil() time.Time {
	since := f.call.Arrived
	if f.begun {
		since = f.lastEvent
	}
	return since.Add(callerPatience)
}

// pause waits before another look, and reports false where the wait is over.
func (f *forwarding) pause(ctx context.Context, until time.Time) bool {
	if !clock.Now().Before(until) {
		return false
	}
	select {
	case <-time.After(resumePause):
		return true
	case <-ctx.Done():
		return false
	}
}

// mayWait reports whether a request waits for room. A stream that its caller has a part
// of does, in this answer or one that broke off: refusing it would throw away what was
// done. So does any call of a VM that has just started and takes no more than its share.
func (f *forwarding) mayWait() bool { return f.resumed() || f.g.starting() }

// resumed reports whether the caller has a part of the answer, from this call or one
// before.
func (f *forwarding) resumed() bool { return f.begun || f.call.After != "" }

// starting reports whether this VM has not been told yet what others have under way.
func (g *Gateway) starting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.router.OthersKnown()
}

func (g *Gateway) choose(f *forwarding) (relay.Path, *relay.Refusal) {
	now := clock.Now()
	if refusal := g.quarantineRefusal(f, now); refusal != nil {
		return relay.Path{}, refusal
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	path, refusal := g.router.Choose(relay.Ask{
		Route: f.route, Service: f.service, Avoid: f.avoided(), Only: g.router.OnlyOn(f.attempts),
		Prompt: f.call.Prompt, Most: f.call.Answer, Hint: f.call.Hint, Begun: f.begun, Resumed: f.resumed(),
	}, now)
	if refusal == nil && f.tries == 0 {
		g.router.Count(path.Service, now)
	}
	return path, refusal
}

// notePauses tells the router of the pauses of an answer that one path gave whole.
func (f *forwarding) notePauses(path relay.Path) {
	if f.tries > 1 || f.events < 2 {
		return
	}
	mean := (f.lastEvent.Sub(f.beganAt) - f.heldUp) / time.Duration(f.events-1)
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.g.router.TakePauses(path, mean)
}

func (g *Gateway) release(p relay.Path, begun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Release(p, begun)
}

func (g *Gateway) failed(id relay.TargetID, certain bool) {
	g.mu.Lock()
	g.router.Failed(id, certain, clock.Now())
	g.mu.Unlock()
	g.meter.targetFailed()
}

func (g *Gateway) refusedBy(id relay.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Refused(id, clock.Now())
}

func (g *Gateway) succeeded(id relay.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Succeeded(id, clock.Now())
}

// avoided returns the targets that are not asked again. One that had no room is, by a
// stream in the middle: it can't be told to come back.
func (f *forwarding) avoided() []relay.TargetID {
	if f.begun {
		return f.avoid
	}
	return slices.Concat(f.avoid, f.full)
}

// withTarget returns targets and one more, each once.
func withTarget(ids []relay.TargetID, id relay.TargetID) []relay.TargetID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(slices.Clone(ids), id)
}

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
	return &relay.Refusal{Kind: relay.RefusedNotTaken, RetryAt: clock.Now().Add(comeBackAtOnce), Reason: "no target took it: " + f.last + "; " + d.String()}
}

// couldRepeat reports whether the request may go to another target if its present try is
// given up.
func (f *forwarding) couldRepeat() bool {
	a := f.attemptsAfter(resultBroken, f.lastPath)
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.router.CouldRepeat(a, clock.Now())
}

// end gives the caller a final answer that is not a served one.
func (f *forwarding) end(ctx context.Context, refusal *relay.Refusal) {
	if callerLeft(ctx) {
		f.g.meter.left()
		f.g.log.Info("caller left", "request", f.call.ID, "after_ms", clock.Since(f.call.Arrived).Milliseconds(), "tries", f.tries, "begun", f.begun, "path", f.lastPath.String())
		panic(http.ErrAbortHandler)
	}
	if f.begun {
		f.g.meter.refused(relay.RefusedUnknownRun)
		f.g.log.Info("stream cut", "request", f.call.ID, "fingerprint", f.fingerprint, "after", f.after, "reason", refusal.Reason, "tries", f.tries, "path", f.lastPath.String())
		panic(http.ErrAbortHandler)
	}
	if f.kept != nil {
		f.giveWhole(f.kept)
		return
	}
	if (f.doubt || len(f.attempts.Ran) > 0) && refusal.NotRun() {
		refusal = &relay.Refusal{Kind: relay.RefusedUnknownRun, Reason: refusal.Reason}
	}
	f.g.refuse(f.w, f.call, refusal, f)
}

// callerLeft reports whether a call's context ended with its caller's connection rather
// than with its time.
func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// abandon ends a call whose caller's connection can't be written to.
func (f *forwarding) abandon(cause error) {
	f.g.meter.left()
	f.last = "caller left: " + cause.Error()
	f.g.log.Info("caller left", "request", f.call.ID, "after_ms", clock.Since(f.call.Arrived).Milliseconds(), "tries", f.tries, "begun", f.begun, "path", f.lastPath.String(), "error", cause.Error())
	panic(http.ErrAbortHandler)
}

func (g *Gateway) refuse(w http.ResponseWriter, call *Call, r *relay.Refusal, f *forwarding) {
	now := clock.Now()
	g.meter.refused(r.Kind)
	tries, path, fingerprint := 0, "", ""
	if f != nil {
		tries, path, fingerprint = f.tries, f.lastPath.String(), f.fingerprint.String()
	}
	g.log.Info("request refused", "request", call.ID, "fingerprint", fingerprint, "kind", r.Kind.String(), "reason", r.Reason, "uri", call.URI,
		"held_ms", now.Sub(call.Arrived).Milliseconds(), "tries", tries, "path", path)
	g.platform.Codec.Refuse(w, r, now)
}

// try sends the request along a path once.
func (f *forwarding) try(ctx context.Context, path relay.Path) result {
	first := path.First()
	header := f.g.platform.Codec.Head(Hop{
		Call: f.call, Path: path, Organisation: f.organisation, Deadline: f.deadline, After: f.after, Class: f.class,
	})
	f.pace, f.sentAt = relay.Pace{}, clock.Now()
	request := &target.Request{
		Method: f.call.Method, URI: f.call.URI, Host: f.call.Host, Header: header, Body: f.call.Body,
		Fresh:   f.route.Repeat == relay.RepeatNever,
		Matches: func(h http.Header) bool { return f.g.platform.Codec.Verdict(0, h).ID == f.call.ID },
	}
	living, over := f.g.exchanges.follow(ctx, first.Target)
	defer over()
	watch := &watcher{f: f, ctx: ctx, living: living, began: clock.Now(), request: request}
	if f.route.Stream {
		request.Patience = max(pauseCheck, f.g.firstOverdueAfter())
		request.Silent = watch.waitOn
	}
	sending, ok := f.g.daemon.outbox.send(first.Address, len(f.call.Body))
	if !ok {
		return f.notSent(path)
	}
	sent := sync.OnceFunc(sending)
	defer sent()
	answer, err := f.exchange(living, first.Address, request)
	sent()
	if err != nil {
		return f.broken(ctx, path, watch, err)
	}
	defer answer.Close()
	verdict := f.g.platform.Codec.Verdict(answer.Status, answer.Header)
	if verdict.NotRun {
		return f.notRun(path, verdict, answer)
	}
	if f.route.Stream && answer.Status == http.StatusOK {
		return f.stream(ctx, path, watch, answer)
	}
	if verdict.Promise {
		return f.unproven(path, answer)
	}
	return f.whole(ctx, path, watch, answer)
}

// unproven takes an answer whose status would tell the caller that its request has not
// run, of a target that doesn't say so itself.
func (f *forwarding) unproven(path relay.Path, answer *target.Answer) result {
	drain(answer)
	first := path.First()
	f.last = "target " + first.Address + " answered " + strconv.Itoa(answer.Status) + ", and not that it has not run"
	f.g.failed(first.Target, false)
	f.avoid = append(f.avoid, first.Target)
	return resultBroken
}

// mayAskAgain reports whether a request whose kept connection was gone may be sent
// on a new one. A forgotten connection brings nothing to its target; one that broke
// at this moment may have, so that it counts as a repeat.
func (f *forwarding) mayAskAgain() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.route.Repeat != relay.RepeatNever && f.g.router.Repeat(f.service, f.begun, clock.Now())
}

// broken takes an exchange that came to no whole answer.
func (f *forwarding) broken(ctx context.Context, path relay.Path, watch *watcher, err error) result {
	f.last = err.Error()
	if ctx.Err() != nil {
		return resultGone
	}
	if errors.Is(err, target.ErrNotReading) {
		return f.notRead(path)
	}
	if watch.silent {
		return f.leftSilent(path, watch)
	}
	if cause := context.Cause(watch.living); cause != nil {
		f.last = cause.Error()
	}
	culprit := path.First().Target
	if watch.culprit != "" {
		culprit = watch.culprit
	}
	f.g.failed(culprit, true)
	f.avoid = append(f.avoid, culprit)
	f.noteBrokenOff(path, watch, err)
	if errors.Is(err, target.ErrNotSent) && !f.resent {
		f.noteUnreached(path.First().Target)
		return resultNotSent
	}
	return resultBroken
}

// noteBrokenOff notes that a target closed the connection in the middle of the request. One
// that fell silent may be behind a cut: nothing that it was sent is to blame.
func (f *forwarding) noteBrokenOff(path relay.Path, watch *watcher, err error) {
	notSent := errors.Is(err, target.ErrNotSent)
	if notSent && !f.resent || errors.Is(err, target.ErrSilent) {
		return
	}
	// One that was sent again in vain may have run at first, over the connection before.
	certain := errors.Is(context.Cause(watch.living), errLifeEnded) || notSent && errors.Is(err, syscall.ECONNREFUSED)
	f.g.brokeOff(path.First(), f.sending(), certain)
}

// noteStageLost notes that a later stage of the path kept its first one from running the
// request. One that is only full says so at once.
func (f *forwarding) noteStageLost(stage relay.Stage) {
	if stage.Target != f.lastPath.First().Target && clock.Since(f.sentAt) >= pauseCheck {
		f.g.brokeOff(stage, f.sending(), false)
	}
}

// sending is the present run of the request.
func (f *forwarding) sending() run {
	return run{request: f.fingerprint, began: f.sentAt, started: f.read}
}

// noteUnreached notes that no connection to a target came about.
func (f *forwarding) noteUnreached(id relay.TargetID) {
	if f.unreached == nil {
		f.unreached = make(map[relay.TargetID]int)
	}
	f.unreached[id]++
}

// notRun takes an answer that says that the request has not run.
func (f *forwarding) notRun(path relay.Path, v Verdict, answer *target.Answer) result {
	drain(answer)
	culprit := path.First()
	if s, ok := path.At(v.AtFault); ok {
		culprit = s
	}
	f.last = "target " + culprit.Address + " answered " + strconv.Itoa(answer.Status) + ", not run"
	f.g.refusedBy(culprit.Target)
	f.noteStageLost(culprit)
	f.full = append(f.full, culprit.Target)
	return resultNotRun
}

// drain reads a small body to its end, so that the connection can be kept.
func drain(answer *target.Answer) {
	if answer.Framed && answer.Length < eventBuffer {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, eventBuffer)) // a connection that breaks here is closed by Close
	}
}

// whole takes the answer of a plain service.
func (f *forwarding) whole(ctx context.Context, path relay.Path, watch *watcher, answer *target.Answer) result {
	held := f.g.daemon.outbox.open()
	defer held.close()
	body, err := f.readWhole(ctx, held, answer)
	if errors.Is(err, errNoMemory) {
		return f.answerWithoutMemory(path)
	}
	if err != nil {
		return f.broken(ctx, path, watch, err)
	}
	if len(body) > wholeLimit {
		return f.long(answer, body)
	}
	f.g.ranWell(f.fingerprint)
	given := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status < http.StatusInternalServerError {
		f.g.succeeded(path.First().Target)
		if f.begun {
			f.last = "target answered " + strconv.Itoa(answer.Status) + " in the middle of a stream"
			return resultBroken
		}
		f.giveWhole(given)
		return resultDone
	}
	f.g.failed(path.First().Target, false)
	f.last = "target answered " + strconv.Itoa(answer.Status)
	if f.begun {
		return resultBroken
	}
	if f.route.Repeat != relay.RepeatNever {
		f.kept = given
		f.avoid = append(f.avoid, path.First().Target)
		return resultBroken
	}
	f.giveWhole(given)
	return resultDone
}

// long hands on an answer that is too long to be held.
func (f *forwarding) long(answer *target.Answer, head []byte) result {
	copyHeader(f.w.Header(), answer.Header)
	if answer.Length >= 0 {
		f.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	f.w.WriteHeader(answer.Status)
	f.begun = true
	f.caller.waitsFor(true)
	if _, err := io.Copy(f.w, io.MultiReader(bytes.NewReader(head), answer)); err != nil {
		f.last = err.Error()
		return resultGone
	}
	return resultDone
}

func (f *forwarding) giveWhole(a *wholeAnswer) {
	f.caller.waitsFor(false)
	copyHeader(f.w.Header(), a.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	f.w.WriteHeader(a.status)
	if _, err := f.w.Write(a.body); err != nil {
		f.g.log.V(1).Info("caller left before its answer", "request", f.call.ID, "error", err.Error())
	}
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyHeader copies all but what concerns one connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}
