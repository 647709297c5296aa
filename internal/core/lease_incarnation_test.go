package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

// A grant that is in flight to an entry VM while that restarts is for its previous incarnation.
// Numbers count from 1 again, so the grant's number does not show when the new incarnation sent
// its request. Accepting the grant would give a lease that lasts longer than the leader assumes.
// The same holds for permits.
func TestGrantForPreviousIncarnationIsIgnored(t *testing.T) {
	f := newHallFleet(t, smallFleet)
	const vm = core.VMName("e0-0")
	var delayed *core.Envelope
	f.loses = func(e core.Envelope) bool {
		if e.To == vm && e.Body.Grant != nil {
			if delayed == nil {
				delayed = &e
			}
			return true
		}
		return false
	}
	f.until("a grant is in flight", 10*time.Second, func() bool { return delayed != nil })
	f.restart(vm)
	f.until("the new incarnation has sent as many renewals", 10*time.Second, func() bool {
		f.step(vm, core.Received{Envelope: *delayed})
		return f.nodes[vm].Status().HasLease || f.now.Sub(time.Unix(100, 0)) > 8*time.Second
	})
	require.False(t, f.nodes[vm].Status().HasLease)
	f.loses = nil
	f.until("the new incarnation has a lease of its own", 5*time.Second, func() bool { return f.nodes[vm].Status().HasLease })
}
