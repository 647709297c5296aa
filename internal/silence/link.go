// Package silence detects connections that have fallen silent: bytes are sent, none is received,
// and no error is ever reported. It reads no clock and opens no connection.
//
// Problem: the kernel can't detect this. A middlebox may acknowledge bytes that it drops, and an
// end that waits to read sends nothing that could remain unacknowledged.
//
// Algorithm: each message carries a sequence number, and the other end's next message carries the
// last number that it has received, on whichever connection it is sent. While acknowledgements
// arrive, nothing is sent for this purpose alone. When none has arrived for longer than usual, one
// probe is sent, which the other end answers at once on the same connection; if no answer arrives
// in time, the connection is silent. It is then replaced, and the wait for an answer doubles with
// each connection that was silent, up to half the bound.
//
// Invariants: an idle link is never found silent and costs nothing; a connection is found silent
// within the bound after the first message that was lost on it.
package silence

import "time"

const (
	// minProbeDelay is the shortest wait before a probe is sent, and minProbeTimeout the
	// shortest wait for its answer: a process that shares its cores may wake up some 50 ms
	// late. Their sum is less than the 0.5 s after which a follower starts an election.
	minProbeDelay   = 100 * time.Millisecond
	minProbeTimeout = 200 * time.Millisecond
	// meanGain and deviationGain are the weights of the newest round trip, as in TCP (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is how many mean deviations above the mean a round trip may take.
	deviationFactor = 4
	// probeDelayGrowth is the factor by which an answered probe lengthens the wait before the next:
	// the other end sends less often than that. An acknowledgement within less than half of
	// the wait shortens it by 1/probeDelayDecay.
	probeDelayGrowth = 2
	probeDelayDecay  = 16
	// maxCheckDelay is how late a check may run and still conclude that the connection is silent:
	// after that the answer may be received but not yet read. An idle process checks every
	// 100 ms.
	maxCheckDelay = 150 * time.Millisecond
	// maxLateChecks bounds how many late checks in a row are excused.
	maxLateChecks = 2
)

// RTT estimates round-trip times. The zero value has no samples.
type RTT struct{ mean, deviation float64 }

// With returns the estimate updated with a round trip.
func (t RTT) With(trip time.Duration) RTT {
	value := float64(trip)
	if t.mean == 0 {
		return RTT{mean: value, deviation: value / 2}
	}
	deviation := max(value-t.mean, t.mean-value)
	return RTT{mean: t.mean + meanGain*(value-t.mean), deviation: t.deviation + deviationGain*(deviation-t.deviation)}
}

// Usual returns the time of a usual round trip: the mean and one deviation, or 0 without samples.
func (t RTT) Usual() time.Duration { return time.Duration(t.mean + t.deviation) }

// Timeout returns the time within which nearly all round trips end, clamped to two bounds.
func (t RTT) Timeout(least, most time.Duration) time.Duration {
	return min(max(time.Duration(t.mean+deviationFactor*t.deviation), least), most)
}

// Action is what the caller must do about a link.
type Action int

const (
	// NoAction means that the link needs no action.
	NoAction Action = iota
	// SendProbe means that a probe must be sent, which the other end answers at once.
	SendProbe
	// ConnSilent means that the connection is silent.
	ConnSilent
)

// Link is the sending end of a link, across all its successive connections.
type Link struct {
	bound time.Duration
	// roundTrips estimates the round trips of probes.
	roundTrips RTT
	// probeDelay is how long a message may be unacknowledged before a probe is sent.
	probeDelay time.Duration
	// sent is the last number sent, acked the last one that was acknowledged.
	sent, acked uint64
	// unackedSince is since when a message has been unacknowledged; zero if none is.
	unackedSince time.Time
	// probedAt is when the outstanding probe was sent; zero if there is none.
	probedAt time.Time
	// lateChecks counts the checks in a row that ran too late to conclude anything.
	lateChecks int
	// silentConns counts the connections found silent since the last acknowledgement.
	silentConns int
	// acknowledges is set if the other end has sent an acknowledgement at least once: one that
	// never does is not judged.
	acknowledges bool
}

// NewLink returns a link whose silence is detected within a bound, or never if bound is zero.
func NewLink(bound time.Duration) Link {
	return Link{bound: bound, probeDelay: min(minProbeDelay, bound/2)}
}

// Sent returns the link after a message was sent, and the number for that message.
func (l Link) Sent(now time.Time) (Link, uint64) {
	l.sent++
	if l.unackedSince.IsZero() {
		l.unackedSince = now
	}
	return l, l.sent
}

// Probed returns the link after a probe was sent, which carries the last number, too.
func (l Link) Probed(now time.Time) Link {
	l.probedAt = now
	return l
}

// Acked returns the link after a number was acknowledged. Later messages count as
// unacknowledged from now on. Numbers that were never sent are ignored: they are from a former
// process.
func (l Link) Acked(number uint64, now time.Time) Link {
	if number > l.sent || number <= l.acked {
		return l
	}
	switch {
	case !l.probedAt.IsZero():
		l.roundTrips = l.roundTrips.With(now.Sub(l.probedAt))
		l.probeDelay = min(probeDelayGrowth*l.probeDelay, l.bound/2)
	case now.Sub(l.unackedSince) < l.probeDelay/2:
		l.probeDelay = max(l.probeDelay-l.probeDelay/probeDelayDecay, min(minProbeDelay, l.bound/2))
	}
	l.acked, l.acknowledges = number, true
	l.silentConns, l.lateChecks = 0, 0
	l.unackedSince, l.probedAt = time.Time{}, time.Time{}
	if number < l.sent {
		l.unackedSince = now
	}
	return l
}

// AckedAll returns the link after the other end has sent a message without a number on the same
// connection. It acknowledges everything.
func (l Link) AckedAll(now time.Time) Link { return l.Acked(l.sent, now) }

// Acknowledging returns the link after the other end has sent a number of its own, so that it is
// judged.
func (l Link) Acknowledging() Link {
	l.acknowledges = true
	return l
}

// Reconnected returns the link for a new connection: unacknowledged messages are lost.
func (l Link) Reconnected() Link {
	l.unackedSince, l.probedAt, l.lateChecks = time.Time{}, time.Time{}, 0
	return l
}

// FoundSilent returns the link after its connection was found silent.
func (l Link) FoundSilent() Link {
	l = l.Reconnected()
	l.silentConns++
	return l
}

// UnackedFor returns how long messages have been unacknowledged.
func (l Link) UnackedFor(now time.Time) time.Duration {
	if l.unackedSince.IsZero() {
		return 0
	}
	return now.Sub(l.unackedSince)
}

// ProbeTimeout returns how long to wait for the answer to a probe. It doubles with each connection
// found silent since the last acknowledgement: the other end may be stalled as a whole.
func (l Link) ProbeTimeout() time.Duration {
	wait := l.roundTrips.Timeout(minProbeTimeout, l.bound/2)
	for range l.silentConns {
		wait = min(2*wait, l.bound/2)
	}
	return wait
}

// NextCheck returns when the next check is due, and whether one is.
func (l Link) NextCheck() (time.Time, bool) {
	switch {
	case l.bound <= 0, l.unackedSince.IsZero():
		return time.Time{}, false
	case l.probedAt.IsZero():
		return l.unackedSince.Add(l.probeDelay), true
	}
	return l.probedAt.Add(l.ProbeTimeout()), true
}

// Check checks the link. It returns the updated link and the action to take.
func (l Link) Check(now time.Time) (Link, Action) {
	due, any := l.NextCheck()
	switch {
	case !any || now.Before(due):
		return l, NoAction
	case l.probedAt.IsZero():
		return l, SendProbe
	case !l.acknowledges:
		return l.Reconnected(), NoAction
	case now.Sub(due) > maxCheckDelay && l.lateChecks < maxLateChecks:
		l.lateChecks++
		return l, SendProbe
	}
	return l, ConnSilent
}
