package daemon

import (
	"slices"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has requests wait for permits of targets that take so many requests a second, and tells
// operators of such targets. relay/permits.go and relay/limits.go decide.

// takePermits takes what the leader has lent.
func (g *Gateway) applyGrant(e core.PermitsLent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.TakeGrant(e.Number, e.Permits, e.Until, clock.Now())
}

// waitForPermit notes that a request waits, and asks the leader for permits now. The wait ends with
// the function that is returned.
func (g *Gateway) waitForPermit(service string, urgency int) (release func()) {
	g.mu.Lock()
	stopWaiting := g.router.Wait(service, urgency)
	asks := g.router.PermitAsks(clock.Now())
	g.mu.Unlock()
	g.daemon.post(core.PermitsWanted{Asks: asks})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		stopWaiting()
	}
}

// urgency orders the request among those that wait for permits: a stream in the middle can't be
// told to come back.
func (f *forwarding) urgency() int {
	if f.resumed() {
		return 0
	}
	return 1 + f.class
}

// limitsNamed bounds the targets that one line names.
const maxLoggedLimits = 8

// noteLimits logs and counts the targets with limits, a line where they change.
func (g *Gateway) recordLimits(limited []relay.LimitedTarget) {
	g.meter.limits(limited)
	var now []loggedLimit
	for _, l := range limited {
		now = append(now, loggedLimit{target: l.Target, perSecond: l.PerSecond})
	}
	if slices.Equal(now, g.limitsLogged) {
		return
	}
	var named []relay.LimitedTarget
	for _, l := range limited {
		if !slices.Contains(g.limitsLogged, loggedLimit{target: l.Target, perSecond: l.PerSecond}) && len(named) < maxLoggedLimits {
			named = append(named, l)
		}
	}
	g.log.Info("limits of targets have changed", "targets", len(now), "before", len(g.limitsLogged), "new", named)
	g.limitsLogged = now
}

// loggedLimit is a limit as it was logged last.
type loggedLimit struct {
	target    relay.TargetID
	perSecond float64
}

// sentBack notes a refusal for want of permits: the next caller is told a later time.
func (g *Gateway) sentBack(r *relay.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.SentBack(r.Service, r)
}
