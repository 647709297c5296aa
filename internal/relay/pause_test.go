package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// admitted returns how many requests are admitted before one is refused. If measured is set,
// answers have been measured to pause that long.
func admitted(t *testing.T, bound time.Duration, measured time.Duration) int {
	t.Helper()
	r, route := newRouter(nil)
	r.SetOthersWork(nil, true)
	r.UpdateTargets(enginesHolding("large", config.Range{First: 0, Last: 15}, config.Range{First: 15, Last: 30}, config.Range{First: 30, Last: 45}, config.Range{First: 45, Last: 60}, config.Range{First: 60, Last: 80}))
	paced := *route
	paced.Pause = bound
	for range 100 {
		path := choose(t, r, ask(&paced), start)
		if measured > 0 {
			r.ObserveMeanPause(path, measured)
		}
		r.Release(path, false)
	}
	n := 0
	for ; n < 10000; n++ {
		if _, refusal := r.Choose(ask(&paced), start); refusal != nil {
			break
		}
	}
	return n
}

// If engines were filled up to their memory, every answer there would be late: with pauses of 150
// to 200 ms on average, for ten seconds, where the bound is 200 ms.
func TestAdmissionKeepsAnswersInTime(t *testing.T) {
	free := admitted(t, 0, 0)
	require.Less(t, admitted(t, 12*time.Millisecond, 0), free/2)
	require.Equal(t, free, admitted(t, time.Second, 0))
}

// Pauses that are longer than forecast make the VM admit fewer.
func TestMeasuredPausesCorrectForecast(t *testing.T) {
	require.Less(t, admitted(t, 30*time.Millisecond, 40*time.Millisecond), admitted(t, 30*time.Millisecond, 0))
}

// A hall in which no answer can be in time still serves late ones.
func TestSlowHallsStillServe(t *testing.T) {
	require.Greater(t, admitted(t, time.Millisecond, 0), 50)
}

// An absurd measurement neither closes a hall nor fills it without bound.
func TestForecastStaysWithinBounds(t *testing.T) {
	require.Positive(t, admitted(t, 50*time.Millisecond, time.Hour))
	require.LessOrEqual(t, admitted(t, 50*time.Millisecond, time.Nanosecond), admitted(t, 0, 0))
}

// A request that has a part of its answer continues, also where others are refused.
func TestResumedAnswersAreAdmitted(t *testing.T) {
	r, route := newRouter(nil)
	r.SetOthersWork(nil, true)
	r.UpdateTargets(enginesHolding("large", config.Range{First: 0, Last: 30}, config.Range{First: 30, Last: 55}, config.Range{First: 55, Last: 80}))
	paced := *route
	paced.Pause = 12 * time.Millisecond
	var refusal *relay.Refusal
	for refusal == nil {
		_, refusal = r.Choose(ask(&paced), start)
	}
	resumed := ask(&paced)
	resumed.Resumed = true
	_, refusal = r.Choose(resumed, start)
	require.Nil(t, refusal)
}

func TestAnswerTimeFollowsMeasuredPauses(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	require.Zero(t, r.AnswerTime("s", 100))
	for range 200 {
		path := choose(t, r, ask(route), start)
		r.ObserveMeanPause(path, 40*time.Millisecond)
		r.Release(path, false)
	}
	// Two tokens an event: a hundred tokens are fifty pauses.
	require.InDelta(t, 2*time.Second, r.AnswerTime("s", 100), float64(20*time.Millisecond))
}
