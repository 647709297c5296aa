package daemon

import (
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is a gateway's part in keeping requests away from targets that they would end:
// relay/suspects.go has the problem, core/quarantine.go how all VMs know.

const (
	// survivedKept is how long a request that a target has run well is not held to be what
	// ends others: requests that look alike come again within seconds or minutes. Where more
	// than survivedMost others come meanwhile, it is less; they take some 0.3 MB.
	survivedKept = time.Minute
	survivedMost = 4096
	// reportedMost bounds the requests of which it is told that they have run well since.
	reportedMost = 256
	// provenAfter is the time since its first event after which a run counts as a good one:
	// what ends its target does so as it begins.
	provenAfter = time.Second
)

// crashes is what a gateway knows of requests that end their targets.
type crashes struct {
	mu sync.Mutex
	// quarantine holds the requests that are sent to no target, and until when.
	quarantine map[relay.Fingerprint]time.Time
	// survived are requests that a target has run well of late, and reported those that the
	// leader was told of.
	survived relay.Recent[relay.Fingerprint]
	reported relay.Recent[relay.Fingerprint]
}

// init makes the sets.
func (c *crashes) init() {
	c.survived = relay.NewRecent[relay.Fingerprint](survivedMost, survivedKept)
	c.reported = relay.NewRecent[relay.Fingerprint](reportedMost, survivedKept)
}

// quarantined reports whether a request is sent to no target.
func (c *crashes) quarantined(request relay.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, held := c.quarantine[request]
	return held && now.Before(until)
}

// suspected returns the runs of requests that have not run well here of late, and notes that
// they are reported.
func (c *crashes) suspected(runs []relay.CrashedRun, now time.Time) []relay.CrashedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var suspected []relay.CrashedRun
	for _, r := range runs {
		if c.survived.Has(r.Request, now) {
			continue
		}
		c.reported.Add(r.Request, now)
		suspected = append(suspected, r)
	}
	return suspected
}

// ranWell notes that a target has run a request well, and reports whether the leader is to
// hear of it.
func (c *crashes) ranWell(request relay.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.survived.Has(request, now)
	c.survived.Add(request, now)
	return !known && c.reported.Has(request, now)
}

// takeQuarantine takes the requests that are sent to no target.
func (g *Gateway) takeQuarantine(e core.QuarantineInForce) {
	g.crashes.mu.Lock()
	before := len(g.crashes.quarantine)
	g.crashes.quarantine = e.Until
	g.crashes.mu.Unlock()
	g.meter.quarantined(len(e.Until))
	g.log.Info("quarantine in force", "requests", len(e.Until), "before", before)
}

// reportCrashed has the leader hear of runs that ended with their target.
func (g *Gateway) reportCrashed(runs []relay.CrashedRun) {
	if len(runs) == 0 {
		return
	}
	suspected := g.crashes.suspected(runs, clock.Now())
	g.meter.crashed(len(runs))
	if len(suspected) > 0 {
		g.daemon.post(core.RunsCrashed{Runs: suspected})
	}
}

// ranWell notes that a target has run a request well.
func (g *Gateway) ranWell(request relay.Fingerprint) {
	if now := clock.Now(); g.crashes.ranWell(request, now) {
		g.daemon.post(core.RequestSurvived{Request: request, At: now})
	}
}

// quarantineRefusal is what the caller of a request in quarantine is told: that it has run, and
// no time to come back at. An answer that has begun is not cut.
func (g *Gateway) quarantineRefusal(f *forwarding, now time.Time) *relay.Refusal {
	if f.begun || !g.crashes.quarantined(f.fingerprint, now) {
		return nil
	}
	return &relay.Refusal{
		Kind: relay.RefusedCrashes,
		Reason: "it has run, and the targets that ran it ended; it is not sent again: change it, or have an operator remove quarantine " +
			f.fingerprint.String(),
	}
}
