package daemon

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// acceptHealth tracks whether callers' connections are accepted: a VM without free file
// descriptors accepts none, and must not report itself ready. The zero value is healthy.
type acceptHealth struct {
	// failingUntil is when to count as healthy again, or nil.
	failingUntil atomic.Pointer[clock.Instant]
}

// acceptFailureHold is how long a VM isn't ready after a failed accept. The HTTP server
// retries after a second at the most, so the next failure comes before this time is over.
const acceptFailureHold = 1500 * time.Millisecond

// healthy reports whether connections are accepted.
func (e *acceptHealth) healthy(now clock.Instant) bool {
	until := e.failingUntil.Load()
	return until == nil || !now.Before(*until)
}

// wrap returns a listener that counts its connections.
func (e *acceptHealth) wrap(l net.Listener, meter *gatewayMetrics) net.Listener {
	return &monitoredListener{Listener: l, health: e, meter: meter}
}

type monitoredListener struct {
	net.Listener
	health *acceptHealth
	meter  *gatewayMetrics
}

// Accept implements net.Listener.
func (l *monitoredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		return nil, err // the VM is stopping
	}
	if err != nil {
		until := clock.NowInstant().Add(acceptFailureHold)
		l.health.failingUntil.Store(&until)
	}
	l.meter.accepted(err == nil)
	return conn, err
}
