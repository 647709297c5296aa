package daemon

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file does the periodic housekeeping of a gateway.

// probeSlow asks engines that were slow for their current pace.
func (g *Gateway) probeSlow(engines []relay.Stage) {
	for _, e := range engines {
		g.daemon.tomb.Go(func() error {
			g.meter.probed()
			report, err := g.probes.ask(g.daemon.context, e)
			if err != nil {
				g.log.Info("engine that was slow does not answer", "target", e.Target, "error", err.Error())
				return nil
			}
			if e.Target.OtherIncarnation(report.StartMillis) {
				g.log.Info("engine that was slow has restarted", "target", e.Target, "born", report.StartMillis)
				return nil
			}
			g.setPaces(map[relay.TargetID]float64{e.Target: report.Pace})
			return nil
		})
	}
}

// upkeepInterval is the interval of the housekeeping.
const upkeepInterval = 200 * time.Millisecond

// logSuspension logs that this VM was suspended, once for each suspension.
func (g *Gateway) logSuspension() {
	total := clock.Suspended()
	if total > g.suspended {
		g.log.Info("this VM was suspended", "for", (total - g.suspended).String(), "in_all", total.String())
	}
	g.suspended = total
}

// upkeep reports work in flight to the Node, and closes idle connections.
func (g *Gateway) upkeep() error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case tick := <-ticker.C:
			g.daemon.outbox.upkeep(tick)
			now := clock.SampleNow()
			g.exchanger.CloseExpired(now)
			g.logSuspension()
			g.mu.Lock()
			lost := g.leaseHeld && now.After(g.leaseUntil)
			g.leaseHeld = g.leaseHeld && !lost
			due := g.router.SlowEnginesToCheck(now)
			g.router.ForgetBackoffs(now)
			g.router.ForgetDraining(now)
			counted := core.WorkCounted{Work: g.router.OwnWork(), Usage: g.router.Usage(now), Findings: g.router.Findings(now), Limits: g.router.PermitRequests(now)}
			g.mu.Unlock()
			counted.Findings.Unread = g.unread.list()
			if lost {
				g.log.Info("lease lost: no leader is heard, callers are refused", "own_targets", len(counted.Work))
			}
			g.meter.targetsBackedOff(len(counted.Findings.BackedOff))
			g.recordLimits(counted.Findings.Limited)
			g.daemon.post(counted)
			g.returnTrials(now)
			g.probeSlow(due)
			g.checkReach()
		case <-g.daemon.tomb.Dying():
			return nil
		}
	}
}
