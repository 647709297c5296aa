package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// watcher looks after one try of a stream in its pauses. The path is that of the request:
// it changes when an engine on it is replaced.
type watcher struct {
	f   *forwarding
	ctx context.Context
	// living ends with the incarnation of the target that got the request.
	living context.Context
	began  time.Time
	// heard is when the last bytes came.
	heard time.Time
	// culprit is the target that the try was given up for.
	culprit relay.TargetID
	// request is what the try sent; its patience ends where the next event is overdue.
	request *target.Request
	// called says that the engines have been asked in the present pause.
	called bool
	// sound counts the reports in the present pause by which the engine does its part.
	sound int
	// silent says that the try was given up for its connection.
	silent bool
}

// hurryShare is the part of a route's bound on pauses before which nothing is asked: on the
// fastest paths a moment in which a VM is too busy to hear is longer than twice the mean pause,
// and looks like a loss.
const hurryShare = 0.4

// lateWake is how much later than asked for this process may wake up and still say what was
// silent meanwhile: a VM that got no processor time has heard nobody.
const lateWake = 15 * time.Millisecond

// listen sets how long the next event is waited for before waitOn is asked.
func (w *watcher) listen() {
	w.called = false
	w.sound = 0
	w.request.Patience = pauseCheck
	if after, ok := w.f.g.overdueAfter(w.f.pace); ok && w.worthHurry() {
		soonest := time.Duration(hurryShare * float64(w.f.route.Pause))
		w.request.Patience = min(max(after, soonest), pauseCheck)
	}
}

// worthHurry reports whether the answer can still be in time.
func (w *watcher) worthHurry() bool {
	bound := w.f.route.Pause
	return bound > 0 && w.f.worstPause <= bound
}

// findLost asks all engines on the path who of them lives, and reports whether to wait on:
// with others in the place of those that are lost, or where none is.
func (w *watcher) findLost() bool {
	asked := w.since().Add(w.request.Patience)
	w.request.Patience = pauseCheck
	if clock.Since(asked) > lateWake {
		return true
	}
	path := w.f.lastPath
	r := w.f.g.probes.call(w.ctx, path)
	w.f.g.meter.called(len(path.Stages), len(r.silent))
	w.f.g.log.Info("engines of an overdue answer are asked", "request", w.f.call.ID, "silent_ms", clock.Since(w.since()).Milliseconds(), "mean_ms", w.f.pace.Mean().Milliseconds(), "engines", len(path.Stages), "lost", r.silent, "slow", r.slow(), "certain", r.certain)
	w.f.g.takePaces(r.paces)
	if !r.certain || len(r.silent) == 0 {
		return w.leaveSlow()
	}
	for _, id := range r.silent {
		w.f.g.failed(id, true)
	}
	w.culprit = r.silent[0]
	if !w.f.repath(w.ctx, r.silent, "its engines are lost") {
		// They have answered nothing for a moment, which is no proof: an answer that could
		// not go on elsewhere waits.
		return !w.f.couldRepeat()
	}
	w.culprit = ""
	w.heard = clock.Now()
	return true
}

// leaveSlow has the answer go on without an engine that is slow, if there is one, and
// reports whether to wait for it: it waits too where no other engine can take its place.
func (w *watcher) leaveSlow() bool {
	id, slow := w.f.g.slowOn(w.f.lastPath)
	if slow && w.f.repath(w.ctx, []relay.TargetID{id}, "its engine is slow") {
		w.heard = clock.Now()
	}
	return w.ctx.Err() == nil
}

// since returns when the present pause began.
func (w *watcher) since() time.Time {
	if w.heard.IsZero() {
		return w.began
	}
	return w.heard
}

// waitOn is asked in each pause of pauseCheck whether to wait on.
func (w *watcher) waitOn() bool {
	if w.ctx.Err() != nil {
		return false
	}
	since := w.since()
	if id, ok := w.f.g.suspectOn(w.f.lastPath); ok {
		w.culprit = id
		return w.replace()
	}
	if !w.called && w.f.g.policy.Has(relay.OverdueRepair) {
		w.called = true
		if _, slow := w.f.g.slowOn(w.f.lastPath); slow {
			return w.leaveSlow()
		}
		return w.findLost()
	}
	if clock.Since(since) < probeAfter || !w.f.g.policy.Has(relay.StallProbe) {
		return true
	}
	if !w.probe() {
		return !w.onSilent()
	}
	return w.replace()
}

// replace has another engine take the place of the one that the request waits for, and
// reports whether to wait on: for the other engine, or because a try that is given up could
// not be followed by another. An engine that is silent may still go on, or its own end may
// be told in time.
func (w *watcher) replace() bool {
	if w.ctx.Err() != nil {
		return false
	}
	if !w.f.repath(w.ctx, []relay.TargetID{w.culprit}, "its engine fails") {
		return !w.f.couldRepeat()
	}
	w.f.g.failed(w.culprit, true)
	w.culprit = ""
	w.heard = clock.Now()
	return true
}

// suspectOn returns a target on a path that is under suspicion.
func (g *Gateway) suspectOn(p relay.Path) (relay.TargetID, bool) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range p.Stages {
		if g.router.Suspect(s.Target, now) {
			return s.Target, true
		}
	}
	return "", false
}

// probe asks the first engine whether the request stands still, and reports
// whether it is to be given up.
func (w *watcher) probe() bool {
	first := w.f.lastPath.First()
	w.f.g.meter.probed()
	report, err := w.f.g.probes.ask(w.ctx, first)
	if w.ctx.Err() != nil {
		return true
	}
	if err != nil && !errors.Is(err, ErrEngineSilent) {
		// It lives, and its report can't be used: that says nothing of the request.
		w.f.g.log.Info("report of an engine is not used", "target", first.Target, "request", w.f.call.ID, "error", err.Error())
		w.sound = 0
		return false
	}
	if err != nil {
		w.f.g.log.Info("engine does not answer", "target", first.Target, "address", first.Address, "request", w.f.call.ID, "error", err.Error())
		w.culprit = first.Target
		return true
	}
	if first.Target.OtherIncarnation(report.Born) {
		w.f.g.log.Info("engine has started again", "target", first.Target, "address", first.Address, "request", w.f.call.ID, "born", report.Born)
		w.culprit = first.Target
		return true
	}
	address, ok := report.Stalled[w.f.call.ID]
	if !ok {
		w.noteWell(report)
		return false
	}
	if s, ok := w.f.lastPath.At(address); ok {
		w.culprit = s.Target
	} else {
		w.culprit = first.Target
	}
	w.f.g.log.Info("stream stands still", "request", w.f.call.ID, "waits_for", address)
	return true
}
