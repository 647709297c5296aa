package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Regression: when a third of the engines of a fleet was lost with its data hall, each grant
// listed all of them again: 5 KB three times a second for each VM, for as long as they were
// lost.
func TestMarksAreSentOnce(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 900)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	f.until("all engines hold layers", 20*time.Second, f.loaded)
	f.run(2 * time.Second)
	lost := make(map[relay.TargetKey]bool)
	for _, id := range f.ids {
		if e := f.engines[id]; e.target.Hall == "hall2" {
			e.heartbeatAt = f.now.Add(time.Hour)
			lost[id.Key()] = true
		}
	}
	f.run(4 * time.Second)
	for _, vm := range f.entries() {
		require.Len(t, f.marks[vm], len(lost), vm)
		for key := range lost {
			require.Equal(t, relay.MarkSilent, f.marks[vm][key], vm)
		}
	}
	f.measured = true
	f.run(time.Second)
	require.Less(t, f.kinds["Grant"], len(f.entries())*2000, "bytes of leases in a second")
	for _, id := range f.ids {
		f.engines[id].heartbeatAt = f.now
	}
	f.run(3 * time.Second)
	for _, vm := range f.entries() {
		require.Empty(t, f.marks[vm], vm)
	}
}

// An engine that holds no layers can serve no less during an order: it must be marked as
// moving only when it releases layers.
func TestOnlyEnginesThatReleaseLayersAreMarkedMoving(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 90)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	f.until("all engines hold layers", 20*time.Second, func() bool {
		for _, vm := range f.entries() {
			for _, m := range f.marks[vm] {
				require.False(t, m.Has(relay.MarkMoving), vm)
			}
		}
		return f.loaded()
	})
}

// Regression: eleven engines became twelve times slower. Each of 78 VMs detected this by itself,
// from its own answers, and 300 first events were late.
func TestSlowEngineFoundByOneVMIsMarkedOnAllVMs(t *testing.T) {
	f := started(t, grownFleet)
	slow := relay.TargetID("i-1").Key()
	f.found["e0-3"] = relay.Findings{Slow: []relay.TargetKey{slow}}
	f.run(time.Second)
	for _, vm := range f.entries() {
		require.True(t, f.marks[vm][slow].Has(relay.MarkSlow), vm)
	}
	clear(f.found)
	f.run(2 * time.Second)
	for _, vm := range f.entries() {
		require.Empty(t, f.marks[vm], vm)
	}
}

// Regression: an engine that had loaded its layers and reported this stayed marked as moving
// until its order was next checked: VMs sent it nothing for up to half a second, and a fleet of
// one engine refused callers.
func TestEngineWithOrderedLayersIsNotMarkedMoving(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 30)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	requireNoneMoving := func() {
		for _, vm := range f.entries() {
			for _, m := range f.marks[vm] {
				require.False(t, m.Has(relay.MarkMoving), vm)
			}
		}
	}
	f.until("all engines hold layers", 20*time.Second, func() bool {
		for _, e := range f.engines {
			if e.remaining > 0 {
				e.remaining, e.heartbeatAt = 1, f.now // loads immediately and reports it immediately
			}
		}
		requireNoneMoving()
		return f.loaded()
	})
	for range 100 {
		f.run(tickEvery)
		requireNoneMoving()
	}
}
