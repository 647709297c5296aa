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

// suspendableClock simulates the clocks of a VM that a test suspends.
type suspendableClock struct{ suspended time.Duration }

// newSuspendableClock makes this process use a suspendableClock until the test ends.
func newSuspendableClock(t *testing.T) *suspendableClock {
	t.Helper()
	s := &suspendableClock{}
	began := time.Now()
	restore, err := clock.SetSource(func() (steady, boot time.Duration, err error) {
		steady = time.Since(began)
		return steady, steady + s.suspended, nil
	})
	require.NoError(t, err)
	t.Cleanup(restore)
	return s
}

// Guards against using a lease, or a configuration, that expired while the VM was suspended:
// Go's monotonic clock stops during suspension.
func TestSuspendedVMRefusesRequestsAfterLeaseExpiry(t *testing.T) {
	s := newSuspendableClock(t)
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.True(t, g.Ready())
	require.Equal(t, http.StatusOK, ask(t, g))
	s.suspended = 2 * time.Hour
	require.False(t, g.Ready())
	require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	require.EqualValues(t, 1, w.ran.Load())
}

// A request whose deadline passes during a suspension is not sent to a target.
func TestRequestIsNotSentAfterDeadlineDuringSuspension(t *testing.T) {
	s := newSuspendableClock(t)
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	now := clock.Now()
	s.suspended = time.Minute
	status := askCall(t, g, &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(5 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: "h"})
	require.NotEqual(t, http.StatusOK, status)
	require.Zero(t, w.ran.Load())
}
