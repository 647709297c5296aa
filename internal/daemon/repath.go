package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// repathTimeout bounds the wait for an engine to accept another path: it answers in about 2
// ms, and the answer makes no progress meanwhile.
const repathTimeout = 100 * time.Millisecond

// repathRetryInterval is the wait before a replacement of the same engine is sought again:
// slots become free every few hundredths of a second, and a search at each event of an answer
// would cost as much as choosing a path.
const repathRetryInterval = 250 * time.Millisecond

// repath has the first engine of a request's path continue with other engines in place of
// later ones, and reports whether it does. This needs an answer that has begun: a request that
// has not begun is refused by its engine and starts elsewhere.
func (f *forwarding) repath(ctx context.Context, from []relay.TargetID, why string) bool {
	f.stallAttributed = true
	now := clock.Now()
	if !f.promptProcessed || slices.ContainsFunc(from, func(id relay.TargetID) bool { return now.Before(f.replaceAt[id]) }) {
		return false
	}
	if f.replaceAt == nil {
		f.replaceAt = make(map[relay.TargetID]time.Time)
	}
	for _, id := range from {
		f.replaceAt[id] = now.Add(repathRetryInterval)
	}
	path, ok := f.g.substitute(f.lastPath, from, now)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, repathTimeout)
	defer cancel()
	// An order without an answer may have been accepted: the answer goes on either way, and only
	// the count of requests in flight is off until it ends.
	_, err := f.g.platform.Engines.Repath(ctx, f.call.ID, path)
	f.g.log.Info("request gets another path", "request", f.call.ID, "why", why, "instead_of", from, "path", path.String(), "error", errorText(err))
	f.g.meter.repathed(err == nil)
	if err != nil {
		f.g.mu.Lock()
		f.g.router.UndoSubstitute(path, f.lastPath)
		f.g.mu.Unlock()
		return false
	}
	f.lastPath = path
	return true
}

func (g *Gateway) substitute(p relay.Path, from []relay.TargetID, now time.Time) (relay.Path, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Substitute(p, from, now)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// leaveMovingEngine moves a request off an engine that is to give up its layers: the engine
// waits for its runs, for up to the longest answer.
func (f *forwarding) leaveMovingEngine(ctx context.Context) {
	f.g.mu.Lock()
	id, moving := f.g.router.MovingStage(f.lastPath)
	f.g.mu.Unlock()
	if moving {
		f.repath(ctx, []relay.TargetID{id}, "its engine moves")
	}
}
