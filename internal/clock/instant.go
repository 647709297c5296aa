package clock

import "time"

// Instant is a point on the monotonic clock of this process, which includes suspensions. Unlike a
// time.Time, it has no time of day: setting the clock of the VM does not move it, and it has no
// meaning to another process. Windows and their buckets are computed from instants.
type Instant struct{ sinceOrigin time.Duration }

// origin is the time that instants count from: a full hour by the time of day at the start of the
// process, so that intervals of times without a monotonic reading begin at full hours.
var origin = lastHour(time.Now())

func lastHour(t time.Time) time.Time { return t.Add(-t.Sub(t.Truncate(time.Hour))) }

// InstantOf returns the instant of a time of this package.
func InstantOf(t time.Time) Instant { return Instant{sinceOrigin: t.Sub(origin)} }

// NowInstant returns the present instant.
func NowInstant() Instant { return InstantOf(Now()) }

// Add returns the instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return Instant{sinceOrigin: i.sinceOrigin + d} }

// Sub returns the duration from another instant to this one.
func (i Instant) Sub(o Instant) time.Duration { return i.sinceOrigin - o.sinceOrigin }

// Before reports whether this instant is earlier than another one.
func (i Instant) Before(o Instant) bool { return i.sinceOrigin < o.sinceOrigin }

// Interval returns the number of the interval of a length that contains the instant. Numbers of
// intervals before the start of the process are negative.
func (i Instant) Interval(length time.Duration) int64 {
	n := int64(i.sinceOrigin / length)
	if i.sinceOrigin < 0 && i.sinceOrigin%length != 0 {
		n--
	}
	return n
}

// IntervalStart returns the start of the interval of a length with a number.
func IntervalStart(n int64, length time.Duration) Instant {
	return Instant{sinceOrigin: time.Duration(n) * length}
}
