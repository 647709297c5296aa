package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Guards against the leader ordering thousands of empty engines in one step when a fleet
// starts: its heartbeats and leases then waited behind as many calls.
func TestLayerOrdersInFlightAreBoundedAtFleetStart(t *testing.T) {
	const engines, maxInFlight = 600, 64
	f := newEngineFleet(t, smallFleet, engines)
	f.pass = f.hallFleet.run
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.hallFleet.run(time.Second)
	f.put(1)
	heartbeat := func() {
		for _, id := range f.ids {
			e := f.engines[id]
			e.target.Call++
			f.step(e.reportsTo, core.TargetSpoke{Conn: 1, Target: e.target})
		}
	}
	for range 5 {
		heartbeat()
		f.hallFleet.run(time.Second)
	}
	require.Len(t, f.orders, maxInFlight, "no order has an outcome yet")

	ordered := make(map[relay.TargetID]bool)
	for len(f.orders) > 0 {
		next := f.orders[0]
		f.orders = f.orders[1:]
		require.False(t, ordered[next.Target], "%s is ordered once", next.Target)
		ordered[next.Target] = true
		f.engines[next.Target].target.Layers = next.Layers
		f.step(next.by, core.LayersOrdered{Target: next.Target, Outcome: core.OrderBegun})
		require.LessOrEqual(t, len(f.orders), maxInFlight)
	}
	require.Len(t, ordered, engines, "each outcome triggers the next order without delay")
}
