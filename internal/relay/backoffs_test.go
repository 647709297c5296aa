package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// plainRouter returns a Router with some targets of a plain service.
func plainRouter(ids ...relay.TargetID) (*relay.Router, relay.PathRequest) {
	route := &relay.Route{Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatAlways, Timeout: time.Minute, MaxTargets: 2, Shares: []relay.Share{{Service: "web", Weight: 1}}}
	r := relay.NewRouter(relay.Settings{Hall: "a", Seed: 1, Started: start, Budget: relay.BudgetTerms{Share: 0.2, Fixed: 200, Window: 10 * time.Second}})
	r.SetDocument(&relay.Document{Version: 1, Services: []relay.Service{{Name: "web", MaxConns: 100}}, Routes: []relay.Route{*route}})
	for _, id := range ids {
		r.UpdateTargets([]relay.Target{plainTarget(id)})
	}
	r.SetOthersWork(nil, true)
	return r, relay.PathRequest{Route: route}
}

func plainTarget(id relay.TargetID) relay.Target {
	return relay.Target{ID: id, Service: "web", Address: id.Name() + ":80", Hall: "a", Slots: 6, Call: 1}
}

// picked returns the target that is chosen for a request, and releases it.
func picked(t *testing.T, r *relay.Router, a relay.PathRequest, now time.Time) relay.TargetID {
	t.Helper()
	path := choose(t, r, a, now)
	r.Release(path, false)
	return path.First().Target
}

func TestBackoffEndsOnlyByTime(t *testing.T) {
	const id = relay.TargetID("i-1")
	until := start.Add(10 * time.Second)
	within := start.Add(9 * time.Second)
	for name, happens := range map[string]func(r *relay.Router){
		"an older request succeeds": func(r *relay.Router) { r.RecordSuccess(id, within) },
		"a heartbeat": func(r *relay.Router) {
			r.UpdateTargets([]relay.Target{{ID: id, Service: "web", Address: "i-1:80", Hall: "a", Slots: 6, Call: 9}})
		},
		"a shorter backoff":                  func(r *relay.Router) { r.RecordBackoff(id, start.Add(time.Second), start.Add(500*time.Millisecond)) },
		"a refusal that asks for no backoff": func(r *relay.Router) { r.RecordRefusal(id, start) },
		"a failure":                          func(r *relay.Router) { r.RecordFailure(id, true, start) },
		"marks without a problem":            func(r *relay.Router) { r.ApplyMarks(nil, true) },
		"ended backoffs are removed":         func(r *relay.Router) { r.ForgetBackoffs(within) },
		"a new configuration": func(r *relay.Router) {
			d := *r.Document()
			d.Version++
			r.SetDocument(&d)
		},
		"it is removed and added again": func(r *relay.Router) {
			gone := plainTarget(id)
			gone.Gone, gone.Call = true, 2
			r.UpdateTargets([]relay.Target{gone})
			r.UpdateTargets([]relay.Target{plainTarget(id)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, a := plainRouter(id)
			r.RecordBackoff(id, until, start)
			happens(r)
			_, refusal := r.Choose(a, within)
			require.NotNil(t, refusal, "also if it is the only target")
			require.True(t, refusal.NotRun())
			require.Equal(t, id, picked(t, r, a, until))
		})
	}
}

func TestNewIncarnationHasNoBackoff(t *testing.T) {
	old, next := relay.NewTargetID("i-1", 100), relay.NewTargetID("i-1", 200)
	r, a := plainRouter(old)
	r.RecordBackoff(old, start.Add(time.Hour), start)
	r.UpdateTargets([]relay.Target{plainTarget(next)})
	r.EndIncarnations([]relay.Succession{{Old: old, New: next}})
	require.Equal(t, next, picked(t, r, a, start))
	r.RecordBackoff(old, start.Add(2*time.Hour), start) // a late answer of the old incarnation
	require.Equal(t, next, picked(t, r, a, start))
}

func TestOperatorEndsBackoff(t *testing.T) {
	first, second := relay.NewTargetID("i-1", 100), relay.NewTargetID("i-1", 200)
	r, a := plainRouter(second)
	r.RecordBackoff(first, start.Add(time.Hour), start)
	r.RecordBackoff(second, start.Add(time.Hour), start)
	require.Zero(t, r.EndBackoffs("i-2"))
	require.Equal(t, 2, r.EndBackoffs("i-1"))
	require.Equal(t, second, picked(t, r, a, start))
}

func TestRequestsGoToOtherTargetsDuringBackoff(t *testing.T) {
	r, a := plainRouter("i-1", "i-2", "i-3")
	r.RecordBackoff("i-1", start.Add(time.Second), start)
	for range 50 {
		require.NotEqual(t, relay.TargetID("i-1"), picked(t, r, a, start))
	}
	a.Avoid = []relay.TargetID{"i-2"}
	require.Equal(t, relay.TargetID("i-3"), picked(t, r, a, start))
}

// Requests to a service that VMs back off from are refused at once. Their callers are asked to
// come back when the first target may be asked again, spread over as long a time as they were
// refused for.
func TestRefusedCallersReturnSpreadAfterFirstBackoff(t *testing.T) {
	r, a := plainRouter("i-1", "i-2")
	first := start.Add(4 * time.Second)
	r.RecordBackoff("i-1", first, start)
	r.RecordBackoff("i-2", start.Add(time.Hour), start)
	thirds := make(map[int64]int)
	const callers = 300
	for range callers {
		_, refusal := r.Choose(a, start.Add(time.Second))
		require.NotNil(t, refusal)
		require.Equal(t, first, refusal.NotBefore)
		late := refusal.RetryAt.Sub(first)
		require.GreaterOrEqual(t, late, time.Duration(0))
		require.Less(t, late, 4*time.Second)
		thirds[int64(3*late/(4*time.Second))]++
	}
	for third := range int64(3) {
		require.Greater(t, thirds[third], callers/6)
	}
}

func TestPinnedRequestIsRefusedDuringBackoff(t *testing.T) {
	r, route := newRouter(engines(presentFleet))
	pinned := ask(route)
	pinned.Only = []relay.TargetID{choose(t, r, pinned, start).First().Target}
	r.RecordBackoff(pinned.Only[0], start.Add(time.Second), start)
	_, refusal := r.Choose(pinned, start)
	require.NotNil(t, refusal)
	require.Equal(t, start.Add(time.Second), refusal.NotBefore)
	choose(t, r, ask(route), start)
}

// An engine that VMs back off from is on no path of its VM, also not as a later stage; if the
// others do not hold all layers, callers come back after the backoff whose end closes the gap.
func TestBackedOffEngineIsOnNoPath(t *testing.T) {
	r, route := newRouter(engines(presentFleet))
	path := choose(t, r, ask(route), start)
	defer r.Release(path, false)
	last := path.Stages[len(path.Stages)-1].Target
	r.RecordBackoff(last, start.Add(time.Second), start)
	for range 100 {
		path := choose(t, r, ask(route), start)
		require.False(t, path.Includes(last))
		r.Release(path, false)
	}
	for _, e := range holding(engines(presentFleet), relay.Plan(engine(), engines(presentFleet))) {
		if e.Layers.Last == engine().Layers && e.ID != last {
			r.RecordBackoff(e.ID, start.Add(3*time.Second), start)
		}
	}
	_, refusal := r.Choose(ask(route), start)
	require.NotNil(t, refusal)
	require.Equal(t, start.Add(time.Second), refusal.NotBefore, "the end of the first backoff closes the gap")
}

func TestEndedBackoffsAreRemoved(t *testing.T) {
	r, _ := plainRouter("i-1", "i-2")
	r.RecordBackoff("i-1", start.Add(time.Second), start)
	r.RecordBackoff("i-2", start.Add(2*time.Second), start)
	require.Len(t, r.BackedOffTargets(start), 2)
	r.ForgetBackoffs(start.Add(time.Second))
	require.Equal(t, []relay.BackedOffTarget{{Target: "i-2", Until: start.Add(2 * time.Second)}}, r.BackedOffTargets(start.Add(time.Second)))
}

// Each incarnation of a target that restarts again and again may ask for a year.
func TestBackoffsAreBounded(t *testing.T) {
	r, _ := plainRouter("i-1")
	year := start.Add(365 * 24 * time.Hour)
	r.RecordBackoff("i-1", year, start)
	const most, more = 4096, 100
	for born := range uint64(most + more) {
		r.RecordBackoff(relay.NewTargetID("i-2", born+1), year, start.Add(time.Duration(born+1)*time.Second))
	}
	later := start.Add(2 * time.Hour)
	require.Len(t, r.BackedOffTargets(later), most)
	_, backedOff := r.BackedOff(relay.NewTargetID("i-2", most+more), later)
	require.True(t, backedOff, "the newest are kept")
	_, backedOff = r.BackedOff(relay.NewTargetID("i-2", 1), later)
	require.False(t, backedOff, "the oldest are not")
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	ready := plainTarget("i-1")
	ready.Call = 9
	gone := plainTarget("i-1")
	gone.Gone, gone.Call = true, 10
	for name, messages := range map[string][]relay.Target{
		"no message":                    nil,
		"a heartbeat from before":       {plainTarget("i-1")},
		"a heartbeat after it":          {ready},
		"it is removed and added again": {gone, ready},
	} {
		t.Run(name, func(t *testing.T) {
			r, a := plainRouter("i-1", "i-2")
			require.True(t, r.NoteDraining("i-1", start))
			require.False(t, r.NoteDraining("i-1", start), "the notice is not new")
			r.UpdateTargets(messages)
			for range 20 {
				require.Equal(t, relay.TargetID("i-2"), picked(t, r, a, start))
			}
			r.NoteDraining("i-2", start)
			_, refusal := r.Choose(a, start)
			require.NotNil(t, refusal, "a service whose targets are all draining serves no requests")
			require.True(t, refusal.RetryAt.After(start))
		})
	}
}

// A draining notice is reported until the updates of the control VM contain it, and again if they
// no longer do.
func TestDrainingTargetIsReportedUntilConfirmed(t *testing.T) {
	r, _ := plainRouter("i-1")
	r.NoteDraining("i-1", start)
	require.Equal(t, []relay.TargetID{"i-1"}, r.Findings(start).Leaving)
	leaving := plainTarget("i-1")
	leaving.Leaving = true
	r.UpdateTargets([]relay.Target{leaving})
	require.Empty(t, r.Findings(start).Leaving)
	r.UpdateTargets([]relay.Target{plainTarget("i-1")})
	require.Equal(t, []relay.TargetID{"i-1"}, r.Findings(start).Leaving)
	require.Empty(t, r.Findings(start.Add(time.Hour)).Leaving, "the notice expires after the last answer")
	r.ForgetDraining(start.Add(time.Hour))
	require.True(t, r.IsDraining("i-1"), "the notice is kept while the target is known")
}

func TestNewIncarnationIsNotDraining(t *testing.T) {
	old, next := relay.NewTargetID("i-1", 100), relay.NewTargetID("i-1", 200)
	r, a := plainRouter(old)
	r.UpdateTargets([]relay.Target{plainTarget(next)})
	r.EndIncarnations([]relay.Succession{{Old: old, New: next}})
	r.NoteDraining(old, start) // a late answer of the old incarnation
	require.Equal(t, next, picked(t, r, a, start))
	r.ForgetDraining(start.Add(time.Hour))
	require.False(t, r.IsDraining(old), "the notice is removed")
}
