// Package clock tells the time by which promises to others are kept.
//
// A VM may be suspended for seconds. The kernel's steady clock, which Go's times and timers go
// by, stands meanwhile; everybody else's goes on. By it a leader that wakes up would still hold
// a lease that has run out, an entry VM would route by a configuration that was replaced, and a
// target would be given time that its caller no longer has. So every lease, fence and deadline
// that others count too is told by the times of this package: the steady clock, and the time
// that the VM was suspended since the process began.
//
// Whoever is about to act on a promise calls Sampled, which asks the kernel. Now adds what was
// sampled last, and costs no system call: the daemon samples with each event, of which there
// are some tens a second, and with each request that it takes.
//
// Waits go by Go's timers and sockets, which stand too: until is turned into one with Until,
// Socket or WithDeadline, and whoever wakes from it looks at the time again. Times of this
// package are compared with each other only. Their wall clock part is ahead by the suspensions.
//
// Limits: what is decided just before a suspension is done just after it; a target's own
// deadline, which came with the request, bounds that.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads the kernel's clocks: the steady one, which stands while the VM is suspended, and
// the one that goes on.
type Source func() (steady, boot time.Duration, err error)

// Kernel is the Source of this machine.
func Kernel() (steady, boot time.Duration, err error) {
	var s, b unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &s); err != nil {
		return 0, 0, fmt.Errorf("steady clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &b); err != nil {
		return 0, 0, fmt.Errorf("clock that counts suspensions: %w; suspensions are not noticed", err)
	}
	return time.Duration(s.Nano()), time.Duration(b.Nano()), nil
}

// shortest is the shortest suspension that counts. Two clocks are read one after the other, and
// this thread may wait between; leases have a margin for drift that is far larger.
const shortest = 10 * time.Millisecond

// Suspensions adds up the time for which a VM was suspended. Use NewSuspensions. It is safe for
// use by several goroutines at once.
type Suspensions struct {
	source Source
	// ahead is how far the clock that goes on was ahead at the beginning.
	ahead time.Duration
	total atomic.Int64
}

// NewSuspensions begins to count. Where the source can't be read, nothing is ever counted: the
// error says why.
func NewSuspensions(source Source) (*Suspensions, error) {
	s := &Suspensions{source: source}
	ahead, err := s.read()
	s.ahead = ahead
	return s, err
}

// read returns how far the clock that goes on is ahead of the steady one. Where this thread had
// to wait between the two, it reads again.
func (s *Suspensions) read() (time.Duration, error) {
	const tries = 3
	least := time.Duration(0)
	for i := range tries {
		before, boot, err := s.source()
		if err != nil {
			return 0, err
		}
		after, _, err := s.source()
		if err != nil {
			return 0, err
		}
		ahead := boot - before
		if i == 0 || ahead < least {
			least = ahead
		}
		if after-before < shortest/10 {
			break
		}
	}
	return least, nil
}

// Sample looks whether the VM was suspended, and returns the whole time that it was. What
// can't be read now was not.
func (s *Suspensions) Sample() time.Duration {
	ahead, err := s.read()
	if err != nil {
		return s.Total()
	}
	for {
		known := s.total.Load()
		found := int64(ahead - s.ahead)
		if found < known+int64(shortest) {
			return time.Duration(known)
		}
		if s.total.CompareAndSwap(known, found) {
			return time.Duration(found)
		}
	}
}

// Total returns the whole time that the VM was suspended, as sampled last.
func (s *Suspensions) Total() time.Duration { return time.Duration(s.total.Load()) }

// process counts for this process.
var process atomic.Pointer[Suspensions]

// processErr is why suspensions are not counted, nil where they are.
var processErr error

func init() {
	s, err := NewSuspensions(Kernel)
	process.Store(s)
	processErr = err
}

// Err returns why suspensions of this VM are not noticed, or nil.
func Err() error { return processErr }

// Use has this process count by other clocks until restore, for tests.
func Use(source Source) (restore func(), err error) {
	s, err := NewSuspensions(source)
	before := process.Swap(s)
	return func() { process.Store(before) }, err
}

// Now returns the time, by the suspensions that were sampled last.
func Now() time.Time { return time.Now().Add(process.Load().Total()) }

// Sampled returns the time, and looks whether the VM was suspended.
func Sampled() time.Time { return time.Now().Add(process.Load().Sample()) }

// Suspended returns the whole time that this VM was suspended since the process began, as
// sampled last.
func Suspended() time.Duration { return process.Load().Total() }

// Since returns the time since a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Socket returns a time of this package as sockets and timers of this process count.
func Socket(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Now().Add(Until(t))
}

// WithDeadline returns a context that ends at a time of this package, or later by a suspension
// that begins after this.
func WithDeadline(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, Socket(until))
}
