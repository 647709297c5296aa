package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// countNotes returns the number of log lines that contain a text.
func (f *engineFleet) countNotes(text string) int {
	count := 0
	for _, n := range f.notes {
		if strings.Contains(n.Text, text) {
			count++
		}
	}
	return count
}

// The leader logs the inputs and the capacity of each plan once, and its status reports the
// capacity of the held layers.
func TestLeaderLogsEachPlanOnce(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 90)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	f.until("all engines hold layers", 30*time.Second, f.loaded)
	f.run(2 * time.Second)
	require.Equal(t, 1, f.countNotes("plan for 9 a100, 54 l4, 27 l40s: "))
	status := f.nodes[f.leader()].Status()
	require.Positive(t, status.PlanAnswers)
	require.Positive(t, status.PlanRate)
}

// A document with an invalid cost model is logged once with its field. The engines keep their
// layers, and the next valid document is planned with.
func TestInvalidCostModelIsLoggedOnceAndKeepsPlacement(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 90)
	f.decode = func(text []byte) (*relay.Document, error) {
		d, err := fullDocument(text)
		e := d.Services[0].Engine
		e.ReadPerSecond, e.StepBase = 196000, time.Millisecond
		if string(text) == "text 2" {
			e.LayerBytes = 0
		}
		return d, err
	}
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	f.until("all engines hold layers", 30*time.Second, f.loaded)
	require.Zero(t, f.countNotes("can't be planned with"))
	held := make(map[relay.TargetID]config.Range)
	for _, id := range f.ids {
		held[id] = f.engines[id].target.Layers
	}
	loads := f.loads
	f.put(2)
	f.run(5 * time.Second)
	require.Equal(t, 1, f.countNotes("can't be planned with as it is: engine of model : size of a layer: is not above 0"))
	require.Equal(t, loads, f.loads)
	for _, id := range f.ids {
		require.Equal(t, held[id], f.engines[id].target.Layers, id)
	}
	f.engines[f.ids[0]].target.Layers = config.Range{}
	f.put(3)
	f.run(5 * time.Second)
	require.Greater(t, f.loads, loads, "planning resumes with the valid document")
	require.Equal(t, 1, f.countNotes("can't be planned with"))
}
