package clock_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// machine is a VM whose clocks a test sets.
type machine struct {
	steady, boot time.Duration
	// wait is how long the thread waits between the two clocks at the next reading.
	wait time.Duration
	err  error
}

func (m *machine) read() (steady, boot time.Duration, err error) {
	steady = m.steady
	m.steady += m.wait
	m.boot += m.wait
	m.wait = 0
	return steady, m.boot, m.err
}

func TestSuspensionsAddUp(t *testing.T) {
	m := &machine{steady: time.Hour, boot: 3 * time.Hour}
	s, err := clock.NewSuspensions(m.read)
	require.NoError(t, err)
	require.Zero(t, s.Sample(), "what was before the process counts for nothing")
	m.steady += time.Minute
	m.boot += time.Minute
	require.Zero(t, s.Sample())
	m.boot += 5 * time.Second
	require.Zero(t, s.Total(), "not sampled yet")
	require.Equal(t, 5*time.Second, s.Sample())
	m.boot += 2 * time.Second
	require.Equal(t, 7*time.Second, s.Sample())
	m.boot += time.Millisecond
	require.Equal(t, 7*time.Second, s.Sample(), "too short to count")
}

func TestAThreadThatWaitsBetweenTheClocksIsNotSuspended(t *testing.T) {
	m := &machine{}
	s, err := clock.NewSuspensions(m.read)
	require.NoError(t, err)
	m.wait = 300 * time.Millisecond
	require.Zero(t, s.Sample())
}

func TestClocksThatCannotBeReadCountNothing(t *testing.T) {
	m := &machine{err: errors.New("none")}
	s, err := clock.NewSuspensions(m.read)
	require.Error(t, err)
	m.boot += time.Hour
	require.Zero(t, s.Sample())
}

// A lease that ran out during a suspension has run out for the VM that wakes up, although Go's
// clock stood still.
func TestALeaseRunsOutDuringASuspension(t *testing.T) {
	m := &machine{}
	restore, err := clock.Use(m.read)
	require.NoError(t, err)
	defer restore()
	until := clock.Sampled().Add(3 * time.Second)
	require.True(t, clock.Now().Before(until))
	m.boot += 4 * time.Second
	require.False(t, clock.Sampled().Before(until))
	require.False(t, clock.Now().Before(until), "and for all who look after that")
	require.Negative(t, clock.Until(until))
	require.False(t, clock.Socket(until).After(time.Now()))
	ctx, cancel := clock.WithDeadline(t.Context(), until)
	defer cancel()
	require.Error(t, ctx.Err())
}

func TestThisMachineHasBothClocks(t *testing.T) {
	require.NoError(t, clock.Err())
}
