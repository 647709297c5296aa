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

// This file finds out whether a target ended under the requests that it had.
//
// A connection that closes in the middle of a request says little: the target may have
// dropped it, or a link reset it. Where the address refuses new connections right after, or
// another incarnation has taken the target's place, the target has ended. One that says
// nothing at all may be behind a cut or without power, and nobody's request is to blame.

const (
	// endingDialLimit bounds the look at an address: a machine whose process has ended
	// refuses within a round trip.
	endingDialLimit = 200 * time.Millisecond
	// endingGather is how long after that other requests that broke off with the same target
	// still go into one report: this VM notices them within some 10 ms of each other.
	endingGather = 20 * time.Millisecond
	// endingsAtOnce bounds the looks under way: a hall has fewer targets.
	endingsAtOnce = 256
	// startingMost bounds the runs that are reported of one target: the one that it ended
	// under is among the few that it was beginning.
	startingMost = 32
	// undecidedKept is how long a target that answered the look may still turn out to have
	// ended: another incarnation has registered by then. undecidedMost bounds them.
	undecidedKept = 5 * time.Second
	undecidedMost = 64
	// namedRequests bounds the fingerprints in one line.
	namedRequests = 8
)

// run is one sending of a request to a target.
type run struct {
	request relay.Fingerprint
	began   time.Time
	// started says that it has brought something.
	started bool
}

// ending is what is known of the end of one target.
type ending struct {
	target relay.TargetID
	// at is when the first run broke off.
	at time.Time
	// starting are the runs that had brought nothing yet, midway counts the others.
	starting []run
	midway   int
}

// crashed returns the runs that ended with the target before they had brought anything.
func (e ending) crashed() []relay.CrashedRun {
	var runs []relay.CrashedRun
	for _, r := range e.starting {
		runs = append(runs, relay.CrashedRun{Request: r.request, Target: e.target.Key(), Began: r.began, Ended: e.at})
	}
	return runs
}

// fingerprints returns the first requests that had brought nothing yet, for the log.
func (e ending) fingerprints() []relay.Fingerprint {
	var requests []relay.Fingerprint
	for _, r := range e.starting[:min(len(e.starting), namedRequests)] {
		requests = append(requests, r.request)
	}
	return requests
}

// endings are the looks under way, by target, and those that were undecided: another
// incarnation may have been started at the address before the look.
type endings struct {
	mu        sync.Mutex
	looking   map[relay.TargetID]*ending
	undecided []ending
}

// note adds a run that broke off with a target, and reports whether it is the first one, so
// that the target is to be looked at.
func (e *endings) note(s relay.Stage, r run, now time.Time) (first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, looking := e.looking[s.Target]
	if !looking {
		if r.started || len(e.looking) >= endingsAtOnce {
			return false
		}
		known = &ending{target: s.Target, at: now}
		first = true
		if e.looking == nil {
			e.looking = make(map[relay.TargetID]*ending)
		}
		e.looking[s.Target] = known
	}
	if r.started {
		known.midway++
		return first
	}
	if len(known.starting) < startingMost {
		known.starting = append(known.starting, r)
	}
	return first
}

// take ends the look at a target and returns what it has gathered.
func (e *endings) take(id relay.TargetID) ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := *e.looking[id]
	delete(e.looking, id)
	return known
}

// keep keeps the end of a target that may still turn out to have ended.
func (e *endings) keep(known ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.undecided = append(e.undecided, known)
	e.undecided = e.undecided[max(0, len(e.undecided)-undecidedMost):]
}

// confirm returns the runs that broke off of late with targets that have turned out to have
// ended.
func (e *endings) confirm(ended []relay.Succession, now time.Time) []relay.CrashedRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []relay.CrashedRun
	e.undecided = slices.DeleteFunc(e.undecided, func(known ending) bool {
		confirmed := slices.ContainsFunc(ended, func(s relay.Succession) bool { return s.Old == known.target })
		if confirmed {
			runs = append(runs, known.crashed()...)
		}
		return confirmed || !now.Before(known.at.Add(undecidedKept))
	})
	return runs
}

// brokeOff notes a run that broke off with a target, and has that looked at. Certain says that
// the target is known to have ended.
func (g *Gateway) brokeOff(s relay.Stage, r run, certain bool) {
	if g.endings.note(s, r, clock.Now()) {
		go g.lookAtEnd(s, certain)
	}
}

// lookAtEnd finds out whether a target has ended, and has the leader hear of the runs that
// ended with it.
func (g *Gateway) lookAtEnd(s relay.Stage, certain bool) {
	var err error
	if !certain {
		err = dialOnce(s.Address)
	}
	select {
	case <-time.After(endingGather):
	case <-g.daemon.context.Done():
	}
	known := g.endings.take(s.Target)
	ended := certain || errors.Is(err, syscall.ECONNREFUSED)
	g.log.Info("requests broke off with a target", "target", s.Target, "address", s.Address, "ended", ended, "look", errorText(err),
		"starting", len(known.starting), "midway", known.midway, "fingerprints", known.fingerprints())
	if !ended {
		g.endings.keep(known)
		return
	}
	g.reportCrashed(known.crashed())
}

// dialOnce returns why no connection to an address comes about, or nil.
func dialOnce(address string) error {
	conn, err := net.DialTimeout("tcp", address, endingDialLimit)
	if err != nil {
		return err
	}
	return conn.Close()
}
