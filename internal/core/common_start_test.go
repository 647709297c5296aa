package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

// lossOfAll ends all processes of a fleet of the users' grown size, each of which is back
// within 0.3 s, and returns the time from the last start until all entry VMs have a lease.
func lossOfAll(t *testing.T, f *hallFleet) time.Duration {
	f.put(5)
	f.run(time.Second)
	f.killAll()
	f.run(900 * time.Millisecond)
	f.startAll()
	return f.until("all have a lease", 10*time.Second, func() bool { return f.leased(1) })
}

var grownFleet = fleetSize{halls: 3, controls: 2, disks: 2, entries: 24}

// All processes of a day ended at once and were back within 0.6 s. Their leader was elected
// 0.53 s after the last of them had started, and callers were turned away until then.
func TestALeaderIsElectedAtOnceWhereAllVotersHaveStarted(t *testing.T) {
	f := started(t, grownFleet)
	took := lossOfAll(t, f)
	t.Logf("all leases %s after the last start", took)
	require.Less(t, took, 350*time.Millisecond)
}

// A voter that stays away may lead: nobody votes early then.
func TestALeaderThatStaysAwayIsWaitedFor(t *testing.T) {
	f := started(t, grownFleet)
	leader := f.leader()
	for _, vm := range f.names {
		if vm[0] == 'c' && vm != leader {
			f.restart(vm)
		}
	}
	f.apart = cutOff(f, leader)
	began := f.now
	f.until("another leads", 10*time.Second, func() bool {
		next := f.leaderBut(leader)
		return next != ""
	})
	require.GreaterOrEqual(t, f.now.Sub(began), core.DefaultTiming().ElectionMin)
}

// cutOff returns the pairs of a VM with all others, both ways.
func cutOff(f *hallFleet, vm core.VMName) map[[2]core.VMName]bool {
	apart := make(map[[2]core.VMName]bool)
	for _, other := range f.names {
		if other != vm {
			apart[[2]core.VMName{vm, other}] = true
			apart[[2]core.VMName{other, vm}] = true
		}
	}
	return apart
}
