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

// This file reads bodies within the memory that there is, and keeps callers that are slow
// apart from targets that are.

// errNoMemory says that there was no room for an answer.
var errNoMemory = errors.New("this VM has no memory left for the answer")

const (
	// bodyFirst is the size that a body's buffer begins with, in bytes: most bodies fit.
	bodyFirst = 4 << 10
	// noMemoryRetry is when a caller for whose body there was no memory is asked to try
	// again: answers that nobody reads are ended within half of that.
	noMemoryRetryDelay = time.Second
	// stallBlamed is how long a caller must have held up a target's answer for a break of it
	// to be the caller's fault: targets cut off what is left unread for some seconds.
	minBlamedStall = 500 * time.Millisecond
)

// readBounded reads to the end, or up to most bytes and one more. Each time its buffer
// grows, it asks for that much memory first; length is a guess, or negative.
func readBounded(r io.Reader, length, limit int64, reserve func(bytes int64) bool) ([]byte, error) {
	size := min(max(length, 0)+1, limit+1)
	if length < 0 || size > wholeLimit {
		size = bodyFirst
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

// ReadBody reads the body of a caller's request of up to most bytes. The returned function
// gives its memory back and is called in any case. The error is a *relay.Refusal where there
// is no memory for the request: it has not run and will not.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	held := g.daemon.outbox.open()
	if !held.reserveKernel() || !g.daemon.outbox.hasRoom(min(r.ContentLength, limit+1)) {
		return nil, held.close, g.noMemory()
	}
	body, err := readBounded(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, func(bytes int64) bool {
		return held.reserve(relay.SideTargets, bytes)
	})
	if errors.Is(err, errNoMemory) {
		return nil, held.close, g.noMemory()
	}
	return body, held.close, err
}

func (g *Gateway) noMemory() *relay.Refusal {
	g.meter.refused(relay.RefusedNoMemory)
	return &relay.Refusal{Kind: relay.RefusedNoMemory, RetryAt: clock.Now().Add(noMemoryRetryDelay), Reason: "this VM has no memory left for the request"}
}

// readWhole reads the answer of a plain service, or its beginning where it is long.
func (f *forwarding) readWhole(ctx context.Context, held *reservation, answer *target.Answer) ([]byte, error) {
	return readBounded(answer, answer.Length, wholeLimit, func(bytes int64) bool {
		return held.wait(ctx, relay.SideCallers, bytes)
	})
}

// answerWithoutMemory ends a request that was run and for whose answer there is no memory.
// Its target is not at fault, and another run would find no more memory.
func (f *forwarding) answerWithoutMemory(path relay.Path) result {
	f.g.succeeded(path.First().Target)
	f.last = errNoMemory.Error()
	f.attempts = f.attemptsAfter(resultBroken, path)
	return resultGone
}

// explainStall takes the time that an answer has waited for its caller out of all that is
// said of its engine.
func (f *forwarding) explainStall(watch *watcher) {
	stalled := f.caller.takeStall()
	if stalled == 0 {
		return
	}
	now := clock.Now()
	watch.heard = now
	f.lastEvent = f.lastEvent.Add(stalled)
	f.heldUp += stalled
	f.pace = relay.Pace{}
	f.pauseExplained = true
	f.leftUnread = stalled >= minBlamedStall
}

// notSent takes a target that has not read the bodies before this one. It counts as full.
func (f *forwarding) notSent(path relay.Path) result {
	f.last = "target " + path.First().Address + " has not read the bodies before this one"
	f.markFull(path)
	return resultNotSent
}

// notRead takes a target that lives and does not read the request. It counts as full, not as
// lost; whether it runs what it has read is not known.
func (f *forwarding) notRead(path relay.Path) result {
	f.markFull(path)
	return resultBroken
}

// noteFull has other targets be asked before the first one of a path.
func (f *forwarding) markFull(path relay.Path) {
	f.g.refusedBy(path.First().Target)
	f.full = append(f.full, path.First().Target)
}
