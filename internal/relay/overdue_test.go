package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// pacedAt returns the pace of an answer with a number of events at equal pauses.
func pacedAt(events int, pause time.Duration) relay.Pace {
	var p relay.Pace
	for i := range events {
		p = p.With(1, start.Add(time.Duration(i)*pause))
	}
	return p
}

// Callers accept a pause of 250 ms. With a fixed timeout of as much, and a check of the engine
// another 250 ms later, every answer is late whose engine dies: 330 of 8,400 on a day with three
// losses of three engines. Answers have a mean pause of 46 to 87 ms from the first to the last
// tenth.
func TestAnswerIsOverdueByItsOwnPace(t *testing.T) {
	r, _ := newRouter(nil)
	for _, mean := range []time.Duration{46 * time.Millisecond, 87 * time.Millisecond} {
		after, known := r.OverdueAfter(pacedAt(10, mean))
		require.True(t, known)
		require.Equal(t, 2*mean, after)
		require.Less(t, after, 200*time.Millisecond)
	}
}

func TestNewAnswerIsNotOverdue(t *testing.T) {
	r, _ := newRouter(nil)
	for events := range 5 {
		_, known := r.OverdueAfter(pacedAt(events, 50*time.Millisecond))
		require.False(t, known, "%d events", events)
	}
}

// Where pauses differ more than usual, the multiple grows until few exceed it; where they are
// alike, it falls. A loss that stops all answers changes it little.
func TestOverdueMultipleFollowsPauses(t *testing.T) {
	r, _ := newRouter(nil)
	pace := pacedAt(10, 50*time.Millisecond)
	for range 5 {
		r.ObservePause(pace, 2*time.Second)
	}
	require.Less(t, r.OverdueMultiple(), 3.0)
	for i := range 20_000 {
		pause := 50 * time.Millisecond
		if i%20 == 0 {
			pause = 150 * time.Millisecond
		}
		r.ObservePause(pace, pause)
	}
	require.InDelta(t, 3, r.OverdueMultiple(), 0.1)
	for range 2_000_000 {
		r.ObservePause(pace, 50*time.Millisecond)
	}
	require.InDelta(t, 1.6, r.OverdueMultiple(), 0.1)
}

// When an engine dies all VMs move their answers at once: 130 of them within half a second. If
// all chose the engine with the least work in flight, their prompts would be read there one after
// the other.
func TestSubstitutesAreDrawnByReadRate(t *testing.T) {
	lost := config.Range{First: 30, Last: 55}
	targets := enginesHolding("large", config.Range{First: 0, Last: 30}, lost, config.Range{First: 55, Last: 80})
	for i, held := range []config.Range{lost, {First: 30, Last: 60}, {First: 25, Last: 55}} {
		other := enginesHolding("large", held)[0]
		other.ID, other.Address = relay.TargetID(fmt.Sprint("stand-in-", i)), fmt.Sprint("stand-in-", i, ":80")
		targets = append(targets, other)
	}
	drawn := make(map[relay.TargetID]int)
	const vms = 600
	for vm := range uint64(vms) {
		r, route := newRouterWithSeed(nil, vm)
		r.UpdateTargets(targets)
		r.SetOthersWork(nil, true)
		path := choose(t, r, ask(route), start)
		next, ok := r.Substitute(path, []relay.TargetID{path.Stages[1].Target}, start)
		require.True(t, ok)
		drawn[next.Stages[1].Target]++
	}
	require.Len(t, drawn, 3)
	for id, n := range drawn {
		require.Greater(t, n, vms/5, "%s: all read at about the same rate", id)
	}
}

func TestSlowEngineIsAvoidedWhileItReportsSo(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	path := choose(t, r, ask(route), start)
	slow := path.Stages[1].Target
	r.RecordSlowdown(slow, 12, start)
	for range 20 {
		require.False(t, choose(t, r, ask(route), start).Includes(slow))
	}
	id, is := r.SlowStage(path, start)
	require.True(t, is)
	require.Equal(t, slow, id)
	require.Empty(t, r.Findings(start).Failed, "a slow engine does not count as dead")
	require.Equal(t, []relay.TargetKey{slow.Key()}, r.Findings(start).Slow)
	require.Empty(t, r.SlowEnginesToCheck(start))

	soon := start.Add(800 * time.Millisecond)
	require.Len(t, r.SlowEnginesToCheck(soon), 1, "it is checked before it is used again")
	r.RecordSlowdown(slow, 12, soon)
	_, is = r.SlowStage(path, start.Add(2*time.Second))
	require.True(t, is, "found slow again, it is avoided for longer")
	r.RecordSlowdown(slow, 1, start.Add(2700*time.Millisecond))
	_, is = r.SlowStage(path, start.Add(2700*time.Millisecond))
	require.False(t, is)
}

// Where every path needs it, a slow engine serves.
func TestSlowEngineWithoutSubstituteServes(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(enginesHolding("large", config.Range{First: 0, Last: 30}, config.Range{First: 30, Last: 55}, config.Range{First: 55, Last: 80}))
	r.RecordSlowdown("a-large-1", 12, start)
	require.True(t, choose(t, r, ask(route), start).Includes("a-large-1"))
}

// The engines report their pace themselves: invalid values change nothing.
func TestInvalidPacesAreIgnored(t *testing.T) {
	r, _ := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	for _, pace := range []float64{0, -1, 0.2, 1} {
		r.RecordSlowdown("a-large-0", pace, start)
		require.Empty(t, r.Findings(start).Slow, "pace %g", pace)
	}
	r.RecordSlowdown("i-unknown", 12, start)
}
