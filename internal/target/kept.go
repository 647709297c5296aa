package target

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file leaves connections to targets that have fallen silent.
//
// A kept connection is the one in doubt: it has rested, and nothing says that bytes still
// pass. A request on it that has had no byte for longer than answers take is asked again on
// a new connection, where it may be; the target itself is not at fault until that one is
// silent too.

// ErrKeptSilent is the kind of errors for requests on a kept connection that brought no
// byte in time. It comes with ErrStale.
var ErrKeptSilent = errors.New("kept connection is silent")

// redialsAtOnce bounds the connections that are made at once in the place of silent ones: a
// VM has some 100 exchanges open, which are all found within one or two pauses, and a new
// connection takes a few milliseconds.
const redialsAtOnce = 16

// KeptWait bounds the wait for the first byte on a kept connection.
type KeptWait struct {
	// For is how long is waited before Leave is asked, once; zero waits without end.
	For time.Duration
	// Leave reports whether to give the connection up: the request may be sent again.
	Leave func() bool
}

// waitsKept reports whether the first byte on a kept connection is waited for with a bound.
func (l *link) waitsKept() bool {
	return l.reused && !l.answered && l.request != nil && l.request.Kept.For > 0
}

// readKept reads the first bytes on a kept connection.
func (l *link) readKept(p []byte) (int, error) {
	wait := l.request.Kept
	if err := l.Conn.SetReadDeadline(clock.Socket(l.sentAt.Add(wait.For))); err != nil {
		return 0, err
	}
	n, err := l.Conn.Read(p)
	l.answered = n > 0
	var late net.Error
	timedOut := errors.As(err, &late) && late.Timeout()
	if timedOut && wait.Leave() {
		return 0, ErrKeptSilent
	}
	l.request.Kept = KeptWait{}
	if err := l.Conn.SetReadDeadline(time.Time{}); err != nil {
		return n, err
	}
	if timedOut {
		return l.Read(p)
	}
	return n, err
}

// takeFor returns a connection for a request. Those that take the place of silent ones are
// made a few at once.
func (x *Exchanger) takeFor(ctx context.Context, address string, r *Request) (*link, error) {
	if !r.Again {
		return x.take(ctx, address, r.Fresh)
	}
	select {
	case x.redials <- struct{}{}:
		defer func() { <-x.redials }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return x.take(ctx, address, r.Fresh)
}

// Void closes the kept connections to an address that have had no byte since a time: one
// of their age was found silent. It returns how many those were.
func (x *Exchanger) Void(address string, since time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := x.idle[address]
	live := kept[:0]
	for _, l := range kept {
		if l.heardAt.Before(since) {
			l.Conn.Close()
			continue
		}
		live = append(live, l)
	}
	voided := len(kept) - len(live)
	x.idle[address] = live
	if len(live) == 0 {
		delete(x.idle, address)
	}
	return voided
}
