package daemon

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file keeps the runs that this VM gave up before they produced output.
//
// Problem: a request may crash its target some time after it began. If its caller has left by then, its
// time is over or its connection was silent, no run is in flight at the end of the target, and its
// next copy is a first one again.
//
// Algorithm: a run that is given up is kept by the incarnation of its target. Once that is known to
// have ended, the run is reported as one that crashed it, and as ended when it was given up: a run
// that has gone well since then clears it. An end is known from a refused connection, from a check
// (endings.go), or from the next incarnation.
//
// Invariants: memory is bounded; a run is reported only for the incarnation that it was sent to.
//
// Limits: runs are forgotten after givenUpTTL, and sooner where more than maxGivenUp are given up
// meanwhile. A target that ends by itself within that time counts as crashed by them.

const (
	// givenUpTTL is how long a run is kept: a target may be down for seconds before this VM knows of
	// its end, where other VMs found that it had ended.
	givenUpTTL = 30 * time.Second
	// maxGivenUp bounds the runs that are kept: each holds the fingerprints of its request.
	maxGivenUp = 512
)

// givenUpRun is a run that ended before its target answered or ended.
type givenUpRun struct {
	run
	target  relay.TargetID
	endedAt time.Time
}

// givenUpRuns are the runs that were given up, oldest first.
type givenUpRuns struct {
	mu   sync.Mutex
	runs []givenUpRun
}

// add adds a run.
func (r *givenUpRuns) add(run givenUpRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := run.endedAt.Add(-givenUpTTL)
	r.runs = slices.DeleteFunc(r.runs, func(o givenUpRun) bool { return !o.endedAt.After(expired) })
	r.runs = append(r.runs, run)
	r.runs = r.runs[max(0, len(r.runs)-maxGivenUp):]
}

// take returns and removes the runs that were given up at a target, as crashed ones; the newest ones if
// there are more than maxReportedRuns.
func (r *givenUpRuns) take(id relay.TargetID, now time.Time) []relay.CrashedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var taken []givenUpRun
	r.runs = slices.DeleteFunc(r.runs, func(o givenUpRun) bool {
		if o.target == id && now.Before(o.endedAt.Add(givenUpTTL)) {
			taken = append(taken, o)
		}
		return o.target == id
	})
	var crashed []relay.CrashedRun
	for _, run := range taken[max(0, len(taken)-maxReportedRuns):] {
		crashed = append(crashed, run.crashedAt(id, run.endedAt)...)
	}
	return crashed
}

// recordGivenUp records that the present run ends before its targets have answered. Any of its path
// may have begun it.
func (f *forwarding) recordGivenUp(path relay.Path, err error) {
	if !f.eventAt.IsZero() || errors.Is(err, target.ErrNotSent) && !f.resent {
		return
	}
	now := clock.Now()
	for _, s := range path.Stages {
		f.g.givenUp.add(givenUpRun{run: f.currentRun(), target: s.Target, endedAt: now})
	}
}

// reportGivenUp reports the runs that were given up at a target that has ended.
func (g *Gateway) reportGivenUp(id relay.TargetID) {
	crashed := g.givenUp.take(id, clock.Now())
	if len(crashed) == 0 {
		return
	}
	g.log.Info("target ended after runs there were given up", "target", id, "key", id.Key(), "fingerprints", fingerprintsCrashed(crashed))
	g.reportCrashed(crashed)
}

// fingerprintsCrashed returns the first fingerprints of some crashed runs, for the log.
func fingerprintsCrashed(crashed []relay.CrashedRun) []relay.Fingerprint {
	var fingerprints []relay.Fingerprint
	for _, run := range crashed[:min(len(crashed), maxLoggedRuns)] {
		fingerprints = append(fingerprints, run.Fingerprint)
	}
	return fingerprints
}
