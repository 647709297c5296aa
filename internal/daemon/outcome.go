package daemon

import (
	"context"
	"errors"
	"io"
	"strconv"
	"syscall"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file says what a try that brought no whole answer came to, and which target is at fault.

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
	if errors.Is(err, ErrHeldBack) {
		return f.heldBack(path)
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

// heldBack takes a request that was not sent because its target has spoken since it was
// picked. Where it was a second sending, the first one may have run.
func (f *forwarding) heldBack(path relay.Path) result {
	f.g.meter.heldBack()
	f.full = append(f.full, path.First().Target)
	if f.resent {
		return resultBroken
	}
	return resultNotSent
}

// noteBrokenOff notes that a target closed the connection in the middle of the request. One
// that fell silent may be behind a cut: nothing that it was sent is to blame.
func (f *forwarding) noteBrokenOff(path relay.Path, watch *watcher, err error) {
	notSent := errors.Is(err, target.ErrNotSent)
	if notSent && !f.resent || errors.Is(err, target.ErrSilent) {
		return
	}
	// One that was sent again in vain may have run at first, over the connection before.
	certain := errors.Is(context.Cause(watch.living), errIncarnationEnded) || notSent && errors.Is(err, syscall.ECONNREFUSED)
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
// Where it asks to back off, that is kept instead of the pause for a target that is full: it is not
// found dead however often it refuses.
func (f *forwarding) notRun(path relay.Path, v Verdict, notice relay.Notice, answer *target.Answer) result {
	drain(answer)
	culprit := path.First()
	if s, ok := path.At(v.AtFault); ok {
		culprit = s
	}
	f.last = "target " + culprit.Address + " answered " + strconv.Itoa(answer.Status) + ", not run"
	if culprit.Target != path.First().Target || notice.BackoffUntil.IsZero() {
		f.g.refusedBy(culprit.Target)
	}
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
