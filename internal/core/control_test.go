package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
)

// leader returns the VM that holds the leader's lease, or the empty name.
func (w *world) leader() core.VMName {
	for _, name := range w.names {
		if v := w.vms[name]; v.node != nil && !v.frozen && w.holdsLease(v) {
			return name
		}
	}
	return ""
}

func (w *world) voters(name core.VMName) int {
	count := 0
	s := w.vms[name].node.Status()
	if !s.MembersSettled {
		return 0
	}
	for _, m := range s.Members {
		if m.Voter {
			count++
		}
	}
	return count
}

// settled waits for three voters under one leader.
func (w *world) settled() core.VMName {
	w.until("three voters", 60*time.Second, func() bool {
		l := w.leader()
		return l != "" && w.voters(l) == 3
	})
	return w.leader()
}

func TestLeaderKilledAnotherAcceptsCommands(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	w.setUp()
	old := w.settled()
	w.crash(old)
	took := w.until("another leader", 10*time.Second, func() bool { return w.leader() != "" })
	require.Equal(t, core.ResultAccepted, w.must("set organisation o weight=2", 100).Kind)
	t.Logf("leader killed to next leader: %v of virtual time", took)
}

func TestFrozenLeaderServesNothingWhenItWakes(t *testing.T) {
	w := newWorld(t, 2, 3, 1)
	w.setUp()
	old := w.settled()
	w.freeze(old)
	w.until("another leader", 10*time.Second, func() bool { return w.leader() != "" })
	r := w.must("set organisation o weight=2", 100)
	require.Equal(t, core.ResultAccepted, r.Kind)
	conn := w.command(old, "show config", "", 0, 0)
	w.thaw(old)
	require.Equal(t, core.ResultNotLeader, w.results[conn].Kind)
	conn = w.command(old, "set organisation o weight=3", "other", 1, 0)
	w.advance(5 * time.Second)
	require.NotEqual(t, core.ResultAccepted, w.results[conn].Kind)
}

func TestLostDiskHasNoVoteAndASecondLossIsSurvived(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	w.setUp()
	leader := w.settled()
	lost := core.VMName("vm1")
	if leader == lost {
		lost = "vm2"
	}
	w.crash(lost)
	w.loseDisk(lost)
	w.start(lost)
	before := w.vms[lost].disk.incarnation
	w.until("the new identity votes", 30*time.Second, func() bool {
		l := w.leader()
		if l == "" {
			return false
		}
		for _, m := range w.vms[l].node.Status().Members {
			if m.ID == (core.ReplicaID{VM: lost, Incarnation: before}) && m.Voter {
				return w.voters(l) == 3
			}
		}
		return false
	})
	w.crash(w.leader())
	require.Equal(t, core.ResultAccepted, w.must("set organisation o weight=2", 100).Kind)
}

func TestSpareReplacesALostVoter(t *testing.T) {
	w := newWorld(t, 4, 4, 0)
	w.setUp()
	leader := w.settled()
	lost := core.VMName("")
	for _, m := range w.vms[leader].node.Status().Members {
		if m.Voter && m.ID.VM != leader {
			lost = m.ID.VM
		}
	}
	w.crash(lost)
	w.until("the spare votes", 60*time.Second, func() bool {
		l := w.leader()
		if l == "" || w.voters(l) != 3 {
			return false
		}
		for _, m := range w.vms[l].node.Status().Members {
			if m.Voter && m.ID.VM == lost {
				return false
			}
		}
		return true
	})
	w.crash(w.leader())
	require.Equal(t, core.ResultAccepted, w.must("set organisation o weight=2", 100).Kind, "a second loss after the repair")
}

func TestRacingOperatorsUnderOneNumber(t *testing.T) {
	w := newWorld(t, 5, 3, 1)
	w.setUp()
	leader := w.settled()
	a := w.command(leader, "set organisation o weight=2", "op", 7, 0)
	b := w.command(leader, "set organisation o weight=3", "op", 7, 0)
	again := w.command(leader, "set organisation o weight=2", "op", 7, 0)
	w.advance(time.Second)
	require.Equal(t, core.ResultAccepted, w.results[a].Kind)
	require.Equal(t, core.ResultConflict, w.results[b].Kind)
	require.Equal(t, w.results[a].Revision, w.results[again].Revision, "a resend gets the first result")
	w.crash(leader)
	w.until("another leader", 10*time.Second, func() bool { return w.leader() != "" })
	w.advance(time.Second)
	later := w.command(w.leader(), "set organisation o weight=2", "op", 7, 0)
	w.advance(time.Second)
	require.Equal(t, w.results[a].Revision, w.results[later].Revision, "also after a change of leader")
	stale := w.command(w.leader(), "set organisation o weight=9", "op", 8, w.results[a].Revision-1)
	w.advance(time.Second)
	require.Equal(t, core.ResultConflict, w.results[stale].Kind)
}

func TestAllRestartAfterHundredsOfChanges(t *testing.T) {
	w := newWorld(t, 6, 3, 1)
	w.setUp()
	w.settled()
	for i := range 300 {
		w.command(w.leader(), "set organisation o weight=4", "op", uint64(i+1), 0)
		if i%50 == 0 {
			w.advance(100 * time.Millisecond)
		}
	}
	w.advance(2 * time.Second)
	want := w.accepted
	for _, name := range w.names {
		w.crash(name)
	}
	for _, name := range w.names {
		w.start(name)
	}
	w.until("all entry VMs back at the revision", 20*time.Second, func() bool {
		for _, v := range w.vms {
			if s := v.node.Status(); !s.HasLease || s.EntryRevision < want {
				return false
			}
		}
		return true
	})
}

func TestPlannedStopHandsOverAndEnds(t *testing.T) {
	w := newWorld(t, 7, 3, 1)
	w.setUp()
	old := w.settled()
	asks := []*ask{w.stream(old, "a", "one two three", 0), w.stream(old, "b", "four", 0)}
	w.step(old, core.Stopping{})
	took := w.until("another leader", 5*time.Second, func() bool { l := w.leader(); return l != "" && l != old })
	require.Less(t, took, testTiming().ElectionMin, "a hand-over needs no election timeout")
	w.until("the answers are whole", 5*time.Second, func() bool { return asks[0].finished && asks[1].finished })
	for _, a := range w.vms[w.leader()].node.Dump().Routes.Rows {
		require.NotEmpty(t, a)
	}
}

func TestPartedEntryRefusesAndOthersServe(t *testing.T) {
	w := newWorld(t, 8, 3, 1)
	w.setUp()
	w.settled()
	w.isolate("vm4", true)
	w.advance(4 * time.Second)
	a := w.stream("vm4", "x", "hello", 0)
	require.NotNil(t, a.refusal)
	require.Equal(t, core.RefusedNoLease, a.refusal.Kind)
	require.Equal(t, core.RanUnknown, a.refusal.Ran, "an earlier attempt elsewhere can't be ruled out from here")
	require.NotEmpty(t, a.refusal.Others)
	require.Equal(t, core.ResultAccepted, w.must("set organisation o weight=2", 100).Kind)
}

// A late reply to an earlier batch must not count for a later one, and a
// stream must have a keeper also when every other VM has been slow.
func TestSlowKeepersStillKeep(t *testing.T) {
	w := newWorld(t, 9, 3, 1)
	w.setUp()
	w.settled()
	a := w.stream("vm4", "slow", "a prompt", 0)
	for _, other := range w.names[:3] {
		w.cut[[2]core.VMName{"vm4", other}] = true
	}
	w.advance(1500 * time.Millisecond)
	shown := a.count
	require.Less(t, shown, worldTokens, "tokens were shown that no keeper has")
	for _, other := range w.names[:3] {
		w.cut[[2]core.VMName{"vm4", other}] = false
	}
	w.until("some token is shown", 10*time.Second, func() bool { return a.count > 0 })
	shown = a.count
	w.crash("vm4")
	rest := w.stream("vm1", "slow", "a prompt", shown)
	w.until("the rest comes from another VM", 20*time.Second, func() bool { return rest.ended() })
	require.True(t, rest.finished, "%v", rest.refusal)
	want, _ := fake.Expected("a prompt", worldLayers, worldTokens)
	require.Equal(t, want, a.text.String()+rest.text.String())
}

// A stream that began when its entry VM knew no other one gets a keeper as
// soon as it does.
func TestStreamGetsAKeeperLater(t *testing.T) {
	r := newEntryRig(t, 8, 1, 1)
	run := r.begin(10)
	run = r.answer(run, "")[0]
	require.Zero(t, r.kept, "no other VM is known")
	view := benchView(2)
	r.step(core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1"}, To: "vm000", Body: core.Message{Grant: &core.Grant{
		Term: 1, Number: r.asked, Revision: 2, ViewVersion: 2, View: view,
	}}}})
	require.Equal(t, 1, r.kept, "the whole stream goes to the VM that is now known")
	r.answer(run, "")
	require.Equal(t, 2, r.kept)
}

// A keeper is in another hall than the owner, so that the loss of a hall takes
// only one of the two copies.
func TestKeeperIsInAnotherHall(t *testing.T) {
	r := newEntryRig(t, 8, 14, 1)
	for range 50 {
		r.answer(r.begin(1), "stop")
	}
	require.NotEmpty(t, r.keepers)
	for keeper := range r.keepers {
		for _, v := range benchView(14) {
			if v.Address.VM == keeper {
				require.NotEqual(t, "hall0", v.Address.Hall)
			}
		}
	}
}
