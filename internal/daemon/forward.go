package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file takes one request from a caller to targets and their answer back.
//
// Problem: a target may refuse, die in the middle, fall silent or garble its
// answer. The caller is to get one whole answer of one run, or the truth about
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
	g        *Gateway
	call     *Call
	route    *relay.Route
	class    int
	deadline time.Time
	// organisation is that of the caller's key, empty where none is needed, and fingerprint
	// the mark by which the request is known again.
	organisation string
	fingerprint  relay.Fingerprint

	tries
	attempt
	delivery
}

// tries is what became of the sendings of a request so far.
type tries struct {
	// service is what the request goes to, once that is drawn.
	service string
	// avoid holds the targets that broke off, and full those that took nothing.
	avoid []relay.TargetID
	full  []relay.TargetID
	count int
	// attempts is what became of the tries before the present one.
	attempts relay.Attempts
	// askedAt is when the first target was picked: until then the call was held here.
	askedAt time.Time
	// kept is a failed answer that is given if no other target does better.
	kept *wholeAnswer
	// unreached counts by target how often no connection came about.
	unreached map[relay.TargetID]int
	// last is what the last try ended with, for the log.
	last     string
	lastPath relay.Path
	// doubt says that a sending of which nothing was heard was followed by another within
	// one try: what its target says of the second doesn't speak for the first.
	doubt bool
	// again says that the last try was left for its silent connection.
	again bool
}

// attempt is the present sending of a request.
type attempt struct {
	pickedAt, sentAt time.Time
	// read says that the prompt has been read on the present path.
	read bool
	// pace is that of the answer on the present path.
	pace relay.Pace
	// replaceAt is when another engine may be looked for again in the place of a stage.
	replaceAt map[relay.TargetID]time.Time
	// resent says that it was sent a second time: its target may have run the first
	// sending, also where the second did not come about.
	resent bool
	// permit says that a permit of the first target is reserved and not used.
	permit bool
}

// delivery is what a caller has got.
type delivery struct {
	w     http.ResponseWriter
	flush func()
	// caller is the caller's connection, or nil where it is of another kind.
	caller *callerConn
	// begun says that the caller has got the head of an answer.
	begun   bool
	beganAt time.Time
	// after is the id of the last event that the caller has.
	after string
	// events counts what the caller got, and worstPause is the longest wait
	// between two of them.
	events     int
	lastEvent  time.Time
	worstPause time.Duration
	// pauseExplained says that an engine is at fault for the present pause.
	pauseExplained bool
	// proven says that the answer has gone on for long enough to speak for the request.
	proven bool
	// heldUp is how long the answer has waited for its caller, and leftUnread says that its
	// target has waited since it was last read.
	heldUp     time.Duration
	leftUnread bool
}

// Serve takes a call to its final answer.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	g.awaitStart(ctx)
	route, org, refusal := g.admit(call)
	if refusal != nil {
		g.refuse(w, call, refusal, nil)
		return
	}
	f := &forwarding{g: g, call: call, route: route, class: route.Class, delivery: delivery{w: w, after: call.After}}
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
		f.pickedAt = clock.Now()
		r := f.tryAndRelease(ctx, path)
		path = f.lastPath
		f.count++
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
		f.g.log.Info("try failed", "request", f.call.ID, "fingerprint", f.fingerprint, "try", f.count, "result", r.String(), "cause", f.last, "path", path.String(), "begun", f.begun, "read", f.read)
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
	f.permit = path.HasPermit()
	defer func() { f.release(path) }()
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

// release gives back what the try on a path has taken.
func (f *forwarding) release(path relay.Path) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.g.router.Release(f.lastPath, f.read)
	if f.permit {
		f.permit = false
		f.g.router.UsePermit(path.First().Target, false, clock.Now())
	}
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
		Admit:   func() error { return f.mayReach(first.Target) },
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
	notice := f.takeNotice(path, answer)
	verdict := f.g.platform.Codec.Verdict(answer.Status, answer.Header)
	if verdict.NotRun {
		return f.notRun(path, verdict, notice, answer)
	}
	if f.route.Stream && answer.Status == http.StatusOK {
		return f.stream(ctx, path, watch, answer)
	}
	if verdict.Promise {
		return f.unproven(path, answer)
	}
	return f.whole(ctx, path, watch, answer)
}
