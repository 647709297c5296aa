package daemon

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file determines whether a target ended while it had requests in flight.
//
// A connection that closes in the middle of a request proves little: the target may have
// dropped it, or a link reset it. If the address refuses new connections right after, or
// another incarnation has replaced the target, the target has ended. A target that does not
// respond at all may be partitioned or without power, and no request is to blame.

const (
	// endCheckDialTimeout bounds the check of an address: a machine whose process has ended
	// refuses a connection within a round trip.
	endCheckDialTimeout = 200 * time.Millisecond
	// endCheckGatherTime is how long after the check other requests that broke off with the same
	// target are added to the same report: this VM notices them within some 10 ms of each other.
	endCheckGatherTime = 20 * time.Millisecond
	// maxEndChecks bounds the checks in progress: a hall has fewer targets.
	maxEndChecks = 256
	// maxReportedRuns bounds the runs that are reported for one target: the run that ended it is
	// among the few that were starting.
	maxReportedRuns = 32
	// undecidedTTL is how long a target that accepted the check's connection may still turn out to
	// have ended: another incarnation has registered by then. maxUndecided bounds the number of
	// such targets.
	undecidedTTL = 5 * time.Second
	maxUndecided = 64
	// maxLoggedRuns bounds the runs that one log line describes.
	maxLoggedRuns = 8
)

// run is one sending of a request to a target.
type run struct {
	// id is the id of the request.
	id           string
	fingerprints []labelled
	began        time.Time
	// started is set if the run has produced a whole event.
	started bool
}

// targetEnd is what is known of the end of one target.
type targetEnd struct {
	target relay.TargetID
	// at is when the first run broke off.
	at time.Time
	// starting are the runs without output so far, and midway counts the others.
	starting []run
	midway   int
}

// crashed returns the runs that ended with the target before they produced output.
func (e targetEnd) crashed() []relay.CrashedRun {
	var runs []relay.CrashedRun
	for _, r := range e.starting {
		runs = append(runs, r.crashedAt(e.target, e.at)...)
	}
	return runs
}

// crashedAt returns the run as one that crashed a target, for each of its fingerprints.
func (r run) crashedAt(id relay.TargetID, at time.Time) []relay.CrashedRun {
	var runs []relay.CrashedRun
	for _, f := range r.fingerprints {
		runs = append(runs, relay.CrashedRun{Fingerprint: f.Fingerprint, Label: f.label, Target: id.Key(), Began: r.began, Ended: at})
	}
	return runs
}

// describe describes the first runs without output, for the log: the ids of their requests, their
// fingerprints, and the parts of each that others may share.
func (e targetEnd) describe() (ids []string, requests []relay.Fingerprint, parts []string) {
	for _, r := range e.starting[:min(len(e.starting), maxLoggedRuns)] {
		ids = append(ids, r.id)
		requests = append(requests, r.fingerprints[0].Fingerprint)
		parts = append(parts, joinLabels(r.fingerprints[1:]))
	}
	return ids, requests, parts
}

// endChecks are the checks in progress, by target, and the undecided ones: another incarnation
// may have started at the address before the check.
type endChecks struct {
	mu        sync.Mutex
	checking  map[relay.TargetID]*targetEnd
	undecided []targetEnd
}

// record adds a run that broke off with a target, and reports whether it is the first one, so
// that the target has to be checked.
func (e *endChecks) record(s relay.Stage, r run, now time.Time) (first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, found := e.checking[s.Target]
	if !found {
		if r.started || len(e.checking) >= maxEndChecks {
			return false
		}
		known = &targetEnd{target: s.Target, at: now}
		first = true
		if e.checking == nil {
			e.checking = make(map[relay.TargetID]*targetEnd)
		}
		e.checking[s.Target] = known
	}
	if r.started {
		known.midway++
		return first
	}
	if len(known.starting) < maxReportedRuns {
		known.starting = append(known.starting, r)
	}
	return first
}

// take ends the check of a target and returns what it has gathered.
func (e *endChecks) take(id relay.TargetID) targetEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := *e.checking[id]
	delete(e.checking, id)
	return known
}

// keepUndecided stores a target that may still turn out to have ended.
func (e *endChecks) keepUndecided(known targetEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.undecided = append(e.undecided, known)
	e.undecided = e.undecided[max(0, len(e.undecided)-maxUndecided):]
}

// takeConfirmed returns the recent runs that broke off with targets now known to have ended.
func (e *endChecks) takeConfirmed(ended []relay.Succession, now time.Time) []relay.CrashedRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []relay.CrashedRun
	e.undecided = slices.DeleteFunc(e.undecided, func(known targetEnd) bool {
		confirmed := slices.ContainsFunc(ended, func(s relay.Succession) bool { return s.Old == known.target })
		if confirmed {
			runs = append(runs, known.crashed()...)
		}
		return confirmed || !now.Before(known.at.Add(undecidedTTL))
	})
	return runs
}

// recordBrokenRun records a run that broke off with a target, and has the target checked. Certain
// is set if the target is known to have ended.
func (g *Gateway) recordBrokenRun(s relay.Stage, r run, certain bool) {
	if g.endChecks.record(s, r, clock.Now()) {
		go g.checkEnded(s, certain)
	}
}

// checkEnded checks whether a target has ended, and reports the runs that ended with it to the
// leader.
func (g *Gateway) checkEnded(s relay.Stage, certain bool) {
	var err error
	if !certain {
		err = dialOnce(s.Address)
	}
	select {
	case <-time.After(endCheckGatherTime):
	case <-g.daemon.context.Done():
	}
	known := g.endChecks.take(s.Target)
	ended := certain || errors.Is(err, syscall.ECONNREFUSED)
	ids, requests, parts := known.describe()
	g.meter.targetEndedUnder(ended)
	g.log.Info("requests broke off with a target", "target", s.Target, "key", s.Target.Key(), "address", s.Address, "ended", ended, "look", errorText(err),
		"starting", len(known.starting), "midway", known.midway, "fingerprints", requests, "requests", ids, "parts", parts)
	if !ended {
		g.endChecks.keepUndecided(known)
		return
	}
	g.reportGivenUp(s.Target)
	g.reportCrashed(known.crashed())
}

// dialOnce returns why a connection to an address fails, or nil.
func dialOnce(address string) error {
	conn, err := net.DialTimeout("tcp", address, endCheckDialTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}
