package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
)

// leavingWithin is how soon after any sign of its leaving a target must get no new work.
const leavingWithin = 3 * time.Second

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	signs := []struct {
		name string
		give func(w *world)
	}{
		{"operator", func(w *world) { w.must("drain target e1", 500) }},
		{"platform", func(w *world) {
			w.platform = []string{"e1"}
		}},
		{"target itself", func(w *world) { w.leaves["e1"] = true }},
	}
	for _, sign := range signs {
		t.Run(sign.name, func(t *testing.T) {
			w := newWorld(t, 11, 3, 1)
			w.setUp()
			w.waitForVoters()
			running := w.stream("vm4", "before", "a prompt before the sign", 0)
			sign.give(w)
			w.until("the stream in flight is complete", 10*time.Second, func() bool { return running.finished })
			w.advance(leavingWithin)
			before := w.engines["e1"].Audit().Runs
			for i := range 30 {
				w.stream(w.names[i%4], fmt.Sprintf("after%d", i), "another", 0)
				w.advance(50 * time.Millisecond)
			}
			require.Equal(t, before, w.engines["e1"].Audit().Runs, "new work after the sign")
			for _, a := range w.requests {
				require.True(t, a.finished, "%v", a.refusal)
			}
		})
	}
}

func TestRepeatableCallIsRetriedOnAnotherRunner(t *testing.T) {
	w := newWorld(t, 12, 3, 1)
	w.setUp()
	w.waitForVoters()
	w.dead["s1"] = true
	for i := range 20 {
		a := w.lookUp("vm4", fmt.Sprintf("look%d", i))
		w.advance(200 * time.Millisecond)
		require.NotNil(t, a.answer, "%v", a.refusal)
	}
}

// A refusal of a request whose identity the caller chose must state "ran: no" only when no
// other VM has dispatched it.
func TestRefusalChecksClaimFirst(t *testing.T) {
	w := newWorld(t, 13, 3, 1)
	w.setUp()
	w.waitForVoters()
	first := w.call("vm4", "same")
	w.advance(time.Second)
	require.NotNil(t, first.answer)
	limit := w.must("set organisation o limit=1", 500)
	require.Equal(t, core.ResultAccepted, limit.Kind)
	w.advance(time.Second)
	for name := range w.engines {
		w.dead[name] = true
	}
	w.stream("vm1", "hold", "a stream that takes the only place", 0)
	w.advance(100 * time.Millisecond)
	again := w.call("vm1", "same")
	fresh := w.call("vm1", "fresh")
	w.advance(50 * time.Millisecond)
	require.NotNil(t, again.answer, "the recorded answer, not a refusal: %v", again.refusal)
	require.NotNil(t, fresh.refusal)
	require.Equal(t, core.RanNo, fresh.refusal.Ran)
	require.Equal(t, core.RefusedLimit, fresh.refusal.Kind)
	elsewhere := w.call("vm2", "unseen")
	w.advance(time.Second)
	require.NotNil(t, elsewhere.answer)
	w.isolate("vm4", true)
	w.advance(5 * time.Second)
	refused := w.call("vm4", "unseen")
	w.advance(time.Second)
	require.NotNil(t, refused.refusal)
	require.Equal(t, core.RanUnknown, refused.refusal.Ran)
}

// Lookups must be served immediately while submissions fill the service and its queue.
func TestLookupsAreNotDelayedBySubmissions(t *testing.T) {
	w := newWorld(t, 14, 3, 1)
	w.setUp()
	w.waitForVoters()
	w.slow = time.Second
	for i := range 200 {
		w.call("vm4", fmt.Sprintf("submission%d", i))
	}
	w.advance(500 * time.Millisecond)
	for i := range 20 {
		a := w.lookUp("vm4", fmt.Sprintf("look%d", i))
		w.advance(60 * time.Millisecond)
		require.NotNil(t, a.answer, "lookup %d: %v", i, a.refusal)
	}
}

// A version change is rolled out chain by chain while streams are in flight: each stream
// must keep the version that it started with, and none may be refused or cut.
func TestVersionChangeIsRolledOut(t *testing.T) {
	w := newWorld(t, 15, 3, 1)
	w.setUp()
	w.waitForVoters()
	require.Equal(t, core.ResultAccepted, w.must("set model m versions=[v1, v2]", 500).Kind)
	require.Equal(t, core.ResultAccepted, w.must("set pipeline p version=v2", 501).Kind)
	var requests []*callerRequest
	w.until("all chains hold the new version", 60*time.Second, func() bool {
		requests = append(requests, w.stream(w.names[len(requests)%4], fmt.Sprintf("roll%d", len(requests)), "a prompt", 0))
		w.advance(20 * time.Millisecond)
		placements := w.vms[w.leader()].node.Dump().Config.Placements
		for _, p := range placements.Items {
			if p.Version != "v2" || !p.Ready {
				return false
			}
		}
		return placements.Len() >= 4
	})
	w.advance(5 * time.Second)
	want, _ := fake.Expected("a prompt", worldLayers, worldTokens)
	for _, a := range requests {
		require.True(t, a.finished, "%v", a.refusal)
		require.Equal(t, want, a.text.String())
	}
}
