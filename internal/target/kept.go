package target

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file detects reused connections to targets that have fallen silent.
//
// A connection that was idle is suspect: nothing shows that bytes still pass. A request on it
// that has received no byte for longer than answers usually take is sent again on a new
// connection, if it may be repeated. The target itself counts as failed only if the new
// connection is silent too.

// ErrReusedSilent is wrapped by errors of requests that received no byte in time on a reused
// connection. Do returns it together with ErrStale.
var ErrReusedSilent = errors.New("kept connection is silent")

// maxConcurrentRedials bounds concurrent dials that replace silent connections: a VM has some 100
// exchanges open, which are all found silent within one or two waits, and a dial takes a few
// milliseconds.
const maxConcurrentRedials = 16

// FirstByteWait bounds the wait for the first byte on a reused connection.
type FirstByteWait struct {
	// Timeout is the wait before ShouldAbandon is called, once; zero waits without limit.
	Timeout time.Duration
	// ShouldAbandon reports whether to abandon the connection because the request may be sent again.
	ShouldAbandon func() bool
}

// boundsFirstByte reports whether the wait for the first byte is bounded by FirstByteWait.
func (l *link) boundsFirstByte() bool {
	return l.reused && !l.answered && l.request != nil && l.request.FirstByte.Timeout > 0
}

// readFirstBytes reads the first bytes of an answer on a reused connection.
func (l *link) readFirstBytes(p []byte) (int, error) {
	wait := l.request.FirstByte
	if err := l.Conn.SetReadDeadline(clock.ToRuntime(l.sentAt.Add(wait.Timeout))); err != nil {
		return 0, err
	}
	n, err := l.Conn.Read(p)
	l.answered = n > 0
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if timedOut && wait.ShouldAbandon() {
		return 0, ErrReusedSilent
	}
	l.request.FirstByte = FirstByteWait{}
	if err := l.Conn.SetReadDeadline(time.Time{}); err != nil {
		return n, err
	}
	if timedOut {
		return l.Read(p)
	}
	return n, err
}

// acquireFor returns a connection for a request. Concurrent dials that replace silent connections
// are limited to maxConcurrentRedials.
func (x *Exchanger) acquireFor(ctx context.Context, address string, r *Request) (*link, error) {
	if !r.Redial {
		return x.acquire(ctx, address, r.NewConn)
	}
	select {
	case x.redialSlots <- struct{}{}:
		defer func() { <-x.redialSlots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return x.acquire(ctx, address, r.NewConn)
}

// CloseIdleSince closes the idle connections to an address that have received no byte since a time,
// because one that was idle as long was found silent. It returns how many it closed.
func (x *Exchanger) CloseIdleSince(address string, since time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := x.idle[address]
	live := conns[:0]
	for _, l := range conns {
		if l.lastUsedAt.Before(since) {
			l.Conn.Close()
			continue
		}
		live = append(live, l)
	}
	closed := len(conns) - len(live)
	x.idle[address] = live
	if len(live) == 0 {
		delete(x.idle, address)
	}
	return closed
}
