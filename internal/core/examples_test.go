package core_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
	"github.com/spoolbank/spoolbank/query"
)

// The declarations of both example deployments must be accepted, and the planner must
// form chains from them that reach 0.8 of the bound.
func TestExampleDeclarations(t *testing.T) {
	tests := []struct{ file, model string }{
		{"../../examples/suva/declare.txt", "scribe"},
		{"../../examples/attica/declare.txt", "spool-model"},
	}
	for _, test := range tests {
		t.Run(test.model, func(t *testing.T) {
			text, err := os.ReadFile(test.file)
			require.NoError(t, err)
			r, _ := newLeaderRig(t, 0, 1)
			for i, line := range strings.Split("remove pipeline p\n"+string(text), "\n") {
				if line == "" || strings.HasPrefix(line, "#") {
					continue
				}
				statement, err := query.Parse(line)
				require.NoError(t, err, line)
				r.lead(core.Operated{Conn: core.ConnID(i + 1), Statement: statement, Operator: "op", Number: uint64(i + 1), Digest: line})
				require.Equal(t, core.ResultAccepted, r.result.Kind, "%s: %s", line, r.result.Message)
			}
			state := withReadyPlacements(t, r.node.Dump().Config)
			require.Equal(t, 43, state.Targets.Len()-1, "forty engines and three runners, in addition to the rig's own")
			var rate float64
			for _, c := range plan.Chains(state, test.model, "v1") {
				rate += c.Rate
			}
			require.Greater(t, rate, 0.8*boundOf(state))
		})
	}
}

// withReadyPlacements applies the planner's placements, as if the engines had loaded them.
func withReadyPlacements(t *testing.T, s config.State) config.State {
	changes := plan.Changes(s)
	for _, p := range s.Placements.Sorted() {
		ready := p.WithReady()
		changes = append([]config.Change{{Place: &ready}}, changes...)
	}
	for i := range changes {
		if changes[i].Place != nil {
			ready := changes[i].Place.WithReady()
			changes[i].Place = &ready
		}
	}
	next, err := s.Apply(s.Revision+1, changes)
	require.NoError(t, err)
	return next
}

func boundOf(s config.State) float64 {
	var stages []plan.Stage
	for _, target := range s.Targets.Sorted() {
		if target.IsEngine() {
			stages = append(stages, plan.Stage{Target: target.Name, Speed: target.Speed})
		}
	}
	return plan.Bound(32, stages)
}
