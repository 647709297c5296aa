package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/clock/clocktest"
)

func TestStepsOfTimeOfDayAreNoticedOnce(t *testing.T) {
	now := time.Now()
	m := clock.NewStepMeter(now)
	require.Zero(t, m.Check(now.Add(time.Hour)))
	ahead := clocktest.Stepped(now.Add(2*time.Hour), 2)
	require.Equal(t, 2*time.Second, m.Check(ahead))
	require.Zero(t, m.Check(ahead.Add(time.Minute)))
	require.Equal(t, -2*time.Second, m.Check(now.Add(3*time.Hour)))
	require.Equal(t, clock.InstantOf(now.Add(time.Hour)), clock.InstantOf(clocktest.Stepped(now.Add(time.Hour), -3600)))
}
