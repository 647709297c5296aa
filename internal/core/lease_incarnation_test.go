package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

// A grant that was on its way to an entry VM while that started again is of the incarnation before:
// its number, which counts from 1 again, says nothing of when the new one has asked. Taken, it
// would be a lease that runs for longer than the leader knows. It was found by reading, beside permits,
// which must not be taken either.
func TestALeaseOfTheIncarnationBeforeIsNotTaken(t *testing.T) {
	f := newHallFleet(t, smallFleet)
	const vm = core.VMName("e0-0")
	var kept *core.Envelope
	f.loses = func(e core.Envelope) bool {
		if e.To == vm && e.Body.Grant != nil {
			if kept == nil {
				kept = &e
			}
			return true
		}
		return false
	}
	f.until("a grant is on its way", 10*time.Second, func() bool { return kept != nil })
	f.restart(vm)
	f.until("the new incarnation has asked as often", 10*time.Second, func() bool {
		f.step(vm, core.Received{Envelope: *kept})
		return f.nodes[vm].Status().HasLease || f.now.Sub(time.Unix(100, 0)) > 8*time.Second
	})
	require.False(t, f.nodes[vm].Status().HasLease)
	f.loses = nil
	f.until("it has its own", 5*time.Second, func() bool { return f.nodes[vm].Status().HasLease })
}
