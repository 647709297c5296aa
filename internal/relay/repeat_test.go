package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// An engine that accepts no connection costs no budget: callers must not be refused for lack of a
// budget of which nothing has been spent.
func TestUnsentRequestIsNotARepeat(t *testing.T) {
	r, route := newRouter(engines(presentFleet))
	r.SetVMCount(100000)
	denial := r.TryRepeat(relay.Attempts{Route: route, Service: "s", Tried: 1, Sent: 1, Reached: true}, start)
	require.Equal(t, relay.DeniedBudget, denial)
	require.Equal(t, "the budget of repeats is used up", denial.String())
	denial = r.TryRepeat(relay.Attempts{Route: route, Service: "s", Tried: 1}, start)
	require.Equal(t, relay.NotDenied, denial)
	denial = r.TryRepeat(relay.Attempts{Route: route, Service: "s", Tried: 4}, start)
	require.Equal(t, relay.DeniedAsked, denial, "attempts are bounded")
}

func TestMayRepeat(t *testing.T) {
	once := relay.Route{Repeat: relay.RepeatNever, MaxTargets: 1}
	never := relay.Route{Repeat: relay.RepeatNever, MaxTargets: 3}
	resume := relay.Route{Repeat: relay.RepeatResume, MaxTargets: 2}
	one := relay.Runs{}.With("i-1")
	twice := one.With("i-2")
	tests := []struct {
		name     string
		attempts relay.Attempts
		may      bool
	}{
		{"one target allowed, not reached", relay.Attempts{Route: &once, Tried: 1}, true},
		{"one target allowed, refused by it", relay.Attempts{Route: &once, Tried: 1, Sent: 1, Reached: true}, false},
		{"may run once, refused", relay.Attempts{Route: &never, Tried: 1, Sent: 1, Reached: true}, true},
		{"may run once, may have run", relay.Attempts{Route: &never, Tried: 1, Sent: 1, Ran: one, Reached: true}, false},
		{"may run once, may have run, then not reached", relay.Attempts{Route: &never, Tried: 2, Sent: 1, Ran: one}, false},
		{"resumes, ran once", relay.Attempts{Route: &resume, Tried: 1, Sent: 1, Ran: one, Reached: true}, true},
		{"resumes, ran twice", relay.Attempts{Route: &resume, Tried: 2, Sent: 2, Ran: twice, Reached: true}, false},
		{"resumes, many targets tried without success", relay.Attempts{Route: &resume, Tried: 5, Sent: 5, Ran: one, Reached: true}, false},
		{"begun, many targets tried without success", relay.Attempts{Route: &resume, Tried: 5, Sent: 5, Ran: one, Begun: true, Reached: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newRouter(engines(presentFleet))
			receiveRequests(r, 20, start.Add(-20*time.Second), start)
			test.attempts.Service = "s"
			denial := r.TryRepeat(test.attempts, start.Add(time.Second))
			require.Equal(t, test.may, denial == relay.NotDenied, denial)
		})
	}
}

// An answer is abandoned, as after 60 ms without an event from its engines at a start, only if its
// VM has a repeat left: otherwise it cannot continue elsewhere, and its caller loses it.
func TestCouldRepeatTakesNothingFromBudget(t *testing.T) {
	r, route := newRouter(engines(presentFleet))
	receiveRequests(r, 20, start.Add(-20*time.Second), start)
	sent := relay.Attempts{Route: route, Service: "s", Tried: 1, Sent: 1, Ran: relay.Runs{}.With("i-1"), Reached: true, Begun: true, Resumed: true}
	for range 1000 {
		require.True(t, r.CanRepeat(sent, start), "the check takes nothing from the budget")
	}
	for r.AllowRepeat("s", true, start) {
	}
	require.False(t, r.CanRepeat(sent, start))
	ran := sent
	ran.Begun = false
	ran.Tried, ran.Sent, ran.Ran = 2, 2, ran.Ran.With("i-2")
	require.Equal(t, relay.DeniedRoute, r.TryRepeat(ran, start), "its route allows two targets")
	require.False(t, r.CanRepeat(ran, start))
}

// Requests that have not begun must not use up the budget when full engines refuse them. On a day
// that replaced 16 engines one after the other, they would do so 997 times in 34 s, and 26 streams
// that had begun and broke off would be cut for lack of budget.
func TestBudgetReservesRepeatsForBegunStreams(t *testing.T) {
	r, _ := newRouter(nil)
	receiveRequests(r, 100, start.Add(-20*time.Second), start)
	unbegun, begun := 0, 0
	for r.AllowRepeat("s", false, start) {
		unbegun++
	}
	for r.AllowRepeat("s", true, start) {
		begun++
	}
	require.Greater(t, unbegun, 100)
	require.GreaterOrEqual(t, 10*begun, unbegun, "a tenth is left for begun streams")
	grantRepeats(r, 10, start)
	require.False(t, r.AllowRepeat("s", false, start), "a begun stream lacks a repeat, and permits are for it")
	require.True(t, r.AllowRepeat("s", true, start))
}

// A stream that is resumed in a new request is one whose caller has a part of the answer.
func TestResumedRequestMayUseReservedRepeats(t *testing.T) {
	r, route := newRouter(nil)
	receiveRequests(r, 100, start.Add(-20*time.Second), start)
	for r.AllowRepeat("s", false, start) {
	}
	a := relay.Attempts{Route: route, Service: "s", Tried: 1, Sent: 1, Reached: true}
	require.Equal(t, relay.DeniedBudget, r.TryRepeat(a, start))
	a.Resumed = true
	require.Equal(t, relay.NotDenied, r.TryRepeat(a, start))
}

// An answer that has begun and has run on as many targets as its route allows continues on
// one of those: 5 of 26 answers that would otherwise be cut have no other target.
func TestOnlyOnReturnsTargetsThatRanBegunAnswer(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	ran := relay.Attempts{Route: route, Service: "s", Ran: relay.Runs{}.With("a-large-0"), Begun: true}
	require.Empty(t, r.AllowedTargets(ran), "one more target is allowed")
	ran.Ran = ran.Ran.With("a-large-3")
	only := r.AllowedTargets(ran)
	require.Equal(t, ran.Ran.Counted(), only)
	a := ask(route)
	a.Avoid = []relay.TargetID{"a-large-0"}
	a.Only = []relay.TargetID{"a-large-0"}
	require.Equal(t, relay.TargetID("a-large-0"), choose(t, r, a, start).First().Target, "even if the answer broke off there")

	r.ApplyMarks(map[relay.TargetKey]relay.Mark{relay.TargetID("a-large-0").Key(): relay.MarkSilent}, true)
	require.Equal(t, ran.Ran.Counted(), r.AllowedTargets(ran), "a target that VMs find dead may be live")
	require.Equal(t, relay.TargetID("a-large-0"), choose(t, r, a, start).First().Target, "and is tried")
	r.UpdateTargets([]relay.Target{{ID: "a-large-3", Call: 9, Leaving: true, Gone: true}})
	require.Empty(t, r.AllowedTargets(ran), "a target that has signed off does not count")
}

// Guards against answers that began at a plain service and ran on more targets than their route allows:
// only the choice of engines kept to those that had run them.
func TestPlainTargetIsChosenAmongThoseAllowed(t *testing.T) {
	document, targets := plainFleet([]relay.TargetID{"i-1", "i-2", "i-3", "i-4"})
	router := relay.NewRouter(relay.Settings{Hall: "a", Seed: 1, Started: start, Budget: relay.BudgetTerms{Share: 10, Window: 10 * time.Second}})
	router.SetDocument(document)
	router.UpdateTargets(targets)
	request := relay.PathRequest{Route: &document.Routes[0], Service: "s", Begun: true, Only: []relay.TargetID{"i-2", "i-3"}}
	for range 20 {
		path, refusal := router.Choose(request, start)
		require.Nil(t, refusal)
		require.Contains(t, request.Only, path.First().Target)
	}
	request.Only = []relay.TargetID{"i-9"}
	_, refusal := router.Choose(request, start)
	require.NotNil(t, refusal, "no other target takes their place")
}
