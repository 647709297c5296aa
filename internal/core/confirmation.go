package core

import (
	"fmt"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// ConfigStatus is how current the configuration of an entry VM is, for the runtime.
type ConfigStatus struct {
	Revision config.Revision
	// Newest is the newest revision that this VM knows to exist.
	Newest config.Revision
	// ConfirmedAt is when this VM sent the renewal that its lease counts from. It has every change
	// that was acknowledged before. ConfirmBy is when it may lack one that has to be in force.
	ConfirmedAt time.Time
	ConfirmBy   time.Time
}

// IsCurrent reports whether a request that the configuration doesn't allow can be refused for
// good: no change is known to be missing, and none that has to be in force can be.
func (s ConfigStatus) IsCurrent(now time.Time) bool {
	return s.Revision >= s.Newest && now.Before(s.ConfirmBy)
}

func (ConfigStatus) isEffect() {}

// confirmation is what an entry VM knows of how current its configuration is.
type confirmation struct {
	newest      config.Revision
	confirmedAt time.Time
	// missingSince is when a grant first did not follow on the configuration here; it is zero if
	// the newest one did. unapplied counts such grants.
	missingSince time.Time
	unapplied    uint64
}

func (n *Node) configStatus() ConfigStatus {
	c := n.entry.confirmation
	return ConfigStatus{
		Revision: n.entry.config.Revision, Newest: c.newest,
		ConfirmedAt: c.confirmedAt, ConfirmBy: c.confirmedAt.Add(n.settings.Timing.Shortened(n.settings.Timing.ConfirmWithin)),
	}
}

// disallowed returns the refusal of a request that the configuration here doesn't allow. A caller
// whom a newer one may allow is asked to come back.
func (n *Node) disallowed(kind RefusalKind, reason, remedy string) Refusal {
	if n.configStatus().IsCurrent(n.now) {
		return refusal(kind, RanNo, reason, remedy)
	}
	return refusal(RefusedOutdated, RanNo, "this entry VM may lack a change of the configuration, by which it finds: "+reason, "send the request to one of the other addresses, or come back").
		WithRetryAt(n.now.Add(n.settings.Timing.RenewInterval)).WithOthers(n.otherEntryAddresses())
}

// recordCurrent records that the configuration here was replaced by a newer one.
func (n *Node) recordCurrent() {
	c := &n.entry.confirmation
	c.newest = max(c.newest, n.entry.config.Revision)
	n.emit(n.configStatus())
	if n.entry.config.Revision < c.newest || c.missingSince.IsZero() {
		return
	}
	n.note("missing changes have arrived", fmt.Sprintf("revision=%d after=%s", n.entry.config.Revision, n.now.Sub(c.missingSince)))
	c.missingSince = time.Time{}
}

// recordConfirmed records that this VM has all changes that were acknowledged before a time.
func (n *Node) recordConfirmed(at time.Time) {
	c := &n.entry.confirmation
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	n.emit(n.configStatus())
}

// recordMissing records a grant whose changes don't follow on the configuration here. The line
// is logged once until the changes arrive.
func (n *Node) recordMissing(from ReplicaID, g Grant) {
	c := &n.entry.confirmation
	c.newest = max(c.newest, g.Revision)
	c.unapplied++
	n.emit(n.configStatus())
	if !c.missingSince.IsZero() {
		return
	}
	c.missingSince = n.now
	first := config.Revision(0)
	if len(g.Deltas) > 0 {
		first = g.Deltas[0].Revision
	}
	n.note("grant does not follow on the configuration here", fmt.Sprintf("from=%s revision=%d first=%d newest=%d lease=%s",
		from.VM, n.entry.config.Revision, first, g.Revision, n.entry.lease.until.Sub(n.now)))
}
