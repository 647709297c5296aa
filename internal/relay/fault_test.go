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

// A cost model with which no plan can be made, or no good one, is told with the field; what
// engines hold stands, and nothing falls.
func TestFaultsOfACostModelNameTheField(t *testing.T) {
	tests := []struct {
		name, field string
		spoil       func(*relay.Engine)
		// none says that no plan can be made.
		none bool
	}{
		{"layers without a size", "size of a layer", func(e *relay.Engine) { e.LayerBytes = 0 }, true},
		{"layers of a negative size", "size of a layer", func(e *relay.Engine) { e.LayerBytes = -1 }, true},
		{"tokens without a size", "memory of a token", func(e *relay.Engine) { e.TokenBytes = 0 }, true},
		{"no reading", "tokens read a second", func(e *relay.Engine) { e.ReadPerSecond = 0 }, false},
		{"no step", "time of a step", func(e *relay.Engine) { e.StepBase = 0 }, false},
		{"no slots", "slots", func(e *relay.Engine) { e.Slots = 0 }, false},
		{"no usual request", "usual prompt and answer", func(e *relay.Engine) { e.UsualPrompt, e.UsualAnswer = 0, 0 }, false},
		{"no pace", "kind tiny", func(e *relay.Engine) { e.Accelerators[3].Pace = 0 }, false},
		{"no memory beside a layer", "kind large", func(e *relay.Engine) { e.LayerBytes = 72000e6 }, true},
		{"kinds that no engine has", "kinds", func(e *relay.Engine) { e.Accelerators = e.Accelerators[:3] }, false},
		{"no kinds", "kinds", func(e *relay.Engine) { e.Accelerators = nil }, true},
		{"more layers than the fleet holds", "layers", func(e *relay.Engine) { e.Layers = 100_000 }, true},
	}
	targets := engines(today)
	held := holding(targets, relay.Plan(engine(), targets))
	require.Empty(t, engine().Faults(targets))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := engine()
			test.spoil(e)
			faults := e.Faults(targets)
			require.NotEmpty(t, faults)
			var invalid *relay.InvalidError
			require.ErrorAs(t, errors.Join(faults...), &invalid)
			require.ErrorContains(t, errors.Join(faults...), test.field+": ")
			plan := relay.Plan(e, targets)
			if test.none {
				require.Empty(t, plan)
			}
			require.Empty(t, relay.Plan(e, held), "what serves stands")
			e.NeedsMore(held)
			e.Hold(held)
		})
	}
}

// What engines say of themselves is not trusted: layers that are none, memory and pace of
// kinds that they are not, work without bound.
func TestEnginesThatLieBreakNoPlan(t *testing.T) {
	lies := []struct {
		name string
		lie  func(*relay.Target)
	}{
		{"layers before the first", func(x *relay.Target) { x.Layers = config.Range{First: -5, Last: 10} }},
		{"layers after the last", func(x *relay.Target) { x.Layers = config.Range{First: 70, Last: 1 << 40} }},
		{"layers the wrong way", func(x *relay.Target) { x.Layers = config.Range{First: 60, Last: 20} }},
		{"layers without bounds", func(x *relay.Target) { x.Layers = config.Range{First: math.MinInt, Last: math.MaxInt} }},
		{"more layers than fit", func(x *relay.Target) { x.Layers = config.Range{First: 0, Last: 80} }},
		{"a kind that nobody knows", func(x *relay.Target) { x.Accelerator = "enormous" }},
		{"no kind", func(x *relay.Target) { x.Accelerator = "" }},
		{"work without bound", func(x *relay.Target) { x.Load = math.MaxInt }},
		{"negative work and slots", func(x *relay.Target) { x.Load, x.Slots = -1, -1 }},
	}
	for _, test := range lies {
		t.Run(test.name, func(t *testing.T) {
			e := engine()
			targets := engines(today)
			held := holding(targets, relay.Plan(e, targets))
			for i := range held {
				if held[i].Hall == "a" && i%2 == 0 {
					test.lie(&held[i])
				}
			}
			after := holding(held, relay.Plan(e, held))
			for hall := range today {
				if hall == "a" {
					continue
				}
				for layer, n := range covered(inHall(after, hall)) {
					require.Positive(t, n, "hall %s layer %d", hall, layer)
				}
			}
			e.NeedsMore(held)
			e.Hold(held)
			e.HoldAfter(held, 3)
			r, route := newRouter(nil)
			r.TakeTargets(held)
			for range 20 {
				path, refusal := r.Choose(ask(route), start)
				if refusal != nil {
					continue
				}
				r.TakePauses(path, 50*time.Millisecond)
				r.Release(path, false)
			}
		})
	}
}

// An engine that says that it holds more than it can does not lower what others are given
// memory for: those that come later would have none for requests.
func TestALieAboutLayersTakesNoMemoryFromOthers(t *testing.T) {
	e := mixedEngine()
	targets := engines(mixed)
	held := holding(targets, relay.Plan(e, targets))
	before := requestsLeast(e, held)
	liar := &held[len(held)-1]
	liar.Layers = config.Range{First: 0, Last: 80}
	for i := range 3 {
		held[i].Layers = config.Range{}
	}
	after := holding(held, relay.Plan(e, held))
	after = after[:len(after)-1]
	require.GreaterOrEqual(t, requestsLeast(e, after), 0.5*before)
}

// requestsLeast is the least memory for requests of an engine that holds layers.
func requestsLeast(e *relay.Engine, targets []relay.Target) float64 {
	least := math.Inf(1)
	for _, x := range targets {
		if x.Layers.Len() > 0 {
			least = min(least, slices.Max(requestsAt(e, []relay.Target{x})))
		}
	}
	return least
}
