package daemon

import (
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the gateway's part in quarantining requests that crash their targets;
// relay/suspects.go describes the problem, core/quarantine.go how all VMs receive it.

const (
	// survivedTTL is how long a request that a target has run well is not suspected of crashing
	// targets: requests that look alike come again within seconds or minutes. It is shorter where
	// more than maxSurvived others arrive meanwhile; these take some 0.3 MB.
	survivedTTL = time.Minute
	maxSurvived = 4096
	// maxReported bounds the reported requests of which the leader is notified when they run well.
	maxReported = 256
	// provenRunTime is the time since its first event after which a run counts as good: a request
	// that crashes its target does so as it starts.
	provenRunTime = time.Second
)

// crashes is what a gateway knows of requests that crash their targets.
type crashes struct {
	mu sync.Mutex
	// quarantine holds the requests that are sent to no target, and until when.
	quarantine map[relay.Fingerprint]time.Time
	// survived are the requests that a target has run well recently, and reported those that were
	// reported to the leader.
	survived relay.RecentSet[relay.Fingerprint]
	reported relay.RecentSet[relay.Fingerprint]
}

// init creates the sets.
func (c *crashes) init() {
	c.survived = relay.NewRecentSet[relay.Fingerprint](maxSurvived, survivedTTL)
	c.reported = relay.NewRecentSet[relay.Fingerprint](maxReported, survivedTTL)
}

// quarantined reports whether a request is in quarantine.
func (c *crashes) quarantined(request relay.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, held := c.quarantine[request]
	return held && now.Before(until)
}

// markSuspected returns the runs of requests that have not run well here recently, and records
// them as reported.
func (c *crashes) markSuspected(runs []relay.CrashedRun, now time.Time) []relay.CrashedRun {
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

// recordRanWell records that a target has run a request well, and reports whether the leader has to
// be notified.
func (c *crashes) recordRanWell(request relay.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.survived.Has(request, now)
	c.survived.Add(request, now)
	return !known && c.reported.Has(request, now)
}

// setQuarantine replaces the set of requests in quarantine.
func (g *Gateway) setQuarantine(e core.QuarantineInForce) {
	g.crashes.mu.Lock()
	before := len(g.crashes.quarantine)
	g.crashes.quarantine = e.Until
	g.crashes.mu.Unlock()
	g.meter.quarantined(len(e.Until))
	g.log.Info("quarantine in force", "requests", len(e.Until), "before", before)
}

// reportCrashed reports runs that ended with their target to the leader.
func (g *Gateway) reportCrashed(runs []relay.CrashedRun) {
	if len(runs) == 0 {
		return
	}
	suspected := g.crashes.markSuspected(runs, clock.Now())
	g.meter.crashed(len(runs))
	if len(suspected) > 0 {
		g.daemon.post(core.RunsCrashed{Runs: suspected})
	}
}

// recordRanWell records that a target has run a request well.
func (g *Gateway) recordRanWell(request relay.Fingerprint) {
	if now := clock.Now(); g.crashes.recordRanWell(request, now) {
		g.daemon.post(core.RequestSurvived{Request: request, At: now})
	}
}

// quarantineRefusal returns the refusal of a request in quarantine: it states that the request
// has run, and gives no time to come back. An answer that has begun is not cut off.
func (g *Gateway) quarantineRefusal(f *forwarding, now time.Time) *relay.Refusal {
	if f.headSent || !g.crashes.quarantined(f.fingerprint, now) {
		return nil
	}
	return &relay.Refusal{
		Kind: relay.RefusedCrashes,
		Reason: "it has run, and the targets that ran it ended; it is not sent again: change it, or have an operator remove quarantine " +
			f.fingerprint.String(),
	}
}
