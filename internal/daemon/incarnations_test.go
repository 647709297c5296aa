package daemon_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Guards against counting an engine as alive that answers with another incarnation: it has
// restarted and lost its requests.
func TestAnswerOfAnotherIncarnationIsALostEngine(t *testing.T) {
	engines := reportingEngines{
		"well":    after(time.Millisecond, daemon.EngineReport{Pace: 1, StartMillis: 100}, nil),
		"untold":  after(time.Millisecond, daemon.EngineReport{Pace: 1}, nil),
		"another": after(time.Millisecond, daemon.EngineReport{Pace: 12, StartMillis: 200}, nil),
	}
	path := relay.Path{}
	for _, a := range []string{"well", "untold", "another"} {
		path.Stages = append(path.Stages, relay.Stage{Target: relay.NewTargetID("i-"+a, 100), Address: a})
	}
	synctest.Test(t, func(t *testing.T) {
		silent, paces, certain := daemon.ProbeEngines(t.Context(), engines, path)
		require.True(t, certain)
		require.Equal(t, []relay.TargetID{relay.NewTargetID("i-another", 100)}, silent)
		require.Len(t, paces, 2)
	})
}

// An exchange is canceled when its incarnation of a target ends, and by no other.
func TestExchangesEndWithTheirIncarnation(t *testing.T) {
	old, next := relay.NewTargetID("i-1", 100), relay.NewTargetID("i-1", 200)
	x := daemon.NewExchanges()
	lost, over := x.Track(t.Context(), old)
	defer over()
	done, doneOver := x.Track(t.Context(), old)
	doneOver()
	kept, keptOver := x.Track(t.Context(), next)
	defer keptOver()
	require.Equal(t, 1, x.CancelAll(old))
	require.ErrorContains(t, context.Cause(lost), "started again")
	require.NotContains(t, context.Cause(done).Error(), "started again")
	require.NoError(t, kept.Err())
	over()
	require.Zero(t, x.CancelAll(old))
}
