package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock"
)

func TestInstantIntervals(t *testing.T) {
	now := clock.Now()
	const length = 200 * time.Millisecond
	for _, ahead := range []time.Duration{-time.Hour, -length, -1, 0, 1, length, time.Hour + 1} {
		i := clock.InstantOf(now.Add(ahead))
		n := i.Interval(length)
		begins := clock.IntervalStart(n, length)
		require.False(t, i.Before(begins))
		require.True(t, i.Before(begins.Add(length)))
		require.Equal(t, n+1, i.Add(length).Interval(length))
		require.Equal(t, ahead, i.Sub(clock.InstantOf(now)))
	}
}
