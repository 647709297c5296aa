package daemon

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// entrance watches whether callers' connections are taken: a VM that has no descriptors left
// takes none, and must not say that it is ready. The zero value is open.
type entrance struct {
	// closedUntil is when to count as open again, in Unix nanoseconds.
	closedUntil atomic.Int64
}

// closedFor is how long a VM isn't ready after a connection that it could not take. The HTTP
// server tries again after a second at the most; the next failure comes before this is over.
const closedFor = 1500 * time.Millisecond

// open reports whether connections are taken.
func (e *entrance) open(now time.Time) bool { return now.UnixNano() >= e.closedUntil.Load() }

// over returns a listener whose connections are counted.
func (e *entrance) over(l net.Listener, meter *gatewayMetrics) net.Listener {
	return &watchedListener{Listener: l, entrance: e, meter: meter}
}

type watchedListener struct {
	net.Listener
	entrance *entrance
	meter    *gatewayMetrics
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		return nil, err // the VM stops
	}
	if err != nil {
		l.entrance.closedUntil.Store(time.Now().Add(closedFor).UnixNano())
	}
	l.meter.accepted(err == nil)
	return conn, err
}
