package daemon

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file checks whether this VM reaches the targets of a service; relay/reach.go decides.

const (
	// reachDialTimeout bounds a dial: targets are at most 20 ms away.
	reachDialTimeout = 200 * time.Millisecond
	// resetDelay is how long after a connection opened a reset may arrive: a way to the target and
	// back.
	resetDelay = 30 * time.Millisecond
)

// checkReach makes the checks that are due.
func (g *Gateway) checkReach() {
	g.mu.Lock()
	due := g.router.ReachChecks(clock.Now())
	g.mu.Unlock()
	for _, check := range due {
		go g.dialTargets(check)
	}
}

// recordUnreached records a failed dial for another VM, and makes the checks that are due.
func (g *Gateway) recordUnreached(id relay.TargetID) {
	g.mu.Lock()
	g.router.RecordUnreached(id, clock.Now())
	g.mu.Unlock()
	g.checkReach()
}

// closeIdle closes the idle connections to a service's targets, whose way there has changed.
func (g *Gateway) closeIdle(service string) {
	g.mu.Lock()
	addresses := g.router.Addresses(service)
	g.mu.Unlock()
	for _, address := range addresses {
		g.exchanger.CloseIdle(address)
	}
}

// isolatedFrom reports whether this VM is isolated from a service.
func (g *Gateway) isolatedFrom(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.IsolatedFrom(service)
}

// dialTargets dials the targets of a check, and records whether any accepts.
func (g *Gateway) dialTargets(check relay.ReachCheck) {
	outcomes := make(chan bool, len(check.Targets))
	for _, t := range check.Targets {
		go func() { outcomes <- accepts(t.Address) }()
	}
	accepted := 0
	for range check.Targets {
		if <-outcomes {
			accepted++
		}
	}
	g.mu.Lock()
	now := clock.Now()
	change, changed := g.router.RecordReachCheck(check.Service, accepted > 0, now)
	g.mu.Unlock()
	g.meter.reachChecked(check.Service, accepted > 0)
	if !changed {
		return
	}
	g.meter.isolated(check.Service, change.Isolated)
	g.closeIdle(check.Service)
	if change.Isolated {
		g.log.Info("targets of a service are out of reach of this VM", "service", check.Service, "failed", check.Failed, "dialed", len(check.Targets))
		return
	}
	g.log.Info("targets of a service are in reach again", "service", check.Service, "after_ms", now.Sub(change.Since).Milliseconds(), "accepted", accepted, "dialed", len(check.Targets))
}

// accepts reports whether an address accepts a connection and does not reset it.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, reachDialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(resetDelay)); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
