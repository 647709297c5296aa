package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file applies the notices that targets send with their answers, and holds back what
// targets don't accept. relay/backoffs.go and relay/draining.go decide.
//
// There are two ways to a target, and both are checked here: requests, which the Exchanger
// checks once it has a connection (checkMaySend), and calls to engines beside the requests
// (gatedEngines). So nothing reaches a target that this VM backs off from, even if it was
// picked before the notice, waited for a connection or is sent a second time. Requests that a
// leaving target has accepted end there, and may be given another path; no more requests are
// sent there.

// ErrHeldBack is returned if a target accepts nothing from this VM at present.
var ErrHeldBack = errors.New("held back")

// checkMaySend returns why the request may not be sent to a target, or nil. Its error is an
// ErrHeldBack. The first sending on a path uses the permit that was reserved for it, where the
// target has a rate limit; each further sending takes another permit. A repeat that was taken too
// long ago, while other targets were dialed, is taken anew.
func (f *forwarding) checkMaySend(id relay.TargetID) error {
	g := f.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.router.IsDraining(id) {
		return fmt.Errorf("%w: target %s leaves; another one serves the request", ErrHeldBack, id)
	}
	if err := g.backoffError(id); err != nil {
		return err
	}
	now := clock.Now()
	if admission, _ := f.admission(now); admission != relay.Admitted && admission != relay.AdmittedAsTrial {
		return errQuarantined
	}
	if !f.repeatUntil.IsZero() && now.After(f.repeatUntil) {
		if !g.router.AllowRepeat(f.service, f.resumed(), now) {
			f.repeatUntil, f.repeatExpired = time.Time{}, true
			return fmt.Errorf("%w: the repeat that was taken for target %s has expired, and there is no other", ErrHeldBack, id)
		}
		f.repeatUntil = now.Add(g.router.RepeatTTL())
	}
	permitted := false
	if f.permitReserved {
		f.permitReserved = false
		permitted = g.router.EndReservation(id, true, now)
	} else {
		permitted = g.router.AcquirePermit(id, now)
	}
	if !permitted {
		return fmt.Errorf("%w: target %s takes %g requests a second, and this VM has no permit left", ErrHeldBack, id, g.router.Limit(id, now))
	}
	f.repeatUntil = time.Time{}
	if !f.useTrial(now) {
		return errQuarantined
	}
	return nil
}

// checkMayAsk returns why an engine may not be called, or nil. Its error is an ErrHeldBack. Such a
// call counts against the engine's rate limit but needs no permit: orders, reports and new
// paths are few, and answers in flight depend on them.
func (g *Gateway) checkMayAsk(id relay.TargetID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.backoffError(id); err != nil {
		return err
	}
	g.router.ChargePermit(id, clock.Now())
	return nil
}

// backoffError returns an error while this VM backs off from a target. The caller holds the
// lock.
func (g *Gateway) backoffError(id relay.TargetID) error {
	now := clock.Now()
	if until, backedOff := g.router.BackedOff(id, now); backedOff {
		return fmt.Errorf("%w: target %s has asked to back off, for %v more", ErrHeldBack, id, until.Sub(now).Round(time.Millisecond))
	}
	return nil
}

// handleNotice applies the notice that came with the first target's answer to the present try.
func (f *forwarding) handleNotice(path relay.Path, answer *target.Answer) relay.Notice {
	now := clock.Now()
	first := path.First()
	notice, err := f.g.platform.Codec.Notice(first.Target, answer.Status, answer.Header, now)
	f.g.unusableNotice(first.Target, err)
	if vm := answer.TunnelVM(); vm != "" && notice.BackoffUntil.After(now) {
		go f.g.passBackoff(vm, first.Target, notice.BackoffUntil)
	}
	if f.g.applyNotice(first.Target, notice, f.sentAt, now) {
		f.g.log.Info("target says something of itself", "request", f.call.ID, "target", first.Target, "address", first.Address, "status", answer.Status,
			"leaving", notice.Leaving, "backoff_ms", backoffMillis(notice, now), "limited", notice.Limited, "limit_per_s", notice.Limit, "picked_ms", now.Sub(f.pickedAt).Milliseconds(), "sent_ms", now.Sub(f.sentAt).Milliseconds())
	}
	return notice
}

// passBackoff passes a backoff on to the VM that carried the answer which asked for it: the target sees
// that VM.
func (g *Gateway) passBackoff(vm string, id relay.TargetID, until time.Time) {
	ctx, cancel := context.WithTimeout(g.daemon.context, tunnelTimeout)
	defer cancel()
	err := g.daemon.credentials.SendBackoff(ctx, vm, wire.BackoffNotice{Target: id, For: until.Sub(clock.Now())})
	g.log.Info("backoff passed on to the VM of a tunnel", "target", id, "peer", vm, "error", errorText(err))
}

// applyNotice applies a target's notice, and reports whether it contained anything new.
func (g *Gateway) applyNotice(id relay.TargetID, notice relay.Notice, sentAt, now time.Time) bool {
	g.unread.record(string(id), notice.Unread)
	g.meter.noticed(notice)
	g.mu.Lock()
	defer g.mu.Unlock()
	isNew := false
	if limit, named := notice.LimitAnswer(sentAt, now); named {
		isNew = g.router.ObserveLimit(id, limit)
	}
	if notice.Leaving && g.router.NoteDraining(id, now) {
		isNew = true
	}
	if !notice.BackoffUntil.IsZero() {
		g.router.RecordBackoff(id, notice.BackoffUntil, now)
		isNew = true
	}
	return isNew
}

// applyEngineNotice applies the notice that came with an engine's answer to anything but a
// request.
func (g *Gateway) applyEngineNotice(engine relay.Stage, asked string, notice relay.Notice, sentAt time.Time) {
	now := clock.Now()
	notice.Unlimited = false // only answers to requests are known to name every limit
	if g.applyNotice(engine.Target, notice, sentAt, now) {
		if notice.Leaving {
			g.daemon.post(core.TargetDrains{Target: engine.Target})
		}
		g.log.Info("engine says something of itself", "asked", asked, "target", engine.Target, "address", engine.Address,
			"leaving", notice.Leaving, "backoff_ms", backoffMillis(notice, now), "limited", notice.Limited, "limit_per_s", notice.Limit)
	}
}

// endBackoffs ends the backoffs of targets on an operator's command.
func (g *Gateway) endBackoffs(targets []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range targets {
		g.log.Info("backoffs are ended by an operator", "target", name, "backoffs", g.router.EndBackoffs(name))
	}
}

// unusableNotice counts and logs the parts of a notice that can't be parsed.
func (g *Gateway) unusableNotice(id relay.TargetID, err error) {
	var parts interface{ Unwrap() []error }
	switch {
	case err == nil:
	case errors.As(err, &parts):
		for _, part := range parts.Unwrap() {
			g.Unusable(string(id), part)
		}
	default:
		g.Unusable(string(id), err)
	}
}

// backoffMillis returns the length of the requested backoff in milliseconds.
func backoffMillis(n relay.Notice, now time.Time) int64 {
	if n.BackoffUntil.IsZero() {
		return 0
	}
	return n.BackoffUntil.Sub(now).Milliseconds()
}

// gatedEngines holds back calls to engines that this VM backs off from.
type gatedEngines struct {
	Engines
	g *Gateway
}

// Order implements Engines. An order that is held back counts as refused and is given again.
func (e gatedEngines) Order(ctx context.Context, o core.OrderLayers) (core.OrderOutcome, relay.Notice) {
	if err := e.g.checkMayAsk(o.Target); err != nil {
		e.g.log.Info("order not sent", "target", o.Target, "reason", err.Error())
		return core.OrderRefused, relay.Notice{}
	}
	sentAt := clock.Now()
	outcome, notice := e.Engines.Order(ctx, o)
	e.g.applyEngineNotice(relay.Stage{Target: o.Target, Address: o.Address}, "order", notice, sentAt)
	return outcome, notice
}

// Report implements Engines.
func (e gatedEngines) Report(ctx context.Context, engine relay.Stage) (EngineReport, error) {
	if err := e.g.checkMayAsk(engine.Target); err != nil {
		return EngineReport{}, err
	}
	sentAt := clock.Now()
	report, err := e.Engines.Report(ctx, engine)
	e.g.applyEngineNotice(engine, "report", report.Notice, sentAt)
	return report, err
}

// Repath implements Engines. An answer whose new path is held back waits, or resumes elsewhere
// as a repeat.
func (e gatedEngines) Repath(ctx context.Context, request string, p relay.Path) (relay.Notice, error) {
	if err := e.g.checkMayAsk(p.First().Target); err != nil {
		return relay.Notice{}, err
	}
	sentAt := clock.Now()
	notice, err := e.Engines.Repath(ctx, request, p)
	e.g.applyEngineNotice(p.First(), "path", notice, sentAt)
	return notice, err
}
