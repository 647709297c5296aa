package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// drawEngine draws a cost model, which may be invalid.
func drawEngine(t *rapid.T) *relay.Engine {
	e := &relay.Engine{
		Slots: rapid.IntRange(0, 300).Draw(t, "slots"), Layers: rapid.IntRange(1, 100).Draw(t, "layers"),
		LayerBytes: rapid.SampledFrom([]float64{1, 1e8, 1750e6, 1e12}).Draw(t, "layer_bytes"),
		TokenBytes: rapid.SampledFrom([]float64{1, 39000, 590000, 1e10}).Draw(t, "token_bytes"),
		StepBase:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Microsecond,
		Stride:     rapid.IntRange(0, 8).Draw(t, "stride"), Chunk: rapid.IntRange(0, 2048).Draw(t, "chunk"),
		ReadPerSecond: rapid.SampledFrom([]float64{0, 1, 196000}).Draw(t, "read"),
		UsualPrompt:   rapid.IntRange(0, 3000).Draw(t, "prompt"), UsualAnswer: rapid.IntRange(0, 1000).Draw(t, "answer"),
		ActivationBytes: 29500, PipeBits: rapid.SampledFrom([]float64{0, 9e9}).Draw(t, "pipe"), Load: 14 * time.Second,
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "kinds") {
		e.Accelerators = append(e.Accelerators, relay.Accelerator{
			Name:       fmt.Sprintf("k%d", i),
			Bytes:      rapid.SampledFrom([]float64{0, 1e9, 14400e6, 72000e6, 1e15}).Draw(t, "bytes"),
			StepFactor: rapid.SampledFrom([]float64{0, 1, 5.3, 16}).Draw(t, "pace"),
			ReadFactor: rapid.SampledFrom([]float64{0, 1, 15}).Draw(t, "read_x"),
		})
	}
	return e
}

func drawFleet(t *rapid.T, layers int) []relay.Target {
	var targets []relay.Target
	for i := range rapid.IntRange(0, 30).Draw(t, "engines") {
		first := rapid.IntRange(0, layers).Draw(t, "first")
		held := config.Range{First: first, Last: first + rapid.IntRange(0, layers+5).Draw(t, "held")}
		if rapid.Bool().Draw(t, "empty") {
			held = config.Range{}
		}
		targets = append(targets, relay.Target{
			ID: relay.TargetID(fmt.Sprintf("e%d", i)), Service: "s", Address: fmt.Sprintf("e%d:80", i), Call: 1, Layers: held,
			Hall:        rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "hall"),
			Accelerator: rapid.SampledFrom([]string{"", "k0", "k1", "k2", "k3", "unknown"}).Draw(t, "kind"),
			Slots:       rapid.IntRange(0, 200).Draw(t, "slots"), Loading: rapid.Bool().Draw(t, "loading"),
			Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Load: rapid.IntRange(0, 5).Draw(t, "load"),
		})
	}
	return targets
}

// For any fleet and cost model, a plan gives each engine at most one range, which fits its
// memory and the model, and nothing to engines that leave or are of an unknown kind.
func TestPlanFitsAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEngine(t)
		targets := drawFleet(t, e.Layers)
		known := make(map[relay.TargetID]relay.Target)
		for _, target := range targets {
			known[target.ID] = target
		}
		given := make(map[relay.TargetID]bool)
		for _, a := range relay.Plan(e, targets) {
			require.False(t, given[a.Target], "%s is given two ranges", a.Target)
			given[a.Target] = true
			require.True(t, known[a.Target].AcceptsWork())
			require.Positive(t, a.Layers.Len())
			require.GreaterOrEqual(t, a.Layers.First, 0)
			require.LessOrEqual(t, a.Layers.Last, e.Layers)
			fits := false
			for _, kind := range e.Accelerators {
				fits = fits || kind.Name == known[a.Target].Accelerator && float64(a.Layers.Len())*e.LayerBytes <= kind.Bytes
			}
			require.True(t, fits, "%s does not hold %s", a.Target, a.Layers)
		}
	})
}

// For any fleet, the choice of a path succeeds or returns a refusal.
func TestChooseReturnsPathOrRefusalForAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEngine(t)
		r, route := newRouter(nil)
		r.SetDocument(&relay.Document{Version: 2, Services: []relay.Service{{Name: "s", MaxConns: 10, Engine: e}}})
		r.UpdateTargets(drawFleet(t, e.Layers))
		for range 5 {
			path, refusal := r.Choose(ask(route), start)
			if refusal != nil {
				require.True(t, refusal.NotRun())
				return
			}
			r.ObserveMeanPause(path, 50*time.Millisecond)
			if next, ok := r.Substitute(path, []relay.TargetID{path.Stages[len(path.Stages)-1].Target}, start); ok {
				path = next
			}
			r.Release(path, false)
		}
		require.Empty(t, r.OwnWork())
	})
}
