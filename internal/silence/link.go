// Package silence decides when a connection has fallen silent: bytes go in, none comes out,
// and no error ever says so. It reads no clock and opens nothing.
//
// Problem: the kernel can't tell. What stands between two ends may acknowledge bytes that it
// drops, and an end that waits to read sends nothing that could go unacknowledged.
//
// Algorithm: each message bears a number, and what the other end says next bears the last
// number that it has seen, on whichever connection it answers. While numbers come back,
// nothing is sent for this alone. When none has come back for longer than they usually take,
// one question is sent that the other end answers at once on the same connection; without
// that answer the connection is silent. A link that is voided so is made anew, with more
// patience each time, up to the bound.
//
// Invariants: an idle link is never silent, and costs nothing; the wait from the first
// message that is lost to the verdict is no longer than the bound.
package silence

import "time"

const (
	// askLeast is the shortest wait before a question is sent, and answerLeast that for its
	// answer: a process that shares its cores with others wakes up some 50 ms late at times.
	// Both together are less than the 0.5 s after which a follower stands for election.
	askLeast    = 100 * time.Millisecond
	answerLeast = 200 * time.Millisecond
	// tripWeight and spreadWeight are the weights of the newest round trip, those of TCP.
	tripWeight   = 1.0 / 8
	spreadWeight = 1.0 / 4
	// spreads is how many mean deviations above the mean a round trip may take.
	spreads = 4
	// askGrowth is what a question that was answered lengthens the wait for the next by:
	// the other end has something to say less often than that. askDecay is the part that it
	// shrinks by with each proof that came in less than half of it.
	askGrowth = 2
	askDecay  = 16
	// lateWake is how much later than due a process may look and still say what was silent
	// meanwhile: after that the answer may wait unread. A process that has nothing to do
	// looks each 100 ms.
	lateWake = 150 * time.Millisecond
	// lateMost bounds how often that is allowed for in a row.
	lateMost = 2
)

// Trips estimates round trips. The zero value knows none.
type Trips struct{ mean, spread float64 }

// With returns the estimate after a round trip.
func (t Trips) With(trip time.Duration) Trips {
	value := float64(trip)
	if t.mean == 0 {
		return Trips{mean: value, spread: value / 2}
	}
	deviation := max(value-t.mean, t.mean-value)
	return Trips{mean: t.mean + tripWeight*(value-t.mean), spread: t.spread + spreadWeight*(deviation-t.spread)}
}

// Usual returns the time within which nearly all round trips are over, between two bounds.
func (t Trips) Usual(least, most time.Duration) time.Duration {
	return min(max(time.Duration(t.mean+spreads*t.spread), least), most)
}

// Action is what is to be done about a link.
type Action int

const (
	// Nothing says that the link is well so far.
	Nothing Action = iota
	// Ask says that a question is to be sent, which is answered at once.
	Ask
	// Void says that the link is silent.
	Void
)

// Link is the sending end of a link, over all the connections that it has had.
type Link struct {
	bound time.Duration
	// trips are those of questions.
	trips Trips
	// askWait is how long a message may be without proof before a question is sent.
	askWait time.Duration
	// sent is the last number, proved the last one that came back.
	sent, proved uint64
	// openSince is when the first message was sent that is not proved; zero while all are.
	openSince time.Time
	// askedAt is when the question was sent, if one is open.
	askedAt time.Time
	// late counts the looks that came too late to say anything.
	late int
	// voided counts the connections found silent since the last proof.
	voided int
	// answers says that the other end has answered at least once: one that never does is
	// not judged.
	answers bool
}

// NewLink returns a link whose silence is noticed within a bound, or never for zero.
func NewLink(bound time.Duration) Link {
	return Link{bound: bound, askWait: min(askLeast, bound/2)}
}

// Sent returns the link after a message was sent, and the number that the message bears.
func (l Link) Sent(now time.Time) (Link, uint64) {
	l.sent++
	if l.openSince.IsZero() {
		l.openSince = now
	}
	return l, l.sent
}

// Asked returns the link after the question was sent, which bears the last number too.
func (l Link) Asked(now time.Time) Link {
	l.askedAt = now
	return l
}

// Proved returns the link after a number came back. What was sent later stays open from now
// on. Numbers that were never sent here prove nothing: they are of a former process.
func (l Link) Proved(number uint64, now time.Time) Link {
	if number > l.sent || number <= l.proved {
		return l
	}
	switch {
	case !l.askedAt.IsZero():
		l.trips = l.trips.With(now.Sub(l.askedAt))
		l.askWait = min(askGrowth*l.askWait, l.bound/2)
	case now.Sub(l.openSince) < l.askWait/2:
		l.askWait = max(l.askWait-l.askWait/askDecay, min(askLeast, l.bound/2))
	}
	l.proved, l.answers = number, true
	l.voided, l.late = 0, 0
	l.openSince, l.askedAt = time.Time{}, time.Time{}
	if number < l.sent {
		l.openSince = now
	}
	return l
}

// Heard returns the link after the other end has said something that bears no number, on the
// same connection.
func (l Link) Heard(now time.Time) Link { return l.Proved(l.sent, now) }

// Speaks returns the link after the other end has borne a number of its own: it answers.
func (l Link) Speaks() Link {
	l.answers = true
	return l
}

// Renewed returns the link for a new connection: what was open is lost.
func (l Link) Renewed() Link {
	l.openSince, l.askedAt, l.late = time.Time{}, time.Time{}, 0
	return l
}

// Voided returns the link after its connection was found silent.
func (l Link) Voided() Link {
	l = l.Renewed()
	l.voided++
	return l
}

// OpenFor returns how long the oldest message has been without proof.
func (l Link) OpenFor(now time.Time) time.Duration {
	if l.openSince.IsZero() {
		return 0
	}
	return now.Sub(l.openSince)
}

// Patience returns how long the answer to a question is waited for. It doubles with each
// connection that was silent in vain: the other end may stand still as a whole.
func (l Link) Patience() time.Duration {
	wait := l.trips.Usual(answerLeast, l.bound/2)
	for range l.voided {
		wait = min(2*wait, l.bound/2)
	}
	return wait
}

// Due returns when the link is to be looked at next, and whether it is.
func (l Link) Due() (time.Time, bool) {
	switch {
	case l.bound <= 0, l.openSince.IsZero():
		return time.Time{}, false
	case l.askedAt.IsZero():
		return l.openSince.Add(l.askWait), true
	}
	return l.askedAt.Add(l.Patience()), true
}

// Look returns what is to be done at a time, and the link that has taken note of it.
func (l Link) Look(now time.Time) (Link, Action) {
	due, any := l.Due()
	switch {
	case !any || now.Before(due):
		return l, Nothing
	case l.askedAt.IsZero():
		return l, Ask
	case !l.answers:
		return l.Renewed(), Nothing
	case now.Sub(due) > lateWake && l.late < lateMost:
		l.late++
		return l, Ask
	}
	return l, Void
}
