package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// placed returns engines of hall "a" that hold these ranges.
func placed(kind string, ranges ...config.Range) []relay.Target {
	var targets []relay.Target
	for i, layers := range ranges {
		targets = append(targets, relay.Target{
			ID: relay.TargetID(fmt.Sprintf("a-%s-%d", kind, i)), Service: "s", Hall: "a",
			Address: fmt.Sprintf("a.%s.%d:80", kind, i), Accelerator: kind, Slots: 192, Layers: layers, Call: 1,
		})
	}
	return targets
}

// twoOfEach returns engines of hall "a" of which two hold each part of the model, and one
// of hall "b" that holds the last part too.
func twoOfEach() []relay.Target {
	first := config.Range{First: 0, Last: 30}
	second := config.Range{First: 30, Last: 55}
	third := config.Range{First: 55, Last: 80}
	targets := placed("large", first, second, third, first, second)
	elsewhere := placed("middle", third)[0]
	elsewhere.ID, elsewhere.Address, elsewhere.Hall = "b-large-0", "b:80", "b"
	return append(targets, elsewhere)
}

// An engine that dies or moves in the middle of answers made all of them begin anew, with
// their prompts read by every stage again.
func TestALaterStageIsReplacedWithinItsHall(t *testing.T) {
	r, route := newRouter(nil)
	r.TakeTargets(twoOfEach())
	path := choose(t, r, ask(route), start)
	r.Begun(path)
	lost := path.Stages[1].Target
	next, ok := r.Substitute(path, []relay.TargetID{lost}, start)
	require.True(t, ok)
	requireWhole(t, next)
	require.Equal(t, path.First(), next.First())
	require.Equal(t, path.Stages[2], next.Stages[2])
	require.False(t, next.Passes(lost))
	require.Len(t, hallsOf(next), 1)

	r.Release(next, true)
	require.Empty(t, r.Own(), "what was counted on the stage before is given back")
}

func TestNoStageIsReplacedThatCannotBe(t *testing.T) {
	r, route := newRouter(nil)
	r.TakeTargets(twoOfEach())
	path := choose(t, r, ask(route), start)
	_, ok := r.Substitute(path, []relay.TargetID{path.First().Target}, start)
	require.False(t, ok, "the first stage has the connection")
	_, ok = r.Substitute(path, []relay.TargetID{path.Stages[2].Target}, start)
	require.False(t, ok, "only another hall has the layers")
	_, ok = r.Substitute(path, []relay.TargetID{"i-other"}, start)
	require.False(t, ok, "it is not on the path")
}

// What was refused by the engine counts where it was.
func TestARefusedReplacementIsUndone(t *testing.T) {
	r, route := newRouter(nil)
	r.TakeTargets(twoOfEach())
	path := choose(t, r, ask(route), start)
	r.Begun(path)
	before := r.Own()
	next, ok := r.Substitute(path, []relay.TargetID{path.Stages[1].Target}, start)
	require.True(t, ok)
	require.NotEqual(t, before, r.Own())
	r.Restore(next, path)
	require.Equal(t, before, r.Own())
}

func TestRequestsLeaveEnginesThatMove(t *testing.T) {
	r, route := newRouter(nil)
	r.TakeTargets(twoOfEach())
	path := choose(t, r, ask(route), start)
	_, moving := r.MovingOn(path)
	require.False(t, moving)
	r.TakeMarks(map[relay.TargetKey]relay.Mark{path.Stages[1].Target.Key(): relay.MarkMoving}, true)
	id, moving := r.MovingOn(path)
	require.True(t, moving)
	require.Equal(t, path.Stages[1].Target, id)
}

// A hall of engines that hold unlike ranges had no single one for a lost stage, and its
// answers stood still until they were cut.
func TestSeveralEnginesTakeThePlaceOfOne(t *testing.T) {
	r, route := newRouter(nil)
	first := config.Range{First: 0, Last: 30}
	lost := config.Range{First: 30, Last: 55}
	targets := placed("large", first, lost, config.Range{First: 55, Last: 80},
		config.Range{First: 25, Last: 40}, config.Range{First: 40, Last: 60})
	r.TakeTargets(targets)
	r.Failed(targets[3].ID, true, start)
	path := choose(t, r, ask(route), start)
	require.Equal(t, lost, path.Stages[1].Layers)
	later := start.Add(time.Second)
	next, ok := r.Substitute(path, []relay.TargetID{path.Stages[1].Target}, later)
	require.True(t, ok)
	requireWhole(t, next)
	require.Len(t, next.Stages, 4)
	require.Equal(t, path.First(), next.First())
	r.Release(next, false)
	require.Empty(t, r.Own())
}
