package plan_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
)

// best returns the best rate over all splits of the layers, by exhaustive search.
func best(layers int, stages []plan.Stage) float64 {
	if len(stages) == 0 {
		if layers == 0 {
			return 1e18
		}
		return 0
	}
	most := 0.0
	for n := 0; n <= min(layers, stages[0].Memory); n++ {
		rate := best(layers-n, stages[1:])
		if n > 0 {
			rate = min(rate, stages[0].Speed/float64(n))
		}
		most = max(most, rate)
	}
	return most
}

func TestSplitIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 9).Draw(t, "layers")
		var stages []plan.Stage
		for i := range rapid.IntRange(1, 4).Draw(t, "stages") {
			stages = append(stages, plan.Stage{
				Target: fmt.Sprint(i), Speed: float64(rapid.IntRange(1, 50).Draw(t, "speed")), Memory: rapid.IntRange(0, 6).Draw(t, "memory"),
			})
		}
		ranges := plan.Split(layers, stages)
		want := best(layers, stages)
		if ranges == nil {
			require.Zero(t, want)
			return
		}
		next, rate := 0, 1e18
		for i, r := range ranges {
			require.Equal(t, next, r.First)
			require.LessOrEqual(t, r.Len(), stages[i].Memory)
			next = r.Last
			if r.Len() > 0 {
				rate = min(rate, stages[i].Speed/float64(r.Len()))
			}
		}
		require.Equal(t, layers, next)
		require.InEpsilon(t, want, rate, 1e-6)
	})
}

// state returns a configuration with equal engines, two to a chain, after planning.
func state(t *testing.T, engines int) config.State {
	changes := []config.Change{
		{Model: &config.Model{Name: "m", Layers: 8, Versions: []string{"v1", "v2"}}},
		{Pipeline: &config.Pipeline{Name: "p", Model: "m", Version: "v1", MaxTokens: 1}},
	}
	for i := range engines {
		changes = append(changes, config.Change{Target: &config.Target{Name: fmt.Sprintf("e%d", i), Address: "a", Hall: "h", Speed: 10, Memory: 4, Slots: 1}})
	}
	return apply(t, config.State{}, changes...)
}

func apply(t *testing.T, s config.State, changes ...config.Change) config.State {
	s, err := s.Apply(s.Revision+1, changes)
	require.NoError(t, err)
	planned := plan.Changes(s)
	for i := range planned {
		if planned[i].Place != nil {
			ready := planned[i].Place.WithReady()
			planned[i].Place = &ready
		}
	}
	s, err = s.Apply(s.Revision+1, planned)
	require.NoError(t, err)
	return s
}

func TestReplanKeepsHealthyPlacements(t *testing.T) {
	before := state(t, 5)
	require.Len(t, plan.Chains(before, "m", "v1"), 2)
	require.Empty(t, plan.Changes(before), "a plan that has been applied needs no change")
	after := apply(t, before, config.Change{Condition: &config.Condition{Target: "e0", Down: true}})
	require.Len(t, plan.Chains(after, "m", "v1"), 2, "the spare takes over the lost range")
	for _, p := range before.Placements.Sorted() {
		if p.Target != "e0" {
			now, ok := after.Placements.Get(p.Target)
			require.True(t, ok)
			require.True(t, now.SameLoad(p), "%s was moved", p.Target)
		}
	}
}

func TestDrainWithoutSpareKeepsPlacements(t *testing.T) {
	s := apply(t, state(t, 4), config.Change{Drain: &config.DrainMark{Ref: config.Ref{Kind: config.KindTarget, Name: "e0"}, Drain: true}})
	require.Len(t, plan.Chains(s, "m", "v1"), 1)
	require.Equal(t, 4, s.Placements.Len(), "without a spare no layers are reloaded under running streams")
	s = apply(t, s, config.Change{Drain: &config.DrainMark{Ref: config.Ref{Kind: config.KindTarget, Name: "e0"}}})
	require.Len(t, plan.Chains(s, "m", "v1"), 2)
}

func TestTwoVersionsShareEngines(t *testing.T) {
	s := state(t, 8)
	s = apply(t, s, config.Change{Pipeline: &config.Pipeline{Name: "q", Model: "m", Version: "v2", MaxTokens: 1}})
	require.NotEmpty(t, plan.Chains(s, "m", "v1"))
	require.NotEmpty(t, plan.Chains(s, "m", "v2"), "a new version gets engines while the old one keeps serving")
}

func TestVersionRolloutReplacesOneChainAtATime(t *testing.T) {
	s := state(t, 8)
	require.Len(t, plan.Chains(s, "m", "v1"), 4)
	s, err := s.Apply(s.Revision+1, []config.Change{{Pipeline: &config.Pipeline{Name: "p", Model: "m", Version: "v2", MaxTokens: 1}}})
	require.NoError(t, err)
	for step := 1; step <= 4; step++ {
		changes := plan.Changes(s)
		require.Len(t, changes, 2, "one chain of two engines")
		unready, err := s.Apply(s.Revision+1, changes)
		require.NoError(t, err)
		require.Empty(t, plan.Changes(unready), "the next chain waits until this one is ready")
		require.Len(t, plan.Chains(unready, "m", "v1"), 4-step, "the others keep serving")
		for i := range changes {
			ready := changes[i].Place.WithReady()
			changes[i].Place = &ready
		}
		s, err = unready.Apply(unready.Revision+1, changes)
		require.NoError(t, err)
		require.Len(t, plan.Chains(s, "m", "v2"), step)
	}
	require.Empty(t, plan.Changes(s))
}
