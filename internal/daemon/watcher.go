package daemon

import (
	"context"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// watcher looks after one try of a stream in its pauses. The path is that of the request:
// it changes when an engine on it is replaced.
type watcher struct {
	f     *forwarding
	ctx   context.Context
	began time.Time
	// heard is when the last bytes came.
	heard time.Time
	// culprit is the target that the try was given up for.
	culprit relay.TargetID
}

// waitOn is asked in each pause of pauseCheck whether to wait on.
func (w *watcher) waitOn() bool {
	if w.ctx.Err() != nil {
		return false
	}
	since := w.heard
	if since.IsZero() {
		since = w.began
	}
	if id, ok := w.f.g.suspectOn(w.f.lastPath); ok {
		w.culprit = id
		return w.replace()
	}
	if time.Since(since) < probeAfter || !w.f.g.policy.Has(relay.StallProbe) {
		return true
	}
	return !w.probe() || w.replace()
}

// replace has another engine take the place of the one that the request waits for, and
// reports whether to wait for it.
func (w *watcher) replace() bool {
	if w.ctx.Err() != nil || !w.f.repath(w.ctx, w.culprit, "its engine fails") {
		return false
	}
	w.f.g.failed(w.culprit, true)
	w.culprit = ""
	w.heard = time.Now()
	return true
}

// suspectOn returns a target on a path that is under suspicion.
func (g *Gateway) suspectOn(p relay.Path) (relay.TargetID, bool) {
	now := time.Now()
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
	stalled, err := w.f.g.probes.ask(w.ctx, first.Address)
	if w.ctx.Err() != nil {
		return true
	}
	if err != nil {
		w.f.g.log.Info("engine does not answer", "target", first.Target, "address", first.Address, "request", w.f.call.ID, "error", err.Error())
		w.culprit = first.Target
		return true
	}
	address, ok := stalled[w.f.call.ID]
	if !ok {
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
