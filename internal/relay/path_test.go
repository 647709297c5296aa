package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// An engine may run a part of its layers, so overlapping ranges can be joined, not only
// those where one ends where the next begins.
func TestPathsJoinOverlappingRanges(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(enginesHolding("large", config.Range{First: 0, Last: 35}, config.Range{First: 30, Last: 60}, config.Range{First: 50, Last: 80}))
	path := choose(t, r, ask(route), start)
	requireWhole(t, path)
	require.Len(t, path.Stages, 3)
}

// The memory that a request takes depends on the layers that the engine runs of it.
func TestPartialRangeTakesPartOfMemory(t *testing.T) {
	admitted := func(ranges ...config.Range) int {
		r, route := newRouter(nil)
		r.SetOthersWork(nil, true)
		r.UpdateTargets(enginesHolding("large", ranges...))
		n := 0
		for {
			if _, refusal := r.Choose(ask(route), start); refusal != nil {
				return n
			}
			n++
		}
	}
	whole := admitted(config.Range{First: 0, Last: 30}, config.Range{First: 30, Last: 55}, config.Range{First: 55, Last: 80})
	overlapping := admitted(config.Range{First: 0, Last: 30}, config.Range{First: 26, Last: 55}, config.Range{First: 55, Last: 80})
	require.Greater(t, overlapping, whole)
}

// For any layout, a path runs each layer once, in order, within the layers that its engines
// hold, and names no engine twice.
func TestPathsCoverAllLayersInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := []string{"large", "middle", "small", "tiny"}
		halls := []string{"a", "b", "c"}
		var targets []relay.Target
		held := make(map[relay.TargetID]config.Range)
		for i := range rapid.IntRange(1, 25).Draw(t, "engines") {
			first := rapid.IntRange(0, 79).Draw(t, "first")
			last := min(80, first+rapid.IntRange(1, 40).Draw(t, "layers"))
			target := relay.Target{
				ID: relay.TargetID(fmt.Sprintf("e%d", i)), Service: "s", Address: fmt.Sprintf("e%d:80", i), Slots: 192, Call: 1,
				Hall: rapid.SampledFrom(halls).Draw(t, "hall"), Accelerator: rapid.SampledFrom(kinds).Draw(t, "kind"),
				Layers: config.Range{First: first, Last: last},
			}
			targets = append(targets, target)
			held[target.ID] = target.Layers
		}
		r, route := newRouter(nil)
		r.UpdateTargets(targets)
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			path, refusal := r.Choose(ask(route), start)
			if refusal != nil {
				return
			}
			next := 0
			named := make(map[relay.TargetID]bool)
			for _, s := range path.Stages {
				require.Equal(t, next, s.Layers.First)
				require.GreaterOrEqual(t, s.Layers.First, held[s.Target].First)
				require.LessOrEqual(t, s.Layers.Last, held[s.Target].Last)
				require.False(t, named[s.Target])
				named[s.Target] = true
				next = s.Layers.Last
			}
			require.Equal(t, 80, next)
		}
	})
}
