package daemon

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

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
	// namedRequests bounds the fingerprints in one line.
	namedRequests = 8
)

// ending is what is known of the end of one target.
type ending struct {
	target  relay.TargetID
	address string
	// starting are the requests that had brought nothing yet, midway counts the others.
	starting []relay.Fingerprint
	midway   int
}

// endings are the looks under way, by target.
type endings struct {
	mu      sync.Mutex
	looking map[relay.TargetID]*ending
}

// note adds a request that broke off with a target, and reports whether nobody looks at that
// target yet.
func (e *endings) note(s relay.Stage, request relay.Fingerprint, starting bool) (first *ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, looking := e.looking[s.Target]
	if !looking {
		if !starting || len(e.looking) >= endingsAtOnce {
			return nil
		}
		known = &ending{target: s.Target, address: s.Address}
		first = known
		if e.looking == nil {
			e.looking = make(map[relay.TargetID]*ending)
		}
		e.looking[s.Target] = known
	}
	if starting {
		known.starting = append(known.starting, request)
	} else {
		known.midway++
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

// brokeOff notes a request that broke off with a target, and has it looked at.
func (g *Gateway) brokeOff(s relay.Stage, request relay.Fingerprint, starting bool) {
	if first := g.endings.note(s, request, starting); first != nil {
		go g.lookAtEnd(first.target, first.address)
	}
}

// lookAtEnd finds out whether a target has ended.
func (g *Gateway) lookAtEnd(id relay.TargetID, address string) {
	err := dialOnce(address)
	select {
	case <-time.After(endingGather):
	case <-g.daemon.context.Done():
	}
	known := g.endings.take(id)
	ended := errors.Is(err, syscall.ECONNREFUSED)
	named := known.starting[:min(len(known.starting), namedRequests)]
	g.log.Info("target closed the connections of its requests", "target", id, "address", address, "ended", ended, "look", errorText(err),
		"starting", len(known.starting), "midway", known.midway, "fingerprints", named)
}

// dialOnce returns why no connection to an address comes about, or nil.
func dialOnce(address string) error {
	conn, err := net.DialTimeout("tcp", address, endingDialLimit)
	if err != nil {
		return err
	}
	return conn.Close()
}
