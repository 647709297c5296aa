package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// enginesHolding returns engines of hall "a" that hold the given ranges.
func enginesHolding(kind string, ranges ...config.Range) []relay.Target {
	var targets []relay.Target
	for i, layers := range ranges {
		targets = append(targets, relay.Target{
			ID: relay.TargetID(fmt.Sprintf("a-%s-%d", kind, i)), Service: "s", Hall: "a",
			Address: fmt.Sprintf("a.%s.%d:80", kind, i), Accelerator: kind, Slots: 192, Layers: layers, Call: 1,
		})
	}
	return targets
}

// replicatedEngines returns engines of hall "a" and one of hall "b". In hall "a", two engines hold
// each of the first two parts of the model and one holds the last, which the engine of hall
// "b" holds too.
func replicatedEngines() []relay.Target {
	first := config.Range{First: 0, Last: 30}
	second := config.Range{First: 30, Last: 55}
	third := config.Range{First: 55, Last: 80}
	targets := enginesHolding("large", first, second, third, first, second)
	elsewhere := enginesHolding("middle", third)[0]
	elsewhere.ID, elsewhere.Address, elsewhere.Hall = "b-large-0", "b:80", "b"
	return append(targets, elsewhere)
}

// Without a substitute, all answers of an engine that dies or moves start over, and every stage
// reads their prompts again.
func TestSubstituteReplacesLaterStageWithinHall(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	path := choose(t, r, ask(route), start)
	r.RecordBegun(path)
	lost := path.Stages[1].Target
	next, ok := r.Substitute(path, []relay.TargetID{lost}, start)
	require.True(t, ok)
	requireWhole(t, next)
	require.Equal(t, path.First(), next.First())
	require.Equal(t, path.Stages[2], next.Stages[2])
	require.False(t, next.Includes(lost))
	require.Len(t, hallsOf(next), 1)

	r.Release(next, true)
	require.Empty(t, r.OwnWork(), "the work counted on the replaced stage is released")
}

func TestSubstituteRejectsIrreplaceableStages(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	path := choose(t, r, ask(route), start)
	_, ok := r.Substitute(path, []relay.TargetID{path.First().Target}, start)
	require.False(t, ok, "the first stage has the connection")
	_, ok = r.Substitute(path, []relay.TargetID{path.Stages[2].Target}, start)
	require.False(t, ok, "only another hall holds the layers")
	_, ok = r.Substitute(path, []relay.TargetID{"i-other"}, start)
	require.False(t, ok, "it is not on the path")
}

// If the engine refuses the replacement, the request counts on its original path again.
func TestRestoreUndoesSubstitute(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	path := choose(t, r, ask(route), start)
	r.RecordBegun(path)
	before := r.OwnWork()
	next, ok := r.Substitute(path, []relay.TargetID{path.Stages[1].Target}, start)
	require.True(t, ok)
	require.NotEqual(t, before, r.OwnWork())
	r.UndoSubstitute(next, path)
	require.Equal(t, before, r.OwnWork())
}

func TestMovingOnReportsMovingStage(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(replicatedEngines())
	path := choose(t, r, ask(route), start)
	_, moving := r.MovingStage(path)
	require.False(t, moving)
	r.ApplyMarks(map[relay.TargetKey]relay.Mark{path.Stages[1].Target.Key(): relay.MarkMoving}, true)
	id, moving := r.MovingStage(path)
	require.True(t, moving)
	require.Equal(t, path.Stages[1].Target, id)
}

// A hall of engines with different ranges may have no single engine for a lost stage: its answers
// would stall until they are cut.
func TestSubstituteUsesSeveralEnginesForOneStage(t *testing.T) {
	r, route := newRouter(nil)
	first := config.Range{First: 0, Last: 30}
	lost := config.Range{First: 30, Last: 55}
	targets := enginesHolding("large", first, lost, config.Range{First: 55, Last: 80},
		config.Range{First: 25, Last: 40}, config.Range{First: 40, Last: 60})
	r.UpdateTargets(targets)
	r.RecordFailure(targets[3].ID, true, start)
	path := choose(t, r, ask(route), start)
	require.Equal(t, lost, path.Stages[1].Layers)
	later := start.Add(time.Second)
	next, ok := r.Substitute(path, []relay.TargetID{path.Stages[1].Target}, later)
	require.True(t, ok)
	requireWhole(t, next)
	require.Len(t, next.Stages, 4)
	require.Equal(t, path.First(), next.First())
	r.Release(next, false)
	require.Empty(t, r.OwnWork())
}
