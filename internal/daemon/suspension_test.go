package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// suspendable is the clocks of a VM that a test suspends.
type suspendableClock struct{ ahead time.Duration }

// newSuspendable has this process count by these clocks until the test ends.
func newSuspendable(t *testing.T) *suspendableClock {
	t.Helper()
	s := &suspendableClock{}
	began := time.Now()
	restore, err := clock.Use(func() (steady, boot time.Duration, err error) {
		steady = time.Since(began)
		return steady, steady + s.ahead, nil
	})
	require.NoError(t, err)
	t.Cleanup(restore)
	return s
}

// A VM that wakes up goes by a lease, and by a configuration, that ran out while it was
// suspended: Go's clock stood still.
func TestAVMThatWasSuspendedTakesNothingByItsOldLease(t *testing.T) {
	s := newSuspendable(t)
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.True(t, g.Ready())
	require.Equal(t, http.StatusOK, ask(t, g))
	s.ahead = 2 * time.Hour
	require.False(t, g.Ready())
	require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	require.EqualValues(t, 1, w.ran.Load())
}

// A target is given no time that the request's caller no longer has.
func TestARequestWhoseTimeEndsInASuspensionIsSentToNobody(t *testing.T) {
	s := newSuspendable(t)
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	now := clock.Now()
	s.ahead = time.Minute
	status := askCall(t, g, &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(5 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: "h"})
	require.NotEqual(t, http.StatusOK, status)
	require.Zero(t, w.ran.Load())
}
