package daemon_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// reportingEngines answer by their address.
type reportingEngines map[string]func(ctx context.Context) (daemon.EngineReport, error)

func (e reportingEngines) Order(context.Context, core.OrderLayers) (core.OrderOutcome, relay.Notice) {
	return core.OrderRefused, relay.Notice{}
}

func (e reportingEngines) Repath(context.Context, string, relay.Path) (relay.Notice, error) {
	return relay.Notice{}, nil
}

func (e reportingEngines) Report(ctx context.Context, engine relay.Stage) (daemon.EngineReport, error) {
	return e[engine.Address](ctx)
}

func after(wait time.Duration, r daemon.EngineReport, err error) func(ctx context.Context) (daemon.EngineReport, error) {
	return func(ctx context.Context) (daemon.EngineReport, error) {
		select {
		case <-time.After(wait):
			return r, err
		case <-ctx.Done():
			return daemon.EngineReport{}, errors.Join(daemon.ErrEngineSilent, ctx.Err())
		}
	}
}

func pathOver(addresses ...string) relay.Path {
	var p relay.Path
	for _, a := range addresses {
		p.Stages = append(p.Stages, relay.Stage{Target: relay.TargetID("i-" + a), Address: a})
	}
	return p
}

// A partitioned engine does not answer, and one whose process died refuses the connection. Any
// answer, also a failure, proves that the engine is alive.
func TestUnresponsiveEnginesAreLost(t *testing.T) {
	engines := reportingEngines{
		"well":    after(2*time.Millisecond, daemon.EngineReport{Pace: 1}, nil),
		"slow":    after(3*time.Millisecond, daemon.EngineReport{Pace: 12}, nil),
		"failing": after(2*time.Millisecond, daemon.EngineReport{}, errors.New("status 500")),
		"refuses": after(time.Millisecond, daemon.EngineReport{}, daemon.ErrEngineSilent),
		"cut off": after(time.Hour, daemon.EngineReport{}, nil),
	}
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		silent, paces, certain := daemon.ProbeEngines(t.Context(), engines, pathOver("well", "slow", "failing", "refuses", "cut off"))
		require.True(t, certain)
		require.Equal(t, []relay.TargetID{"i-refuses", "i-cut off"}, silent)
		require.Equal(t, map[relay.TargetID]float64{"i-well": 1, "i-slow": 12}, paces)
		require.LessOrEqual(t, time.Since(began), 20*time.Millisecond)
		time.Sleep(time.Second) // the probe of the partitioned engine ends
	})
}

// Where no engine answers, this VM is the one that is partitioned.
func TestNoLossIsCertainWithoutAnyAnswer(t *testing.T) {
	engines := reportingEngines{"a": after(time.Hour, daemon.EngineReport{}, nil), "b": after(time.Hour, daemon.EngineReport{}, nil)}
	synctest.Test(t, func(t *testing.T) {
		_, _, certain := daemon.ProbeEngines(t.Context(), engines, pathOver("a", "b"))
		require.False(t, certain)
		time.Sleep(time.Second)
	})
}
