package relay_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// mixed is a fleet of many small engines and few large ones. One copy of the weights fills
// a third of the large engines of a hall, or eighteen of the small ones, which have memory
// for 5 layers and 180 requests, or for 8 layers and no request. There are 9 large, 48
// small fast and 36 small slow engines, unevenly spread over three halls. The figures are
// of the kind that users give for such fleets; 239 answers a second came to one of 93
// engines.
var mixed = layout{
	"a": {"large": 3, "quick": 14, "slow": 16},
	"b": {"large": 4, "quick": 10, "slow": 11},
	"c": {"large": 2, "quick": 24, "slow": 9},
}

// sparse is a fleet whose large engines are half as big, and few: slow engines hold most of
// the model.
var sparse = layout{
	"a": {"middle": 4, "small": 9, "tiny": 14},
	"b": {"middle": 2, "small": 13, "tiny": 22},
	"c": {"middle": 1, "small": 22, "tiny": 12},
}

// mixedEngine returns the cost model of the mixed fleet.
func mixedEngine() *relay.Engine {
	e := engine()
	e.TokenBytes, e.StepBase, e.Stride, e.UsualPrompt, e.UsualAnswer = 492000, 1020*time.Microsecond, 5, 770, 230
	e.Accelerators = []relay.Accelerator{
		{Name: "large", Bytes: 72000e6, StepFactor: 2.4, ReadFactor: 3.2},
		{Name: "quick", Bytes: 14400e6, StepFactor: 5.3, ReadFactor: 7.9},
		{Name: "slow", Bytes: 21600e6, StepFactor: 16, ReadFactor: 8.2},
	}
	return e
}

// If all cuts were those of the large engines of one hall, 70 of 80 layers would have one holder in
// each hall, and the loss of nearly any engine would take down its hall. Two engines of a hall
// would begin all answers, and the memory of a large engine would be occupied by answers that wait
// for slow engines.
func TestPlanForManySmallEnginesSurvivesLosses(t *testing.T) {
	e := mixedEngine()
	targets := engines(mixed)
	held := holding(targets, relay.Plan(e, targets))
	whole := e.Capacity(held)
	require.GreaterOrEqual(t, whole.Copies, 2)
	require.Greater(t, whole.Rate, 239.0)
	require.Greater(t, e.CapacityAfterLosses(held, 3).Rate, whole.Rate/2)
	for hall := range mixed {
		begin := 0
		for _, target := range inHall(held, hall) {
			if target.Layers.Len() > 0 && target.Layers.First == 0 {
				begin++
			}
		}
		require.GreaterOrEqual(t, begin, 3, "engines that begin answers in hall %s", hall)
	}
}

// The capacity of a plan never exceeds the upper bound. The command that prints both relies
// on it.
func TestPlanStaysWithinUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawValidEngine(t)
		targets := drawFleet(t, e.Layers)
		held := holding(targets, relay.Plan(e, targets))
		most, holds := e.UpperBound(targets), e.Capacity(held)
		require.LessOrEqual(t, holds.Answers, most.Answers*(1+1e-9))
		require.LessOrEqual(t, holds.Rate, most.RateByMemory*(1+1e-9))
		require.LessOrEqual(t, e.CapacityAfterLosses(held, 3).Rate, holds.Rate*(1+1e-9))
	})
}

// drawValidEngine draws a valid cost model.
func drawValidEngine(t *rapid.T) *relay.Engine {
	e := mixedEngine()
	e.Layers = rapid.IntRange(2, 80).Draw(t, "layers")
	e.LayerBytes = rapid.Float64Range(1e8, 4e9).Draw(t, "layer")
	e.TokenBytes = rapid.Float64Range(1e5, 1e6).Draw(t, "token")
	e.Slots = rapid.IntRange(1, 300).Draw(t, "slots")
	for i := range e.Accelerators {
		e.Accelerators[i].Name = fmt.Sprintf("k%d", i)
	}
	return e
}

// The answers in progress are the rate times the time of an answer at that load. A fleet
// that does not bear the rate reports so.
func TestNeededFollowsLittlesLaw(t *testing.T) {
	e := mixedEngine()
	targets := engines(mixed)
	held := holding(targets, relay.Plan(e, targets))
	whole := e.Capacity(held)
	require.InEpsilon(t, whole.Rate*whole.Time.Seconds(), whole.Answers, 0.01)
	before := 0.0
	for _, part := range []float64{0.1, 0.5, 0.9} {
		needed, borne := e.AnswersAtRate(held, part*whole.Rate)
		require.True(t, borne)
		require.Greater(t, needed, before)
		require.Less(t, needed, whole.Answers)
		before = needed
	}
	needed, borne := e.AnswersAtRate(held, 2*whole.Rate)
	require.False(t, borne)
	require.InEpsilon(t, whole.Answers, needed, 0.01)
}

// A hall that can hold the model holds every layer of it, whatever the memory of its
// engines.
func TestPlanCoversEachHallThatFitsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawValidEngine(t)
		targets := slices.DeleteFunc(drawFleet(t, e.Layers), func(x relay.Target) bool { return x.Leaving })
		for i := range targets {
			targets[i].Layers = config.Range{}
		}
		held := holding(targets, relay.Plan(e, targets))
		for _, hall := range []string{"", "a", "b", "c"} {
			room := 0
			counts := make([]int, e.Layers)
			for _, x := range inHall(held, hall) {
				room += layersWithRoom(e, x.Accelerator)
				for i := x.Layers.First; i < x.Layers.Last; i++ {
					counts[i]++
				}
			}
			if room < e.Layers {
				continue
			}
			require.NotContains(t, counts, 0, "hall %q", hall)
		}
	})
}

// layersWithRoom returns the most layers that leave a kind memory for a usual request.
func layersWithRoom(e *relay.Engine, kind string) int {
	most := 0
	for _, a := range e.Accelerators {
		if a.Name != kind {
			continue
		}
		usual := float64(e.UsualPrompt + e.UsualAnswer)
		for n := 1; n <= e.Layers; n++ {
			if math.Floor(math.Floor((a.Bytes-float64(n)*e.LayerBytes)*float64(e.Layers)/e.TokenBytes)/float64(n)) >= usual {
				most = n
			}
		}
	}
	return most
}

// Engines that serve are not moved: an engine gets other layers only if its hall lacks
// some, and if another engine holds every layer that it gives up.
func TestPlanMovesEnginesOnlyForRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawValidEngine(t)
		targets := drawFleet(t, e.Layers)
		before := make(map[relay.TargetID]relay.Target)
		for _, x := range targets {
			before[x.ID] = x
		}
		counts := make(map[string][]int)
		for _, x := range targets {
			if counts[x.Hall] == nil {
				counts[x.Hall] = make([]int, e.Layers)
			}
			for i := x.Layers.First; x.AcceptsWork() && x.Layers.Last <= e.Layers && i < x.Layers.Last; i++ {
				if slices.ContainsFunc(e.Accelerators, func(a relay.Accelerator) bool { return a.Name == x.Accelerator }) {
					counts[x.Hall][i]++
				}
			}
		}
		for _, a := range relay.Plan(e, targets) {
			x := before[a.Target]
			if x.Layers.Len() <= 0 || x.Layers.Last > e.Layers {
				continue
			}
			require.Contains(t, counts[x.Hall], 0, "%s moves from %s to %s in a hall that lacks no layer", x.ID, x.Layers, a.Layers)
			require.Greater(t, slices.Min(counts[x.Hall][x.Layers.First:x.Layers.Last]), 1, "%s is the only holder of some of %s", x.ID, x.Layers)
		}
	})
}

// On fleets small enough to try every plan, the plan bears most of the rate of the best
// one, as the mean over the losses of 0 to 3 engines.
func TestPlanIsNearExhaustiveOptimum(t *testing.T) {
	e := mixedEngine()
	e.Layers, e.LayerBytes, e.TokenBytes = 4, 14000e6, 492000
	for _, kinds := range []map[string]int{
		{"large": 1, "slow": 3}, {"large": 2, "slow": 2}, {"large": 2, "quick": 1}, {"large": 2, "slow": 3}, {"large": 4}, {"slow": 5}, {"large": 3, "slow": 1},
	} {
		targets := engines(layout{"a": kinds})
		planned := meanRate(e, holding(targets, relay.Plan(e, targets)))
		best := exhaustiveBest(e, targets, 0)
		t.Logf("%v: %.1f of %.1f answers a second", kinds, planned, best)
		require.GreaterOrEqual(t, planned, 0.75*best, "%v", kinds)
	}
}

func meanRate(e *relay.Engine, targets []relay.Target) float64 {
	total := 0.0
	for losses := range 4 {
		total += e.CapacityAfterLosses(targets, losses).Rate
	}
	return total / 4
}

// exhaustiveBest tries every range for every engine from the i-th on.
func exhaustiveBest(e *relay.Engine, targets []relay.Target, i int) float64 {
	if i == len(targets) {
		return meanRate(e, targets)
	}
	best := 0.0
	for first := range e.Layers {
		for last := first + 1; last <= min(e.Layers, first+layersWithRoom(e, targets[i].Accelerator)); last++ {
			targets[i].Layers = config.Range{First: first, Last: last}
			best = max(best, exhaustiveBest(e, targets, i+1))
		}
	}
	targets[i].Layers = config.Range{}
	return best
}
