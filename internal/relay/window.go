package relay

import (
	"iter"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// windowBuckets divides the span of a window; a bucket leaves it as a whole.
const windowBuckets = 20

// buckets numbers the buckets of a sliding span.
type buckets struct {
	// at is the number of the newest bucket, once begun is set.
	at    int64
	begun bool
}

// advance moves on to the bucket of a number, unless a newer one has begun, and returns the numbers of
// those that begin, at most the last size ones.
func (b *buckets) advance(to int64, size int64) iter.Seq[int64] {
	first := b.at + 1
	if !b.begun || first < to-size+1 {
		first = to - size + 1
	}
	if !b.begun || to > b.at {
		b.at, b.begun = to, true
	}
	return func(yield func(int64) bool) {
		for n := first; n <= to && yield(n); n++ {
		}
	}
}

// window counts the events of a sliding time span.
type window struct {
	counts [windowBuckets]int
	buckets
}

func windowSlot(bucket int64) int64 { return (bucket%windowBuckets + windowBuckets) % windowBuckets }

func (w *window) advance(now clock.Instant, span time.Duration) {
	for bucket := range w.buckets.advance(now.Interval(span/windowBuckets), windowBuckets) {
		w.counts[windowSlot(bucket)] = 0
	}
}

func (w *window) add(now time.Time, span time.Duration) {
	w.advance(clock.InstantOf(now), span)
	w.counts[windowSlot(w.at)]++
}

func (w *window) total(now time.Time, span time.Duration) int {
	w.advance(clock.InstantOf(now), span)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}
