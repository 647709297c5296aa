package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock/clocktest"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Guards against more repeats than allowed as the time of day steps: accounts of a window were kept by
// it, so that each step ahead emptied them, and a step back made them last.
func TestRepeatsStayWithinBoundWhileClocksStep(t *testing.T) {
	steps := map[string]func(r *rand.Rand) int64{
		"ahead by seconds": func(r *rand.Rand) int64 { return 1 + r.Int64N(5) },
		"ahead by an hour": func(*rand.Rand) int64 { return 3600 },
		"back by an hour":  func(*rand.Rand) int64 { return -3600 },
		"to and fro":       func(r *rand.Rand) int64 { return r.Int64N(20) - 10 },
	}
	for name, draw := range steps {
		t.Run(name, func(t *testing.T) {
			repeats := 0
			for seed := range uint64(40) {
				w := newBudgetWorld(seed, budgetFaults{kills: seed%2 == 1, leaders: seed%4 == 3})
				w.began = time.Now()
				w.drawStep = draw
				w.play()
				ratio, at, arrivals, bound := w.worst()
				require.LessOrEqual(t, ratio, 1.0, "history %d: %d repeats in the 10 s from step %d, allowed %.1f", seed, arrivals, at, bound)
				repeats += sumOf(w.arrivals, 0, len(w.arrivals))
			}
			require.Positive(t, repeats)
		})
	}
}

// A step back of the time of day must not keep what was spent for longer than a window.
func TestRepeatsAreAllowedAfterClockStepsBack(t *testing.T) {
	terms := relay.BudgetTerms{Share: 0.5, Window: 10 * time.Second}
	began := time.Now()
	router := relay.NewRouter(relay.Settings{Hall: "a", Seed: 1, Started: began, Budget: terms})
	taken := func(from time.Duration, seconds int64) int {
		n := 0
		for at := from; at < from+20*time.Second; at += 100 * time.Millisecond {
			now := clocktest.Stepped(began.Add(at), seconds)
			router.CountRequest(budgetService, now)
			if router.AllowRepeat(budgetService, true, now) {
				n++
			}
		}
		return n
	}
	before := taken(0, 0)
	require.Positive(t, before)
	require.GreaterOrEqual(t, taken(20*time.Second, -3600), before)
}
