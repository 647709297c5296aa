package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// promptRead notes that the present path's answer has begun.
func (f *forwarding) promptRead() {
	if f.read {
		return
	}
	f.read = true
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.g.router.Begun(f.lastPath)
	f.g.router.FirstTaken(clock.Since(f.sentAt))
}

// stream hands on events as they come, whole ones only.
func (f *forwarding) stream(ctx context.Context, path relay.Path, watch *watcher, answer *target.Answer) result {
	var pending []byte
	buffer := make([]byte, eventBuffer)
	f.caller.waitsFor(true)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			watch.heard = clock.Now()
			f.leftUnread = false
			f.promptRead()
			var left error
			if pending, left = f.handOn(answer, append(pending, buffer[:n]...)); left != nil {
				f.last = "caller left: " + left.Error()
				return resultGone
			}
			f.explainStall(watch)
			f.leaveMoving(ctx)
			watch.listen()
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && len(pending) == 0 && f.begun:
			for _, s := range f.lastPath.Stages {
				f.g.succeeded(s.Target)
			}
			return resultDone
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		}
		if f.leftUnread && !errors.Is(err, target.ErrSilent) && watch.living.Err() == nil {
			f.last = "the answer was left unread for its caller: " + err.Error()
			return resultGone
		}
		return f.broken(ctx, f.lastPath, watch, err)
	}
}

// eventEnd ends each event.
var eventEnd = []byte("\n\n")

// handOn writes the whole events of data to the caller, and returns the rest. Its error
// says that the caller has left or was ended.
func (f *forwarding) handOn(answer *target.Answer, data []byte) ([]byte, error) {
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		return data, nil
	}
	whole := data[:end+len(eventEnd)]
	if !f.begun {
		copyHeader(f.w.Header(), answer.Header)
		f.w.WriteHeader(answer.Status)
		f.begun = true
		f.beganAt = clock.Now()
		f.g.meter.firstEvent(f.call.Arrived)
	}
	f.countEvents(whole)
	if _, err := f.w.Write(whole); err != nil {
		if !errors.Is(err, errUnread) {
			f.abandon(err)
		}
		return nil, err
	}
	f.flush()
	return append([]byte(nil), data[end+len(eventEnd):]...), nil
}

// countEvents notes the events that are handed on.
func (f *forwarding) countEvents(events []byte) {
	if id := lastEventID(events); id != "" {
		f.after = id
	}
	now := clock.Now()
	if f.events > 0 {
		f.worstPause = max(f.worstPause, now.Sub(f.lastEvent))
	}
	count := bytes.Count(events, eventEnd)
	if count == 1 && !f.pauseExplained {
		f.g.paused(f.pace, now.Sub(f.lastEvent))
	}
	f.pauseExplained = false
	f.pace = f.pace.With(count, now)
	f.events += count
	if !f.proven && now.Sub(f.beganAt) >= provenAfter {
		f.proven = true
		f.g.ranWell(f.fingerprint)
	}
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
