package daemon

import (
	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file applies effects of the Node that are for a gateway: what the Node has learned.

// execute applies an effect that is for a gateway.
func (g *Gateway) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.DocumentInForce:
		g.applyDocument(e)
	case core.ConfigStatus:
		g.setConfigStatus(e)
	case core.TargetsLearned:
		g.applyTargets(e.Targets)
	case core.TargetsEnded:
		g.endIncarnations(e)
	case core.FleetLearned:
		g.applyFleet(e)
	case core.PermitsGranted:
		g.applyGrant(e)
	case core.QuarantineInForce:
		g.setQuarantine(e)
	case core.BackoffsEnded:
		g.endBackoffs(e.Targets)
	case core.OrderLayers:
		go g.orderLayers(e)
	}
}

func (g *Gateway) applyTargets(targets []relay.Target) {
	g.mu.Lock()
	ended := g.router.SupersededBy(targets)
	g.mu.Unlock()
	if len(ended) > 0 {
		g.endIncarnations(core.TargetsEnded{Ended: ended})
	}
	g.mu.Lock()
	g.router.UpdateTargets(targets)
	g.mu.Unlock()
	g.signalRoutable()
	g.logTargets(targets)
}

// maxLoggedTargets bounds the targets that one log line names. Each change of a target
// reaches every VM, so lines must not grow with the number of targets.
const maxLoggedTargets = 4

// logTargets logs newly received changes of targets, in one line.
func (g *Gateway) logTargets(targets []relay.Target) {
	var named []string
	leaving, loading := 0, 0
	for _, t := range targets {
		if len(named) < maxLoggedTargets {
			named = append(named, string(t.ID)+t.Layers.String())
		}
		if !t.AcceptsWork() {
			leaving++
		}
		if t.Loading {
			loading++
		}
	}
	g.log.Info("targets learned", "targets", len(targets), "leaving", leaving, "loading", loading, "first", named)
}

func (g *Gateway) applyDocument(e core.DocumentInForce) {
	g.mu.Lock()
	g.router.SetDocument(e.Document)
	g.documentAt = clock.Now()
	g.mu.Unlock()
	g.log.Info("document in force", "version", e.Document.Version, "revision", e.Revision, "routes", len(e.Document.Routes))
}

func (g *Gateway) setConfigStatus(s core.ConfigStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configStatus = s
}

func (g *Gateway) applyFleet(e core.FleetLearned) {
	g.mu.Lock()
	regained := !g.leaseHeld
	g.leaseHeld = true
	g.leaseUntil = e.LeaseUntil
	g.router.SetVMCount(e.VMs)
	if e.OthersReported {
		g.router.SetOthersWork(e.Others, e.OthersComplete)
		g.router.SetFleetUsage(e.Usage, e.UsageVMs, clock.Now())
	}
	g.router.ApplyMarks(e.Marks, e.MarksComplete)
	g.router.ApplyLimitMarks(e.Marks, e.MarksComplete, clock.Now())
	g.mu.Unlock()
	g.signalRoutable()
	if regained {
		g.log.Info("lease held", "until_in", clock.Until(e.LeaseUntil).String(), "entry_vms", e.VMs)
	}
}

// signalRoutable ends the wait of calls that arrived before this VM had a lease, a document
// and targets to serve them.
func (g *Gateway) signalRoutable() {
	g.mu.Lock()
	routable := clock.Now().Before(g.leaseUntil) && g.router.Ready()
	g.mu.Unlock()
	if routable {
		g.routableOnce.Do(func() { close(g.routable) })
	}
}

func (g *Gateway) orderLayers(o core.OrderLayers) {
	outcome := core.OrderRefused
	if clock.SampleNow().Before(o.NotAfter) {
		ctx, cancel := clock.WithDeadline(g.daemon.context, o.NotAfter)
		outcome, _ = g.platform.Engines.Order(ctx, o)
		cancel()
	}
	g.meter.ordered(outcome)
	g.daemon.post(core.LayersOrdered{Target: o.Target, Outcome: outcome})
}
