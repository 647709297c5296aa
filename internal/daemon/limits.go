package daemon

import (
	"slices"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file makes requests wait for permits of targets that limit their request rate, and reports
// such targets to operators. relay/permits.go and relay/limits.go decide.

// applyGrant records the permits that the leader has granted.
func (g *Gateway) applyGrant(e core.PermitsGranted) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.ApplyGrant(e.Number, e.Permits, e.Until, clock.Now())
}

// waitForPermit records that a request waits, and asks the leader for permits at once. The
// returned function ends the wait.
func (g *Gateway) waitForPermit(service string, urgency int) (release func()) {
	g.mu.Lock()
	stopWaiting := g.router.Wait(service, urgency)
	asks := g.router.PermitRequests(clock.Now())
	g.mu.Unlock()
	g.daemon.post(core.PermitsWanted{Requests: asks})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		stopWaiting()
	}
}

// urgency is the priority of the request among those that wait for permits. A stream in progress
// comes first, since its caller can't be asked to try again.
func (f *forwarding) urgency() int {
	if f.resumed() {
		return 0
	}
	return 1 + f.class
}

// maxLoggedLimits bounds the targets that one log line names.
const maxLoggedLimits = 8

// recordLimits counts the targets with limits, and logs them when they change.
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

// loggedLimit is a limit as last logged.
type loggedLimit struct {
	target    relay.TargetID
	perSecond float64
}

// recordPermitRefusal records a refusal for lack of permits, so that the next caller gets a
// later retry time.
func (g *Gateway) recordPermitRefusal(r *relay.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.NoteReturn(r.Service, r)
}
