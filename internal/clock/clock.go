// Package clock provides a monotonic clock that includes the time for which the VM was suspended.
//
// A VM may be suspended for seconds. CLOCK_MONOTONIC, on which Go's times and timers are based,
// stops meanwhile, while the clocks of other VMs go on. By that clock, a leader that resumes would
// still hold a lease that has expired, an entry VM would route by a configuration that was
// replaced, and a target would be given time that its caller no longer has. So every lease, fence
// and deadline that other processes rely on uses the times of this package: the monotonic time
// plus the time that the VM was suspended since the process started.
//
// Code that is about to act under a lease, fence or deadline calls SampleNow, which reads the
// kernel's clocks. Now adds the suspensions that were sampled last, and makes no system call for
// them: the daemon samples with each event, some tens a second, and with each request that it
// accepts.
//
// Go's timers and sockets stop during a suspension, too. Until, ToRuntime and WithDeadline convert
// a time of this package for them, and code that wakes up from such a wait must check the time again.
// Times of this package may only be compared with each other; their wall clock part is ahead by
// the suspensions.
//
// Limits: an action that was decided just before a suspension is carried out just after it. The
// target's own deadline, which is sent with the request, bounds its effect.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads the kernel's clocks: the monotonic one, which stops while the VM is suspended, and
// the boot-time clock, which does not.
type Source func() (monotonic, boot time.Duration, err error)

// KernelClocks is the Source that reads this VM's clocks.
func KernelClocks() (monotonic, boot time.Duration, err error) {
	var s, b unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &s); err != nil {
		return 0, 0, fmt.Errorf("monotonic clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &b); err != nil {
		return 0, 0, fmt.Errorf("boot-time clock: %w; suspensions are not detected", err)
	}
	return time.Duration(s.Nano()), time.Duration(b.Nano()), nil
}

// minSuspension is the shortest suspension that is counted. The two clocks are read one after the
// other, and the thread may be preempted in between; the drift margin of leases is far larger.
const minSuspension = 10 * time.Millisecond

// Suspensions sums up the time for which a VM was suspended. Create it with NewSuspensions. It is
// safe for concurrent use.
type Suspensions struct {
	source Source
	// initialOffset is how far the boot-time clock was ahead of the monotonic one at the start.
	initialOffset time.Duration
	total         atomic.Int64
}

// NewSuspensions starts counting. It returns the error if the source can't be read; nothing is
// counted while that lasts.
func NewSuspensions(source Source) (*Suspensions, error) {
	s := &Suspensions{source: source}
	offset, err := s.read()
	s.initialOffset = offset
	return s, err
}

// read returns how far the boot-time clock is ahead of the monotonic one. It reads again if the
// thread was preempted between the two clocks.
func (s *Suspensions) read() (time.Duration, error) {
	const tries = 3
	smallest := time.Duration(0)
	for i := range tries {
		before, boot, err := s.source()
		if err != nil {
			return 0, err
		}
		after, _, err := s.source()
		if err != nil {
			return 0, err
		}
		offset := boot - before
		if i == 0 || offset < smallest {
			smallest = offset
		}
		if after-before < minSuspension/10 {
			break
		}
	}
	return smallest, nil
}

// Sample checks whether the VM was suspended since the last call, and returns the total time of
// suspension. If the clocks can't be read, it returns the total as sampled last.
func (s *Suspensions) Sample() time.Duration {
	offset, err := s.read()
	if err != nil {
		return s.Total()
	}
	for {
		known := s.total.Load()
		found := int64(offset - s.initialOffset)
		if found < known+int64(minSuspension) {
			return time.Duration(known)
		}
		if s.total.CompareAndSwap(known, found) {
			return time.Duration(found)
		}
	}
}

// Total returns the total time of suspension, as sampled last.
func (s *Suspensions) Total() time.Duration { return time.Duration(s.total.Load()) }

// processSuspensions counts the suspensions of this process.
var processSuspensions atomic.Pointer[Suspensions]

// detectionErr is why suspensions can't be counted, or nil.
var detectionErr error

func init() {
	s, err := NewSuspensions(KernelClocks)
	processSuspensions.Store(s)
	detectionErr = err
}

// Err returns why suspensions of this VM can't be detected, or nil.
func Err() error { return detectionErr }

// SetSource makes this process read other clocks until restore is called, for tests.
func SetSource(source Source) (restore func(), err error) {
	s, err := NewSuspensions(source)
	before := processSuspensions.Swap(s)
	return func() { processSuspensions.Store(before) }, err
}

// Now returns the time, including the suspensions that were sampled last.
func Now() time.Time { return time.Now().Add(processSuspensions.Load().Total()) }

// SampleNow returns the time, after it has checked whether the VM was suspended.
func SampleNow() time.Time { return time.Now().Add(processSuspensions.Load().Sample()) }

// Suspended returns the total time that this VM was suspended since the process started, as
// sampled last.
func Suspended() time.Duration { return processSuspensions.Load().Total() }

// Since returns the time elapsed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// ToRuntime converts a time of this package to a deadline for Go's sockets and timers.
func ToRuntime(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Now().Add(Until(t))
}

// WithDeadline returns a context that ends at a time of this package, or later by the length of
// any suspension that begins after this call.
func WithDeadline(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, ToRuntime(until))
}
