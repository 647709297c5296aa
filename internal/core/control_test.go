package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/fake"
)

// leader returns the VM that holds the leader's lease, or the empty name.
func (w *world) leader() core.VMName {
	for _, name := range w.names {
		if v := w.vms[name]; v.node != nil && !v.suspended && w.holdsLease(v) {
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

// waitForVoters waits for a leader with three committed voters.
func (w *world) waitForVoters() core.VMName {
	w.until("three voters", 60*time.Second, func() bool {
		l := w.leader()
		return l != "" && w.voters(l) == 3
	})
	return w.leader()
}

func TestCommandsAcceptedAfterLeaderCrash(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	w.setUp()
	old := w.waitForVoters()
	w.crash(old)
	took := w.until("another leader", 10*time.Second, func() bool { return w.leader() != "" })
	require.Equal(t, core.ResultAccepted, w.must("set organisation o weight=2", 100).Kind)
	t.Logf("leader killed to next leader: %v of virtual time", took)
}

func TestSuspendedLeaderServesNothingAfterResume(t *testing.T) {
	w := newWorld(t, 2, 3, 1)
	w.setUp()
	old := w.waitForVoters()
	w.suspend(old)
	// This is the first event that the leader processes after it resumes, before
	// any message of its successor.
	conn := w.command(old, "show config", "", 0, 0)
	w.until("another leader", 10*time.Second, func() bool { return w.leader() != "" })
	r := w.must("set organisation o weight=2", 100)
	require.Equal(t, core.ResultAccepted, r.Kind)
	w.resume(old)
	require.Equal(t, core.ResultNotLeader, w.results[conn].Kind)
	conn = w.command(old, "set organisation o weight=3", "other", 1, 0)
	w.advance(5 * time.Second)
	require.NotEqual(t, core.ResultAccepted, w.results[conn].Kind)
}

func TestVoterWithLostDiskRejoinsAndSecondLossIsTolerated(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	w.setUp()
	leader := w.waitForVoters()
	lost := core.VMName("vm1")
	if leader == lost {
		lost = "vm2"
	}
	w.crash(lost)
	w.loseDisk(lost)
	w.start(lost)
	before := w.vms[lost].disk.incarnation
	w.until("the new identity is a voter", 30*time.Second, func() bool {
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

func TestSpareReplacesLostVoter(t *testing.T) {
	w := newWorld(t, 4, 4, 0)
	w.setUp()
	leader := w.waitForVoters()
	lost := core.VMName("")
	for _, m := range w.vms[leader].node.Status().Members {
		if m.Voter && m.ID.VM != leader {
			lost = m.ID.VM
		}
	}
	w.crash(lost)
	w.until("the spare is a voter", 60*time.Second, func() bool {
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

func TestConcurrentCommandsUnderOneNumber(t *testing.T) {
	w := newWorld(t, 5, 3, 1)
	w.setUp()
	leader := w.waitForVoters()
	a := w.command(leader, "set organisation o weight=2", "op", 7, 0)
	b := w.command(leader, "set organisation o weight=3", "op", 7, 0)
	again := w.command(leader, "set organisation o weight=2", "op", 7, 0)
	w.advance(time.Second)
	require.Equal(t, core.ResultAccepted, w.results[a].Kind)
	require.Equal(t, core.ResultConflict, w.results[b].Kind)
	require.Equal(t, w.results[a].Revision, w.results[again].Revision, "a resend returns the first result")
	w.crash(leader)
	w.until("another leader", 10*time.Second, func() bool { return w.leader() != "" })
	w.advance(time.Second)
	later := w.command(w.leader(), "set organisation o weight=2", "op", 7, 0)
	w.advance(time.Second)
	require.Equal(t, w.results[a].Revision, w.results[later].Revision, "the first result survives a change of leader")
	stale := w.command(w.leader(), "set organisation o weight=9", "op", 8, w.results[a].Revision-1)
	w.advance(time.Second)
	require.Equal(t, core.ResultConflict, w.results[stale].Kind)
}

func TestRestartOfAllVMsAfterHundredsOfChanges(t *testing.T) {
	w := newWorld(t, 6, 3, 1)
	w.setUp()
	w.waitForVoters()
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
	w.until("all entry VMs have a lease at the revision", 20*time.Second, func() bool {
		for _, v := range w.vms {
			if s := v.node.Status(); !s.HasLease || s.EntryRevision < want {
				return false
			}
		}
		return true
	})
}

func TestPlannedStopTransfersLeadershipAndCompletes(t *testing.T) {
	w := newWorld(t, 7, 3, 1)
	w.setUp()
	old := w.waitForVoters()
	requests := []*callerRequest{w.stream(old, "a", "one two three", 0), w.stream(old, "b", "four", 0)}
	w.step(old, core.Stopping{})
	took := w.until("another leader", 5*time.Second, func() bool { l := w.leader(); return l != "" && l != old })
	require.Less(t, took, testTiming().ElectionMin, "a leadership transfer needs no election timeout")
	w.until("the answers are complete", 5*time.Second, func() bool { return requests[0].finished && requests[1].finished })
	for name := range w.engines {
		w.dead[name] = true
	}
	running := w.stream(old, "c", "asked by one who kept the address", 0)
	w.advance(10 * time.Second)
	require.False(t, w.vms[old].stopped, "a request is in flight")
	require.False(t, running.ended(), "%v", running.refusal)
	for name := range w.engines {
		w.restartEngine(name)
	}
	w.until("the request in flight is complete", 30*time.Second, func() bool { return running.finished })
	w.until("the process has ended", 20*time.Second, func() bool { return w.vms[old].stopped })
}

// A follower that is cut off from the leader must not replace it while the leader
// still reaches a quorum.
func TestLeaderWithQuorumKeepsLeadership(t *testing.T) {
	w := newWorld(t, 16, 3, 0)
	w.setUp()
	leader := w.waitForVoters()
	follower := core.VMName("vm1")
	if leader == follower {
		follower = "vm2"
	}
	w.cut[[2]core.VMName{leader, follower}] = true
	w.cut[[2]core.VMName{follower, leader}] = true
	term := w.vms[leader].node.Status().Term
	w.advance(10 * time.Second)
	require.Equal(t, leader, w.leader())
	require.Equal(t, term, w.vms[leader].node.Status().Term)
}

// A delayed grant with an older configuration must not revert a newer one.
func TestDelayedGrantDoesNotRevertConfiguration(t *testing.T) {
	r := newEntryRig(t, 8, 2, 1)
	before := r.node.Status().EntryRevision
	r.step(core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1"}, To: "vm000", Body: core.Message{Grant: &core.Grant{
		To:   1,
		Term: 1, Number: r.asked, Revision: before - 1, State: &config.State{Revision: before - 1}, ViewVersion: 9,
	}}}})
	require.Equal(t, before, r.node.Status().EntryRevision)
	r.renewLease(before)
	require.NotEmpty(t, r.begin(1).Chain)
}

// Run results that are duplicated or delayed, or that belong to another epoch,
// position or stream, must be ignored.
func TestUnexpectedRunResultsAreIgnored(t *testing.T) {
	r := newEntryRig(t, 8, 3, 1)
	first, other := r.begin(10), r.begin(10)
	second := r.answer(first, "")[0]
	require.Equal(t, 1, r.emitted)
	require.Empty(t, r.answer(first, ""), "duplicate")
	stale := second
	stale.Epoch.Attempt += 3
	require.Empty(t, r.answer(stale, ""), "of another epoch")
	ahead := second
	ahead.Position++
	require.Empty(t, r.answer(ahead, ""), "of another position")
	unknown := second
	unknown.Stream = "nobody's"
	require.Empty(t, r.answer(unknown, ""), "of another stream")
	require.Equal(t, 1, r.emitted)
	require.Len(t, r.answer(second, ""), 1)
	require.Len(t, r.answer(other, ""), 1)
	require.Equal(t, 3, r.emitted)
}

func TestIsolatedEntryVMRefusesWhileOthersServe(t *testing.T) {
	w := newWorld(t, 8, 3, 1)
	w.setUp()
	w.waitForVoters()
	w.isolate("vm4", true)
	w.advance(4 * time.Second)
	a := w.stream("vm4", "x", "hello", 0)
	require.NotNil(t, a.refusal)
	require.Equal(t, core.RefusedNoLease, a.refusal.Kind)
	require.Equal(t, core.RanUnknown, a.refusal.Ran, "an earlier attempt elsewhere can't be ruled out from here")
	require.NotEmpty(t, a.refusal.Others)
	require.Equal(t, core.ResultAccepted, w.must("set organisation o weight=2", 100).Kind)
}

// A delayed reply to an earlier batch must not count for a later one, and a stream
// must have a keeper even when all other VMs are slow.
func TestStreamHasKeeperWhenPeersAreSlow(t *testing.T) {
	w := newWorld(t, 9, 3, 1)
	w.setUp()
	w.waitForVoters()
	a := w.stream("vm4", "slow", "a prompt", 0)
	for _, other := range w.names[:3] {
		w.cut[[2]core.VMName{"vm4", other}] = true
	}
	w.advance(1500 * time.Millisecond)
	shown := a.count
	require.Zero(t, shown, "tokens were sent that no keeper has")
	for _, other := range w.names[:3] {
		w.cut[[2]core.VMName{"vm4", other}] = false
	}
	w.until("a token is sent", 10*time.Second, func() bool { return a.count > 0 })
	shown = a.count
	w.crash("vm4")
	rest := w.stream("vm1", "slow", "a prompt", shown)
	w.until("the rest comes from another VM", 20*time.Second, func() bool { return rest.ended() })
	require.True(t, rest.finished, "%v", rest.refusal)
	want, _ := fake.Expected("a prompt", worldLayers, worldTokens)
	require.Equal(t, want, a.text.String()+rest.text.String())
}

// A stream that started while its entry VM knew no other entry VM must get a keeper
// as soon as one is known.
func TestStreamGetsKeeperOncePeerIsKnown(t *testing.T) {
	r := newEntryRig(t, 8, 1, 1)
	run := r.begin(10)
	run = r.answer(run, "")[0]
	require.Zero(t, r.kept, "no other VM is known")
	view := benchView(2)
	r.step(core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1"}, To: "vm000", Body: core.Message{Grant: &core.Grant{
		To:   1,
		Term: 1, Number: r.asked, Revision: 2, ViewVersion: 2, View: view,
	}}}})
	require.Equal(t, 1, r.kept, "the whole stream is sent to the VM that is now known")
	r.answer(run, "")
	require.Equal(t, 2, r.kept)
}

// A keeper must be in another data hall than the owner, so that the loss of a hall
// affects only one of the two copies.
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

// A delayed record of an earlier attempt must not release the claim of a later one,
// under which the call may be running.
func TestDelayedRecordKeepsClaimOfLaterAttempt(t *testing.T) {
	r, renewals := newLeaderRig(t, 8, 2)
	one, two := renewals[0].From, renewals[1].From
	send := func(from core.ReplicaID, body core.Message) {
		r.lead(core.Received{Envelope: core.Envelope{Cluster: "c", From: from, To: "c1", Body: body}})
	}
	claim := func(from core.ReplicaID, attempt uint64) core.ClaimOutcome {
		send(from, core.Message{Claim: &core.ClaimRequest{ID: "x", Attempt: attempt, Digest: "d"}})
		return r.claim
	}
	require.Equal(t, core.ClaimGranted, claim(one, 1))
	require.Equal(t, core.ClaimGranted, claim(one, 2), "the holder's next attempt")
	send(one, core.Message{Record: &core.RecordRequest{ID: "x", Attempt: 1, Ran: core.RanNo}})
	require.Equal(t, core.ClaimBusy, claim(two, 1))
	send(one, core.Message{Record: &core.RecordRequest{ID: "x", Attempt: 2, Ran: core.RanNo}})
	require.Equal(t, core.ClaimGranted, claim(two, 2), "released by the attempt that held it")
}

// A voter that was replaced while it was isolated returns with its disk, by which it
// is still a voter. It must learn that it is not and rejoin as a learner.
func TestReplacedVoterReturnsAsSpare(t *testing.T) {
	w := newWorld(t, 17, 4, 0)
	w.setUp()
	leader := w.waitForVoters()
	var lost core.VMName
	for _, m := range w.vms[leader].node.Status().Members {
		if m.Voter && m.ID.VM != leader {
			lost = m.ID.VM
		}
	}
	w.isolate(lost, true)
	isMember := func(voter bool) func() bool {
		return func() bool {
			l := w.leader()
			if l == "" || w.voters(l) != 3 {
				return false
			}
			for _, m := range w.vms[l].node.Status().Members {
				if m.ID.VM == lost {
					return m.Voter == voter
				}
			}
			return false
		}
	}
	w.until("the spare is a voter", 60*time.Second, func() bool { return w.voters(leader) == 3 && !isMember(true)() })
	w.isolate(lost, false)
	w.until("it is a learner", 30*time.Second, isMember(false))
	w.crash(w.leader())
	w.until("it is a voter again", 60*time.Second, isMember(true))
}

// A request that is refused by its organisation's limit must not release a slot of that
// limit.
func TestRefusalReleasesNoSlotOfOrganisationLimit(t *testing.T) {
	w := newWorld(t, 18, 3, 1)
	w.setUp()
	w.waitForVoters()
	require.Equal(t, core.ResultAccepted, w.must("set organisation o limit=2", 500).Kind)
	w.advance(time.Second)
	for name := range w.engines {
		w.dead[name] = true
	}
	for i := range 6 {
		a := w.stream("vm4", fmt.Sprintf("limit%d", i), "a prompt", 0)
		w.advance(100 * time.Millisecond)
		require.Equal(t, i >= 2, a.refusal != nil, "request %d: %v", i, a.refusal)
	}
}
