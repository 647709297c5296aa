package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file reads bodies within the available memory, and distinguishes slow callers from
// slow targets.

// errNoMemory is returned if there was no memory for an answer.
var errNoMemory = errors.New("this VM has no memory left for the answer")

const (
	// initialBodyBytes is the initial size of a body's buffer, in bytes: most bodies fit.
	initialBodyBytes = 4 << 10
	// noMemoryRetryDelay is the delay after which a caller refused for lack of memory is asked to
	// try again: answers that nobody reads are ended within half of that.
	noMemoryRetryDelay = time.Second
	// minBlamedStall is how long a caller must have stalled a target's answer for a break in it
	// to be the caller's fault: targets cut off answers left unread for some seconds.
	minBlamedStall = 500 * time.Millisecond
)

// readBounded reads to the end, or up to limit bytes and one more. It reserves memory before
// each growth of its buffer. length is a hint of the size, negative if unknown.
func readBounded(r io.Reader, length, limit int64, reserve func(bytes int64) bool) ([]byte, error) {
	size := min(max(length, 0)+1, limit+1)
	if length < 0 || size > maxBufferedAnswerBytes {
		size = initialBodyBytes
	}
	if !reserve(size) {
		return nil, errNoMemory
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return buffer, err
		case int64(len(buffer)) > limit:
			return buffer, nil
		case len(buffer) < cap(buffer):
			continue
		}
		size = min(2*size, limit+1)
		if !reserve(size - int64(cap(buffer))) {
			return nil, errNoMemory
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
}

// ReadBody reads a caller's request body of up to limit bytes. The returned function
// releases its memory and must always be called. If there is no memory for the request,
// the error is a *relay.Refusal: the request has not run and will not.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	held := g.daemon.outbox.newReservation()
	if !held.reserveKernel() || !g.daemon.outbox.hasRoom(min(r.ContentLength, limit+1)) {
		return nil, held.close, g.noMemory()
	}
	if r.ContentLength == 0 {
		return nil, held.close, nil
	}
	body, err := g.daemon.intake.readRequest(w, r, limit, time.Time{}, func(bytes int64) bool { return held.reserve(relay.SideTargets, bytes) })
	if errors.Is(err, errNoMemory) {
		return nil, held.close, g.noMemory()
	}
	return body, held.close, err
}

func (g *Gateway) noMemory() *relay.Refusal {
	g.meter.refused(relay.RefusedNoMemory)
	return &relay.Refusal{Kind: relay.RefusedNoMemory, RetryAt: clock.Now().Add(noMemoryRetryDelay), Reason: "this VM has no memory left for the request"}
}

// readWhole reads the answer of a plain service, or the beginning of a long one.
func (f *forwarding) readWhole(ctx context.Context, held *reservation, answer *target.Answer) ([]byte, error) {
	return readBounded(answer, answer.Length, maxBufferedAnswerBytes, func(bytes int64) bool {
		return held.awaitReserve(ctx, relay.SideCallers, bytes)
	})
}

// answerWithoutMemory ends a request that has run and for whose answer there is no memory. Its
// target is not at fault, and there would be no more memory for another run.
func (f *forwarding) answerWithoutMemory(path relay.Path) result {
	f.g.recordSuccess(path.First().Target)
	f.lastCause = errNoMemory.Error()
	f.endCause = EndNoMemory
	f.attempts = f.attemptsAfter(resultBroken, path)
	return resultAborted
}

// excludeCallerStall excludes the time that an answer has waited for its caller from the timing of
// its engine.
func (f *forwarding) excludeCallerStall(watch *watcher) {
	stalled := f.caller.takeStall()
	if stalled == 0 {
		return
	}
	now := clock.Now()
	watch.lastReadAt = now
	f.lastEvent = f.lastEvent.Add(stalled)
	f.callerStall += stalled
	f.pace = relay.Pace{}
	f.stallAttributed = true
	f.waitedForCaller = stalled >= minBlamedStall
}

// recordNotSent handles a target that has not read earlier bodies. The target counts as full.
func (f *forwarding) recordNotSent(path relay.Path) result {
	f.lastCause = "target " + path.First().Address + " has not read the bodies before this one"
	f.markFull(path)
	return resultNotSent
}

// recordNotRead handles a target that is alive but does not read the request. It counts as full,
// not as lost; whether it runs the part that it has read is unknown.
func (f *forwarding) recordNotRead(path relay.Path) result {
	f.markFull(path)
	return resultBroken
}

// markFull marks the first target of a path as full, so that others are tried before it.
func (f *forwarding) markFull(path relay.Path) {
	f.g.mu.Lock()
	f.g.router.RecordRefusal(path.First().Target, clock.Now())
	f.g.mu.Unlock()
	f.full = append(f.full, path.First().Target)
}
