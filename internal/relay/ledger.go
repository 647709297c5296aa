package relay

import (
	"math"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file keeps what one process may spend of a bound on a sliding window that many processes
// share, without any of them knowing what the others spend.
//
// Problem: in each window, all processes together may spend no more than the credit that all earned
// in that window, in the one before, or in the one half a window earlier, whichever is most. A
// process that is killed forgets what it has spent, and its successor starts with nothing.
//
// Algorithm: in each window, a process spends at most carriedShare of what it earned itself in the
// window before, and the rest of what it earned in that window itself.
//
// Invariant: the sum over all processes, living or dead, is at most that mean of the credit that
// all earned in two windows, and a mean is at most the larger of the two. It holds for any windows,
// for any load, and for any number of processes that end or start, since each earned credit
// belongs to one process only. A successor has no credit from the window before its start, so that
// it spends less than the part that the process before it left of the bound.
//
// Instants are counted in buckets, to the disadvantage of the spender. What is spent may take effect,
// and what is earned may have been counted, up to ledgerLateness later.

const (
	// carriedShare is the part of the credit that is spent in the window after the one in which it
	// was earned. It is what a process may spend at once, and the rest is what a process without a
	// past may spend.
	carriedShare = 0.7
	// ledgerBuckets divides the window.
	ledgerBuckets = 50
	// lateBuckets is ledgerLateness in buckets.
	lateBuckets = 2
	// ledgerSize is the number of buckets that are kept: of two windows, and of what is late.
	ledgerSize = 2*ledgerBuckets + 2*lateBuckets + 4
)

// ledger holds what a process has earned and spent. The zero value is empty.
type ledger struct {
	earned [ledgerSize]float64
	spent  [ledgerSize]int
	buckets
}

// ledgerLateness returns how long after it was taken from a ledger of a window something may take
// effect.
func ledgerLateness(window time.Duration) time.Duration {
	return lateBuckets * window / ledgerBuckets
}

func bucketAt(i clock.Instant, window time.Duration) int64 { return i.Interval(window / ledgerBuckets) }

func slot(bucket int64) int64 { return (bucket%ledgerSize + ledgerSize) % ledgerSize }

func (l *ledger) advance(now clock.Instant, window time.Duration) {
	for bucket := range l.buckets.advance(bucketAt(now, window), ledgerSize) {
		l.earned[slot(bucket)] = 0
		l.spent[slot(bucket)] = 0
	}
}

// earn adds credit that was earned at an instant.
func (l *ledger) earn(credit float64, at clock.Instant, window time.Duration) {
	l.advance(at, window)
	if bucket := bucketAt(at, window); bucket > l.at-ledgerSize {
		l.earned[slot(bucket)] += credit
	}
}

// earnEvenly adds credit that is earned at an even rate in a span of time that ends now.
func (l *ledger) earnEvenly(perSecond float64, from, now clock.Instant, window time.Duration) {
	step := window / ledgerBuckets
	if oldest := now.Add(-2 * window); from.Before(oldest) {
		from = oldest
	}
	for from.Before(now) {
		next := clock.IntervalStart(from.Interval(step)+1, step)
		if now.Before(next) {
			next = now
		}
		l.earn(perSecond*next.Sub(from).Seconds(), from, window)
		from = next
	}
}

// spend records n as spent now.
func (l *ledger) spend(n int, now clock.Instant, window time.Duration) {
	l.advance(now, window)
	l.spent[slot(l.at)] += n
}

// room returns how much may be spent now, if only a part of the credit is usable.
func (l *ledger) room(usable float64, now clock.Instant, window time.Duration) float64 {
	l.advance(now, window)
	// sums[i] is what was earned in the i oldest buckets that are kept.
	var sums [ledgerSize + 1]float64
	oldest := l.at - ledgerSize + 1
	for i := range int64(ledgerSize) {
		sums[i+1] = sums[i] + l.earned[slot(oldest+i)]
	}
	earned := func(first, last int64) float64 {
		first, last = max(first, oldest), min(last, l.at)
		if first > last {
			return 0
		}
		return sums[last-oldest+1] - sums[first-oldest]
	}
	room := math.Inf(1)
	spent := 0
	// The windows that begin in each bucket and may contain what is spent now.
	for first := l.at + lateBuckets; first >= l.at-ledgerBuckets; first-- {
		if begins := first - lateBuckets; begins <= l.at {
			spent += l.spent[slot(begins)]
		}
		before := earned(first-ledgerBuckets+1+lateBuckets, first-1)
		within := earned(first+1+lateBuckets, first+ledgerBuckets-1)
		room = min(room, usable*(carriedShare*before+(1-carriedShare)*within)-float64(spent))
	}
	return room
}
