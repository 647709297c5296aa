package daemon

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file determines the outcome of a try without a whole answer, and which target is
// at fault.

// handleUnconfirmed handles an answer whose status would mean to the caller that its request has
// not run, from a target that does not confirm it.
func (f *forwarding) handleUnconfirmed(path relay.Path, answer *target.Answer) result {
	drain(answer)
	first := path.First()
	f.lastCause = "target " + first.Address + " answered " + strconv.Itoa(answer.Status) + ", and not that it has not run"
	f.g.recordFailure(first.Target, false)
	f.avoid = f.avoid.With(first.Target, clock.Now())
	return resultBroken
}

// handleBroken handles an exchange that ended without a whole answer.
func (f *forwarding) handleBroken(ctx context.Context, path relay.Path, watch *watcher, err error) result {
	f.lastCause = err.Error()
	if errors.Is(err, target.ErrNoAnswer) {
		f.g.meter.sentNoAnswer(target.FaultOf(err))
	}
	if ctx.Err() != nil {
		f.recordGivenUp(path, err)
		return resultAborted
	}
	f.abandoned = errors.Is(err, target.ErrSilent) || context.Cause(watch.incarnationCtx) != nil
	if errors.Is(err, target.ErrNotReading) {
		return f.recordNotRead(path)
	}
	if watch.connSilent || errors.Is(err, target.ErrSilent) {
		f.recordGivenUp(path, err)
	}
	if watch.connSilent {
		return f.leaveSilentConnection(path, watch)
	}
	if errors.Is(err, ErrHeldBack) {
		return f.handleHeldBack(path)
	}
	if cause := context.Cause(watch.incarnationCtx); cause != nil {
		f.lastCause = cause.Error()
	}
	culprit := path.First().Target
	if watch.culprit != "" {
		culprit = watch.culprit
	}
	f.g.recordFailure(culprit, true)
	f.avoid = f.avoid.With(culprit, clock.Now())
	f.recordProvenRun()
	f.recordBrokenOff(path, watch, err)
	if errors.Is(err, target.ErrNotSent) {
		f.recordUnreached(path.First().Target, err)
		return resultNotSent
	}
	return resultBroken
}

// handleHeldBack handles a request that was not sent because of a notice that its target gave
// after it was picked.
func (f *forwarding) handleHeldBack(path relay.Path) result {
	f.g.meter.heldBack()
	f.full = append(f.full, path.First().Target)
	return resultNotSent
}

// recordBrokenOff records that a target closed the connection in the middle of the request. A
// target that fell silent may be partitioned: no request that it had is to blame.
func (f *forwarding) recordBrokenOff(path relay.Path, watch *watcher, err error) {
	notSent := errors.Is(err, target.ErrNotSent)
	if notSent && !f.resent || errors.Is(err, target.ErrSilent) {
		return
	}
	// A request whose second sending failed may have run on the first, over the previous
	// connection.
	certain := errors.Is(context.Cause(watch.incarnationCtx), errIncarnationEnded) || notSent && refusedByTarget(err)
	f.g.recordBrokenRun(path.First(), f.currentRun(), certain)
}

// recordStageLost records that a later stage of the path kept the first one from running the
// request. A stage that is only full refuses at once.
func (f *forwarding) recordStageLost(stage relay.Stage) {
	if stage.Target != f.lastPath.First().Target && clock.Since(f.sentAt) >= stallCheckInterval {
		f.g.recordBrokenRun(stage, f.currentRun(), false)
	}
}

// currentRun returns the present run of the request.
func (f *forwarding) currentRun() run {
	return run{id: f.call.ID, fingerprints: f.fingerprints, began: f.sentAt, started: !f.eventAt.IsZero()}
}

// recordUnreached records a dial to a target that failed with err.
func (f *forwarding) recordUnreached(id relay.TargetID, err error) {
	if !refusedByTarget(err) {
		delete(f.refusedDials, id)
		return
	}
	f.g.reportGivenUp(id)
	if f.refusedDials == nil {
		f.refusedDials = make(map[relay.TargetID]int)
	}
	f.refusedDials[id]++
}

// refusedByTarget reports whether a dial failed because the target's address refuses connections. A VM
// that was asked for a tunnel may refuse them, too.
func refusedByTarget(err error) bool {
	var tunnel *wire.TunnelError
	return errors.Is(err, syscall.ECONNREFUSED) && !errors.As(err, &tunnel)
}

// handleNotRun handles an answer that declares that the request has not run. A requested backoff
// is applied instead of the pause for a full target: a target that backs off is not marked
// dead however often it refuses.
func (f *forwarding) handleNotRun(path relay.Path, v Verdict, notice relay.Notice, answer *target.Answer) result {
	drain(answer)
	culprit := path.First()
	if s, ok := path.StageAt(v.AtFault); ok {
		culprit = s
	}
	f.lastCause = "target " + culprit.Address + " answered " + strconv.Itoa(answer.Status) + ", not run"
	f.g.recordRefusal(path.First(), culprit, answer.Status, notice)
	f.recordStageLost(culprit)
	f.full = append(f.full, culprit.Target)
	return resultNotRun
}

// recordRefusal records that a target refused a request with a status because of a stage, which may
// be itself.
func (g *Gateway) recordRefusal(by, of relay.Stage, status int, notice relay.Notice) {
	own := by.Target == of.Target
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case own && !notice.BackoffUntil.IsZero():
		// The requested backoff takes the place of the pause after a refusal.
	case own && status == http.StatusMisdirectedRequest:
		g.router.RecordMisdirected(of.Target, now)
	case g.router.RecordRefusal(of.Target, now) && !own:
		go g.checkAlive(of)
	}
}

// checkAlive asks a stage in whose name another target has refused requests. One that does not
// answer is lost.
func (g *Gateway) checkAlive(s relay.Stage) {
	g.meter.probed()
	report, err := g.probes.ask(g.daemon.context, s)
	if errors.Is(err, ErrEngineSilent) || err == nil && s.Target.OtherIncarnation(report.StartMillis) {
		g.log.Info("engine that others refuse for is lost", "target", s.Target, "address", s.Address, "error", errorText(err))
		g.recordFailure(s.Target, true)
	}
}

// drainTimeout bounds the wait for a body that nobody needs: it usually arrives with its head.
const drainTimeout = 20 * time.Millisecond

// drain reads a small body to its end, so that the connection can be reused.
func drain(answer *target.Answer) {
	if answer.Framed && answer.Length < streamReadBytes {
		answer.Discard(streamReadBytes, drainTimeout)
	}
}
