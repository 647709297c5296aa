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
)

// This file takes what targets say of themselves with their answers, and holds back what they
// don't want. relay/backoffs.go and relay/draining.go decide.
//
// Two ways lead to a target, and both pass here: requests, which the Exchanger asks about once
// it has a connection (mayReach), and what an engine is asked beside them (gatedEngines). So
// nothing that was picked before a target spoke, that waited for a connection or is sent a second
// time, reaches one that this VM backs off from. What was taken by a target that leaves ends there, and may be
// given another path; a request is sent there no more.

// ErrHeldBack says that a target wants nothing from this VM at present.
var ErrHeldBack = errors.New("held back")

// mayReach returns why the request may not be sent to a target, or nil. Its error is an
// ErrHeldBack. The first sending on a path has the permit that was reserved for it, where the target
// takes so many requests a second; each other one takes one more.
func (f *forwarding) mayReach(id relay.TargetID) error {
	g := f.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.router.Leaves(id) {
		return fmt.Errorf("%w: target %s leaves; another one serves the request", ErrHeldBack, id)
	}
	if err := g.whileBackedOff(id); err != nil {
		return err
	}
	now := clock.Now()
	permitted := false
	if f.permit {
		f.permit = false
		permitted = g.router.UsePermit(id, true, now)
	} else {
		permitted = g.router.TakePermit(id, now)
	}
	if !permitted {
		return fmt.Errorf("%w: target %s takes %g requests a second, and this VM has no permit left", ErrHeldBack, id, g.router.Limit(id, now))
	}
	return nil
}

// mayAsk returns why an engine may not be asked anything, or nil. Its error is an
// ErrHeldBack. What it is asked counts against its limit and needs no permit: orders, reports and
// new paths are few, and answers under way depend on them.
func (g *Gateway) mayAsk(id relay.TargetID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.whileBackedOff(id); err != nil {
		return err
	}
	g.router.ChargePermit(id, clock.Now())
	return nil
}

// whileBackedOff returns an error while a target is backed off from. The caller holds the lock.
func (g *Gateway) whileBackedOff(id relay.TargetID) error {
	now := clock.Now()
	if until, backedOff := g.router.BackedOff(id, now); backedOff {
		return fmt.Errorf("%w: target %s has asked to back off, for %v more", ErrHeldBack, id, until.Sub(now).Round(time.Millisecond))
	}
	return nil
}

// takeNotice takes what the first target of the present try says of itself with its answer.
func (f *forwarding) takeNotice(path relay.Path, answer *target.Answer) relay.Notice {
	now := clock.Now()
	first := path.First()
	notice, err := f.g.platform.Codec.Notice(first.Target, answer.Status, answer.Header, now)
	f.g.unusableNotice(first.Target, err)
	if f.g.applyNotice(first.Target, notice, f.sentAt, now) {
		f.g.log.Info("target says something of itself", "request", f.call.ID, "target", first.Target, "address", first.Address, "status", answer.Status,
			"leaving", notice.Leaving, "backoff_ms", backoffMillis(notice, now), "limited", notice.Limited, "limit_per_s", notice.Limit, "picked_ms", now.Sub(f.pickedAt).Milliseconds(), "sent_ms", now.Sub(f.sentAt).Milliseconds())
	}
	return notice
}

// applyNotice does as a target asks, and reports whether it said anything that is new here.
func (g *Gateway) applyNotice(id relay.TargetID, notice relay.Notice, sentAt, now time.Time) bool {
	g.unread.note(string(id), notice.Unread)
	g.meter.noticed(notice)
	g.mu.Lock()
	defer g.mu.Unlock()
	news := false
	if limit, said := notice.LimitAnswer(sentAt, now); said {
		news = g.router.HearLimit(id, limit)
	}
	if notice.Leaving && g.router.Leave(id, now) {
		news = true
	}
	if !notice.BackoffUntil.IsZero() {
		g.router.Backoff(id, notice.BackoffUntil, now)
		news = true
	}
	return news
}

// applyEngineNotice does as an engine asks with an answer to something other than a request.
func (g *Gateway) applyEngineNotice(engine relay.Stage, asked string, notice relay.Notice, sentAt time.Time) {
	now := clock.Now()
	notice.Unlimited = false // answers to requests alone are known to name each limit
	if g.applyNotice(engine.Target, notice, sentAt, now) {
		if notice.Leaving {
			g.daemon.post(core.TargetDrains{Target: engine.Target})
		}
		g.log.Info("engine says something of itself", "asked", asked, "target", engine.Target, "address", engine.Address,
			"leaving", notice.Leaving, "backoff_ms", backoffMillis(notice, now), "limited", notice.Limited, "limit_per_s", notice.Limit)
	}
}

// endBackoffs asks targets again whose backoffs an operator has ended.
func (g *Gateway) endBackoffs(targets []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range targets {
		g.log.Info("backoffs are ended by an operator", "target", name, "backoffs", g.router.EndBackoffs(name))
	}
}

// unusableNotice counts and logs the parts of a notice that can't be read.
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

// backoffMillis returns the length of the backoff that a target asks for, in milliseconds.
func backoffMillis(n relay.Notice, now time.Time) int64 {
	if n.BackoffUntil.IsZero() {
		return 0
	}
	return n.BackoffUntil.Sub(now).Milliseconds()
}

// gatedEngines ask nothing of engines that VMs back off from.
type gatedEngines struct {
	Engines
	g *Gateway
}

// Order implements Engines. An order that is held back counts as refused: it is given again.
func (e gatedEngines) Order(ctx context.Context, o core.OrderLayers) (core.OrderOutcome, relay.Notice) {
	if err := e.g.mayAsk(o.Target); err != nil {
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
	if err := e.g.mayAsk(engine.Target); err != nil {
		return EngineReport{}, err
	}
	sentAt := clock.Now()
	report, err := e.Engines.Report(ctx, engine)
	e.g.applyEngineNotice(engine, "report", report.Notice, sentAt)
	return report, err
}

// Repath implements Engines. An answer whose new path is held back waits, or goes on elsewhere
// as a repeat.
func (e gatedEngines) Repath(ctx context.Context, request string, p relay.Path) (relay.Notice, error) {
	if err := e.g.mayAsk(p.First().Target); err != nil {
		return relay.Notice{}, err
	}
	sentAt := clock.Now()
	notice, err := e.Engines.Repath(ctx, request, p)
	e.g.applyEngineNotice(p.First(), "path", notice, sentAt)
	return notice, err
}
