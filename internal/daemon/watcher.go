package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// watcher supervises one try of a stream during its pauses. The path is that of the request:
// it changes when an engine on it is replaced.
type watcher struct {
	f   *forwarding
	ctx context.Context
	// incarnationCtx ends with the incarnation of the target that got the request.
	incarnationCtx context.Context
	began          time.Time
	// lastReadAt is when bytes were last read.
	lastReadAt time.Time
	// culprit is the target for which the try was abandoned.
	culprit relay.TargetID
	// request is what the try sent; its MaxPause is the pause after which the next event is overdue.
	request *target.Request
	// livenessChecked is set if the engines have been checked in the present pause.
	livenessChecked bool
	// healthyReports counts the reports in the present pause that show the engine working.
	healthyReports int
	// connSilent is set if the try was abandoned because its connection was silent.
	connSilent bool
}

// minPauseShare is the fraction of a route's pause bound before which no engine is checked: on
// the fastest paths, this VM can be too busy to read for longer than twice the mean pause, which
// looks like a loss.
const minPauseShare = 0.4

// maxWakeDelay is how late this process may wake up and still treat engines without an answer
// as silent: a VM that got no processor time has read nothing.
const maxWakeDelay = 15 * time.Millisecond

// resetMaxPause sets how long to wait for the next event before keepWaiting is called, and resets
// what was found in the pause that has ended.
func (w *watcher) resetMaxPause() {
	w.livenessChecked = false
	w.healthyReports = 0
	w.request.MaxPause = stallCheckInterval
	if after, ok := w.f.g.overdueAfter(w.f.pace); ok && w.meetsPauseBound() {
		soonest := time.Duration(minPauseShare * float64(w.f.route.Pause))
		w.request.MaxPause = min(max(after, soonest), stallCheckInterval)
	}
}

// meetsPauseBound reports whether the answer can still stay within its pause bound.
func (w *watcher) meetsPauseBound() bool {
	bound := w.f.route.Pause
	return bound > 0 && w.f.worstPause <= bound
}

// findLostEngines checks the liveness of all engines on the path and replaces lost or slow ones.
// It reports whether to keep waiting: lost engines were replaced, none is lost, or the request
// could not be repeated.
func (w *watcher) findLostEngines() bool {
	asked := w.pauseStart().Add(w.request.MaxPause)
	w.request.MaxPause = stallCheckInterval
	if clock.Since(asked) > maxWakeDelay {
		return true
	}
	path := w.f.lastPath
	r := w.f.g.probes.checkLiveness(w.ctx, path)
	w.f.g.meter.livenessChecked(len(path.Stages), len(r.silent))
	w.f.g.log.Info("engines of an overdue answer are asked", "request", w.f.call.ID, "silent_ms", clock.Since(w.pauseStart()).Milliseconds(), "mean_ms", w.f.pace.Mean().Milliseconds(), "engines", len(path.Stages), "lost", r.silent, "slow", r.slow(), "certain", r.certain)
	w.f.g.setPaces(r.paces)
	if !r.certain || len(r.silent) == 0 {
		return w.replaceSlow()
	}
	for _, id := range r.silent {
		w.f.g.recordFailure(id, true)
	}
	w.culprit = r.silent[0]
	if !w.f.repath(w.ctx, r.silent, "its engines are lost") {
		// No answer within livenessTimeout doesn't prove a loss, so an answer that could not continue
		// elsewhere waits.
		return !w.f.endRun(r.silent...)
	}
	w.culprit = ""
	w.lastReadAt = clock.Now()
	return true
}

// replaceSlow has the answer continue without a slow engine, if there is one. It reports
// whether to keep waiting, which it does as well where no other engine can take over.
func (w *watcher) replaceSlow() bool {
	id, slow := w.f.g.slowStageOn(w.f.lastPath)
	if slow && w.f.repath(w.ctx, []relay.TargetID{id}, "its engine is slow") {
		w.lastReadAt = clock.Now()
	}
	return w.ctx.Err() == nil
}

// pauseStart returns when the present pause began.
func (w *watcher) pauseStart() time.Time {
	if w.lastReadAt.IsZero() {
		return w.began
	}
	return w.lastReadAt
}

// keepWaiting is called after each pause of the request's MaxPause and reports whether to keep
// waiting.
func (w *watcher) keepWaiting() bool {
	if w.ctx.Err() != nil {
		return false
	}
	since := w.pauseStart()
	if w.f.g.isolatedFrom(w.f.service) {
		return w.keepWaitingIsolated(since)
	}
	if id, ok := w.f.g.suspectedTargetOn(w.f.lastPath); ok {
		w.culprit = id
		return w.replace()
	}
	if !w.livenessChecked && w.f.g.policy.Has(relay.OverdueRepair) {
		w.livenessChecked = true
		if _, slow := w.f.g.slowStageOn(w.f.lastPath); slow {
			return w.replaceSlow()
		}
		return w.findLostEngines()
	}
	if clock.Since(since) < probeAfter || !w.f.g.policy.Has(relay.StallProbe) {
		return true
	}
	if !w.probe() {
		return !w.connectionSilent()
	}
	return w.replace()
}

// keepWaitingIsolated reports whether to keep waiting while this VM is isolated from the service:
// its engines can't be asked. An answer that is silent on a direct connection, or on a tunnel whose
// VM accepts no connection any more, may come by way of another VM.
func (w *watcher) keepWaitingIsolated(since time.Time) bool {
	if clock.Since(since) < probeAfter {
		return true
	}
	if vm := w.request.TunnelVM(); vm != "" && accepts(vm) {
		return true
	}
	w.connSilent = w.f.endRun()
	return !w.connSilent
}

// replace has another engine take over from the one that the request waits for. It reports
// whether to keep waiting: for the replacement, or because there is no other path. A silent engine
// may still continue, or its end may be reported in time.
func (w *watcher) replace() bool {
	if w.ctx.Err() != nil {
		return false
	}
	if !w.f.repath(w.ctx, []relay.TargetID{w.culprit}, "its engine fails") {
		return !w.f.endRun(w.culprit)
	}
	w.f.g.recordFailure(w.culprit, true)
	w.culprit = ""
	w.lastReadAt = clock.Now()
	return true
}

// suspectedTargetOn returns a suspected target on a path, if there is one.
func (g *Gateway) suspectedTargetOn(p relay.Path) (relay.TargetID, bool) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range p.Stages {
		if g.router.IsSuspect(s.Target, now) {
			return s.Target, true
		}
	}
	return "", false
}

// probe asks the first engine whether the request is stalled, and reports whether to abandon
// it.
func (w *watcher) probe() bool {
	first := w.f.lastPath.First()
	w.f.g.meter.probed()
	report, err := w.f.g.probes.ask(w.ctx, first)
	if w.ctx.Err() != nil {
		return true
	}
	if err != nil && !errors.Is(err, ErrEngineSilent) {
		// The engine is alive, but its report can't be used: that proves nothing about the request.
		w.f.g.log.Info("unusable engine report", "target", first.Target, "request", w.f.call.ID, "error", err.Error())
		w.healthyReports = 0
		return false
	}
	if err != nil {
		w.f.g.log.Info("engine does not answer", "target", first.Target, "address", first.Address, "request", w.f.call.ID, "error", err.Error())
		w.culprit = first.Target
		return true
	}
	if first.Target.OtherIncarnation(report.StartMillis) {
		w.f.g.log.Info("engine has restarted", "target", first.Target, "address", first.Address, "request", w.f.call.ID, "born", report.StartMillis)
		w.culprit = first.Target
		return true
	}
	address, ok := report.Stalled[w.f.call.ID]
	if !ok {
		w.recordHealthyReport(report)
		return false
	}
	if s, ok := w.f.lastPath.StageAt(address); ok {
		w.culprit = s.Target
	} else {
		w.culprit = first.Target
	}
	w.f.g.log.Info("stream stands still", "request", w.f.call.ID, "waits_for", address)
	return true
}
