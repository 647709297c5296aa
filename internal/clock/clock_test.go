package clock_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// fakeClocks simulates the clocks of a VM.
type fakeClocks struct {
	monotonic, boot time.Duration
	// preempted is how long the thread is preempted between the two clocks at the next reading.
	preempted time.Duration
	err       error
}

func (m *fakeClocks) read() (monotonic, boot time.Duration, err error) {
	monotonic = m.monotonic
	m.monotonic += m.preempted
	m.boot += m.preempted
	m.preempted = 0
	return monotonic, m.boot, m.err
}

func TestSuspensionsAddUp(t *testing.T) {
	m := &fakeClocks{monotonic: time.Hour, boot: 3 * time.Hour}
	s, err := clock.NewSuspensions(m.read)
	require.NoError(t, err)
	require.Zero(t, s.Sample(), "suspensions before the process started are not counted")
	m.monotonic += time.Minute
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

func TestPreemptionBetweenClocksIsNoSuspension(t *testing.T) {
	m := &fakeClocks{}
	s, err := clock.NewSuspensions(m.read)
	require.NoError(t, err)
	m.preempted = 300 * time.Millisecond
	require.Zero(t, s.Sample())
}

func TestUnreadableClocksCountNothing(t *testing.T) {
	m := &fakeClocks{err: errors.New("none")}
	s, err := clock.NewSuspensions(m.read)
	require.Error(t, err)
	m.boot += time.Hour
	require.Zero(t, s.Sample())
}

// A lease that expires during a suspension has expired for the resumed VM, although Go's
// monotonic clock was stopped.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	m := &fakeClocks{}
	restore, err := clock.SetSource(m.read)
	require.NoError(t, err)
	defer restore()
	until := clock.SampleNow().Add(3 * time.Second)
	require.True(t, clock.Now().Before(until))
	m.boot += 4 * time.Second
	require.False(t, clock.SampleNow().Before(until))
	require.False(t, clock.Now().Before(until), "Now must include the suspension that Sampled found")
	require.Negative(t, clock.Until(until))
	require.False(t, clock.ToRuntime(until).After(time.Now()))
	ctx, cancel := clock.WithDeadline(t.Context(), until)
	defer cancel()
	require.Error(t, ctx.Err())
}

func TestVMHasBothClocks(t *testing.T) {
	require.NoError(t, clock.Err())
}
