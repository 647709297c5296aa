package relay

import "time"

// Recent is a bounded set of what was seen of late. It keeps two generations: what is seen
// goes into the younger one, which becomes the older one once it is full or its time is over,
// and the older one is dropped whole. So it holds what was seen within kept, and at most twice
// as long, unless more than most were. The zero value is not ready for use.
type Recent[T comparable] struct {
	most       int
	kept       time.Duration
	young, old map[T]bool
	turnAt     time.Time
}

// NewRecent returns an empty set that holds up to most values of each generation for kept.
func NewRecent[T comparable](most int, kept time.Duration) Recent[T] {
	return Recent[T]{most: most, kept: kept, young: make(map[T]bool)}
}

// Add notes that a value was seen.
func (r *Recent[T]) Add(v T, now time.Time) {
	r.turn(now)
	if len(r.young) >= r.most {
		r.young, r.old = make(map[T]bool), r.young
		r.turnAt = now.Add(r.kept)
	}
	r.young[v] = true
}

// Has reports whether a value was seen of late.
func (r *Recent[T]) Has(v T, now time.Time) bool {
	r.turn(now)
	return r.young[v] || r.old[v]
}

// turn begins new generations as far as their time has come.
func (r *Recent[T]) turn(now time.Time) {
	if now.Before(r.turnAt) {
		return
	}
	if !now.Before(r.turnAt.Add(r.kept)) {
		r.old = nil
	} else {
		r.old = r.young
	}
	r.young = make(map[T]bool)
	r.turnAt = now.Add(r.kept)
}
