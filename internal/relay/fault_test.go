package relay_test

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// A cost model with which no plan can be made, or no good one, is reported with its field.
// Engines keep their layers, and nothing panics.
func TestFaultsNameTheField(t *testing.T) {
	tests := []struct {
		name, field string
		invalidate  func(*relay.Engine)
		// none is set if no plan can be made.
		none bool
	}{
		{"layers without a size", "size of a layer", func(e *relay.Engine) { e.LayerBytes = 0 }, true},
		{"layers of a negative size", "size of a layer", func(e *relay.Engine) { e.LayerBytes = -1 }, true},
		{"tokens without a size", "memory of a token", func(e *relay.Engine) { e.TokenBytes = 0 }, true},
		{"no reading", "tokens read a second", func(e *relay.Engine) { e.ReadPerSecond = 0 }, false},
		{"no step", "time of a step", func(e *relay.Engine) { e.StepBase = 0 }, false},
		{"no slots", "slots", func(e *relay.Engine) { e.Slots = 0 }, false},
		{"no usual request", "usual prompt and answer", func(e *relay.Engine) { e.UsualPrompt, e.UsualAnswer = 0, 0 }, false},
		{"no pace", "kind tiny", func(e *relay.Engine) { e.Accelerators[3].StepFactor = 0 }, false},
		{"no memory beside a layer", "kind large", func(e *relay.Engine) { e.LayerBytes = 72000e6 }, true},
		{"kinds that no engine has", "kinds", func(e *relay.Engine) { e.Accelerators = e.Accelerators[:3] }, false},
		{"no kinds", "kinds", func(e *relay.Engine) { e.Accelerators = nil }, true},
		{"more layers than the fleet holds", "layers", func(e *relay.Engine) { e.Layers = 100_000 }, true},
	}
	targets := engines(presentFleet)
	held := holding(targets, relay.Plan(engine(), targets))
	require.Empty(t, engine().Faults(targets))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := engine()
			test.invalidate(e)
			faults := e.Faults(targets)
			require.NotEmpty(t, faults)
			var invalid *relay.InvalidError
			require.ErrorAs(t, errors.Join(faults...), &invalid)
			require.ErrorContains(t, errors.Join(faults...), test.field+": ")
			plan := relay.Plan(e, targets)
			if test.none {
				require.Empty(t, plan)
			}
			require.Empty(t, relay.Plan(e, held), "engines that serve keep their layers")
			e.NeedsMoreLoads(held)
			e.Capacity(held)
		})
	}
}

// Reports of engines are not trusted: layers that do not exist, memory and pace of another
// kind, unbounded work.
func TestPlanToleratesFalseReports(t *testing.T) {
	reports := []struct {
		name    string
		falsify func(*relay.Target)
	}{
		{"layers below the first", func(x *relay.Target) { x.Layers = config.Range{First: -5, Last: 10} }},
		{"layers above the last", func(x *relay.Target) { x.Layers = config.Range{First: 70, Last: 1 << 40} }},
		{"reversed layers", func(x *relay.Target) { x.Layers = config.Range{First: 60, Last: 20} }},
		{"unbounded layers", func(x *relay.Target) { x.Layers = config.Range{First: math.MinInt, Last: math.MaxInt} }},
		{"more layers than fit", func(x *relay.Target) { x.Layers = config.Range{First: 0, Last: 80} }},
		{"unknown kind", func(x *relay.Target) { x.Accelerator = "enormous" }},
		{"no kind", func(x *relay.Target) { x.Accelerator = "" }},
		{"unbounded work", func(x *relay.Target) { x.Load = math.MaxInt }},
		{"negative work and slots", func(x *relay.Target) { x.Load, x.Slots = -1, -1 }},
	}
	for _, test := range reports {
		t.Run(test.name, func(t *testing.T) {
			e := engine()
			targets := engines(presentFleet)
			held := holding(targets, relay.Plan(e, targets))
			for i := range held {
				if held[i].Hall == "a" && i%2 == 0 {
					test.falsify(&held[i])
				}
			}
			after := holding(held, relay.Plan(e, held))
			for hall := range presentFleet {
				if hall == "a" {
					continue
				}
				for layer, n := range covered(inHall(after, hall)) {
					require.Positive(t, n, "hall %s layer %d", hall, layer)
				}
			}
			e.NeedsMoreLoads(held)
			e.Capacity(held)
			e.CapacityAfterLosses(held, 3)
			r, route := newRouter(nil)
			r.UpdateTargets(held)
			for range 20 {
				path, refusal := r.Choose(ask(route), start)
				if refusal != nil {
					continue
				}
				r.ObserveMeanPause(path, 50*time.Millisecond)
				r.Release(path, false)
			}
		})
	}
}

// An engine that reports more layers than it can hold does not lower the memory goal of the
// others: engines that join later would have no memory for requests.
func TestFalseLayerReportKeepsMemoryGoal(t *testing.T) {
	e := mixedEngine()
	targets := engines(mixed)
	held := holding(targets, relay.Plan(e, targets))
	before := minRequests(e, held)
	wrong := &held[len(held)-1]
	wrong.Layers = config.Range{First: 0, Last: 80}
	for i := range 3 {
		held[i].Layers = config.Range{}
	}
	after := holding(held, relay.Plan(e, held))
	after = after[:len(after)-1]
	require.GreaterOrEqual(t, minRequests(e, after), 0.5*before)
}

// minRequests returns the least memory for requests of any engine that holds layers.
func minRequests(e *relay.Engine, targets []relay.Target) float64 {
	least := math.Inf(1)
	for _, x := range targets {
		if x.Layers.Len() > 0 {
			least = min(least, slices.Max(requestsAt(e, []relay.Target{x})))
		}
	}
	return least
}
