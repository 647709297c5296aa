package core_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// drainingTarget is a target whose answers carry a draining notice while its heartbeats report
// that it is ready.
const drainingTarget = relay.TargetID("i-1")

// drainingFleet is a fleet whose entry VMs report the draining notices of that target.
type drainingFleet struct {
	*hallFleet
	// notified are the entry VMs that it has answered.
	notified []core.VMName
	// heartbeatsTo is the control VM that receives its heartbeats; silent stops them.
	heartbeatsTo core.VMName
	silent       bool
	target       relay.Target
	heartbeatAt  time.Time
}

func newDrainingFleet(t require.TestingT) *drainingFleet {
	f := &drainingFleet{
		hallFleet: started(t, smallFleet), heartbeatsTo: "c2-0",
		target: relay.Target{ID: drainingTarget, Service: "s", Address: "10.1.0.1:80", Hall: "hall2", Slots: 6},
	}
	f.pass = f.run
	f.run(2 * time.Second)
	for _, vm := range f.entries() {
		require.Contains(t, f.learned[vm], drainingTarget)
	}
	return f
}

// run advances time while the target sends heartbeats. Entry VMs report its notice as a router
// does: until a target report that they receive confirms it.
func (f *drainingFleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.hallFleet.run(tickEvery)
		for _, vm := range f.notified {
			found := relay.Findings{Leaving: []relay.TargetID{drainingTarget}}
			if f.learned[vm][drainingTarget].Leaving {
				found = relay.Findings{}
			}
			f.found[vm] = found
		}
		if f.silent || f.now.Before(f.heartbeatAt) {
			continue
		}
		f.heartbeatAt = f.now.Add(heartbeatInterval)
		f.target.Call++
		f.sendReport(f.heartbeatsTo, f.target)
	}
}

// known reports whether all entry VMs with a lease know that the target is draining.
func (f *drainingFleet) known() bool {
	for _, vm := range f.entries() {
		if !f.learned[vm][drainingTarget].Leaving && f.nodes[vm].Status().HasLease {
			return false
		}
	}
	return true
}

// A draining notice with an answer to an entry VM has the same effect for all VMs as a
// heartbeat with that mark, whatever the target's heartbeats contain, whichever VM receives them
// and whatever is lost.
func TestDrainingNoticeReachesAllVMs(t *testing.T) {
	for name, disturb := range map[string]func(f *drainingFleet){
		"no fault":                            func(*drainingFleet) {},
		"heartbeats are lost":                 func(f *drainingFleet) { f.silent = true },
		"heartbeats go to another control VM": func(f *drainingFleet) { f.heartbeatsTo = "c0-1" },
		"a fifth of all messages are lost": func(f *drainingFleet) {
			chance := rand.New(rand.NewPCG(1, 1))
			f.loses = func(core.Envelope) bool { return chance.IntN(100) < 20 }
		},
		"control VM with the report ends": func(f *drainingFleet) {
			f.run(300 * time.Millisecond)
			f.dead["c0-0"] = true
		},
		"leader ends": func(f *drainingFleet) { f.dead[f.leader()] = true },
		"control VM with the heartbeats restarts": func(f *drainingFleet) {
			f.run(time.Second)
			f.restart(f.heartbeatsTo)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDrainingFleet(t)
			f.notified = []core.VMName{"e0-0"}
			disturb(f)
			f.until("all know", 10*time.Second, f.known)
			clear(f.dead)
			f.loses = nil
			for range 10 {
				f.run(time.Second)
				require.True(t, f.known(), "the notice must not be reverted")
			}
		})
	}
}

// A notice with an engine's answer to a control VM's order counts like the report of an entry
// VM.
func TestDrainingNoticeToControlVMReachesAllVMs(t *testing.T) {
	f := newDrainingFleet(t)
	f.step("c1-1", core.TargetDrains{Target: drainingTarget})
	require.Less(t, f.until("all know", knownWithin, f.known), 2*time.Second)
	f.step("e0-0", core.TargetDrains{Target: "i-9"}) // an entry VM reports it with its renewals
	f.run(time.Second)
	require.True(t, f.known())
}

// Without faults the notice takes one renewal and two hops: as long as a heartbeat may take.
func TestDrainingNoticeReachesAllVMsWithinDrainBound(t *testing.T) {
	f := newDrainingFleet(t)
	f.notified = []core.VMName{"e0-0"}
	took := f.until("all know", knownWithin, f.known)
	require.Less(t, took, 2*time.Second, "the shortest drain bound of the deployments")
}

// The VM that received the answer may end once a control VM has its report, and a restarted one
// learns of the notice with its first lease.
func TestDrainingNoticeSurvivesRestartOfReporter(t *testing.T) {
	f := newDrainingFleet(t)
	f.notified = []core.VMName{"e0-0"}
	f.until("all know", 10*time.Second, f.known)
	f.notified = nil
	f.found["e0-0"] = relay.Findings{}
	f.restart("e0-0")
	f.run(5 * time.Second)
	require.True(t, f.nodes["e0-0"].Status().HasLease)
	require.True(t, f.learned["e0-0"][drainingTarget].Leaving)
	f.restart("c0-0")
	f.restart("e0-1")
	f.run(5 * time.Second)
	require.True(t, f.known())
}

// The notice of a previous incarnation doesn't apply to a new one, even if it is reported late.
func TestDrainingNoticeAppliesToOneIncarnation(t *testing.T) {
	f := newDrainingFleet(t)
	f.silent = true
	old, next := relay.NewTargetID("i-2", 100), relay.NewTargetID("i-2", 200)
	target := relay.Target{ID: old, Service: "s", Address: "10.1.0.2:80", Hall: "hall2", Slots: 6, Call: 1}
	f.sendReport("c2-0", target)
	f.run(time.Second)
	target.ID = next
	f.sendReport("c2-0", target)
	f.found["e0-0"] = relay.Findings{Leaving: []relay.TargetID{old}}
	f.run(3 * time.Second)
	for _, vm := range f.entries() {
		require.NotContains(t, f.learned[vm], old)
		require.False(t, f.learned[vm][next].Leaving)
	}
}

// A control VM that doesn't know the draining notice may send another change of the target.
func TestUpdateWithoutDrainingDoesNotRevertIt(t *testing.T) {
	f := newDrainingFleet(t)
	f.notified = []core.VMName{"e0-0"}
	f.until("all know", 10*time.Second, f.known)
	ready := f.target
	ready.Call += 100
	ready.Slots = 12
	update := core.RegistryUpdate{Incarnation: 99, Through: 1, Targets: []relay.Target{ready}}
	f.step("e0-0", core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1-1", Incarnation: 99}, To: "e0-0", Body: core.Message{TargetNews: &update}}})
	require.Equal(t, ready.Slots, f.learned["e0-0"][drainingTarget].Slots)
	require.True(t, f.learned["e0-0"][drainingTarget].Leaving)
}
