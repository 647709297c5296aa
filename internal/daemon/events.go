package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// recordPromptProcessed records that the answer on the present path has begun.
func (f *forwarding) recordPromptProcessed() {
	if f.promptProcessed {
		return
	}
	f.promptProcessed = true
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.g.router.RecordBegun(f.lastPath)
	f.g.router.ObserveFirstEvent(clock.Since(f.sentAt))
}

// maxEventBytes bounds an event, in bytes: a target may send bytes that are no event, without an end.
const maxEventBytes = maxBufferedAnswerBytes

// errEventTooLong ends an answer with an event of more than maxEventBytes.
var errEventTooLong = &target.NoAnswerError{Fault: target.FaultEndless, Detail: fmt.Sprintf("an event has over %d bytes", maxEventBytes)}

// partialEvent is the beginning of an event, in memory that is reserved.
type partialEvent struct {
	bytes    []byte
	held     *reservation
	reserved int64
}

// set replaces the bytes. Its error is errEventTooLong, or errNoMemory if there is no memory for them.
func (p *partialEvent) set(ctx context.Context, bytes []byte) error {
	p.bytes = bytes
	size := int64(len(bytes))
	switch {
	case size > maxEventBytes:
		return errEventTooLong
	case size <= p.reserved:
		return nil
	case !p.held.awaitReserve(ctx, relay.SideCallers, size):
		return errNoMemory
	}
	p.reserved += size
	return nil
}

// stream forwards events as they arrive, only whole ones.
func (f *forwarding) stream(ctx context.Context, path relay.Path, watch *watcher, answer *target.Answer) result {
	pending := partialEvent{held: f.g.daemon.outbox.newReservation(), reserved: streamReadBytes}
	defer pending.held.close()
	buffer := make([]byte, streamReadBytes)
	f.caller.setTargetWaits(true)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			watch.lastReadAt = clock.Now()
			f.waitedForCaller = false
			f.recordPromptProcessed()
			rest, left := f.forwardEvents(answer, append(pending.bytes, buffer[:n]...))
			if errors.Is(left, errGraceEnded) {
				return f.handleBroken(ctx, f.lastPath, watch, left)
			}
			if left != nil {
				f.lastCause = "caller left: " + left.Error()
				f.endCause = EndNotReading
				return resultAborted
			}
			if failed := pending.set(ctx, rest); errors.Is(failed, errNoMemory) {
				return f.answerWithoutMemory(path)
			} else if failed != nil {
				return f.handleBroken(ctx, f.lastPath, watch, failed)
			}
			f.excludeCallerStall(watch)
			f.leaveMovingEngine(ctx)
			watch.resetMaxPause()
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && len(pending.bytes) == 0 && f.headSent:
			for _, s := range f.lastPath.Stages {
				f.g.recordSuccess(s.Target)
			}
			if !f.eventAt.IsZero() {
				f.recordRanWell(f.eventAt)
			}
			return resultDone
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		}
		if f.waitedForCaller && !errors.Is(err, target.ErrSilent) && watch.incarnationCtx.Err() == nil {
			f.lastCause = "the answer was left unread for its caller: " + err.Error()
			f.endCause = EndNotReading
			return resultAborted
		}
		return f.handleBroken(ctx, f.lastPath, watch, err)
	}
}

// eventEnd terminates an event.
var eventEnd = []byte("\n\n")

// forwardEvents writes the whole events of data to the caller, and returns the rest. Its error
// means that the caller has disconnected or was ended, or is errGraceEnded.
func (f *forwarding) forwardEvents(answer *target.Answer, data []byte) ([]byte, error) {
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		return data, nil
	}
	whole := data[:end+len(eventEnd)]
	if !f.headSent {
		if !f.beginAnswer() {
			return nil, errGraceEnded
		}
		copyHeader(f.w.Header(), answer.Header)
		f.w.WriteHeader(answer.Status)
		f.firstEventAt = clock.Now()
		f.g.meter.firstEvent(f.call.Arrived)
	}
	f.countEvents(whole)
	if _, err := f.w.Write(whole); err != nil {
		if !errors.Is(err, errCallerNotReading) {
			f.abandon(err)
		}
		return nil, err
	}
	f.flush()
	return append([]byte(nil), data[end+len(eventEnd):]...), nil
}

// countEvents records the events that are forwarded.
func (f *forwarding) countEvents(events []byte) {
	if id := lastEventID(events); id != "" {
		f.lastID = id
	}
	now := clock.Now()
	if f.events > 0 {
		f.worstPause = max(f.worstPause, now.Sub(f.lastEvent))
	}
	count := bytes.Count(events, eventEnd)
	if count == 1 && !f.stallAttributed {
		f.g.recordPause(f.pace, now.Sub(f.lastEvent))
	}
	f.stallAttributed = false
	f.pace = f.pace.With(count, now)
	f.events += count
	if f.eventAt.IsZero() {
		f.eventAt = now
	}
	f.recordProvenRun()
	f.lastEvent = now
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
