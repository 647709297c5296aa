package relay

import "time"

// Recent is a bounded set of recently added values. It has two generations: values are added to
// the current one, which becomes the previous one once it is full or its time is over; the
// previous one is then dropped as a whole. So a value is kept for ttl, and at most twice as long,
// unless more than capacity are added in that time. Use NewRecent.
type Recent[T comparable] struct {
	most       int
	kept       time.Duration
	young, old map[T]bool
	turnAt     time.Time
}

// NewRecent returns an empty set that holds up to a capacity of values in each generation for a
// time.
func NewRecent[T comparable](most int, kept time.Duration) Recent[T] {
	return Recent[T]{most: most, kept: kept, young: make(map[T]bool)}
}

// Add adds a value.
func (r *Recent[T]) Add(v T, now time.Time) {
	r.turn(now)
	if len(r.young) >= r.most {
		r.young, r.old = make(map[T]bool), r.young
		r.turnAt = now.Add(r.kept)
	}
	r.young[v] = true
}

// Has reports whether a value was added recently.
func (r *Recent[T]) Has(v T, now time.Time) bool {
	r.turn(now)
	return r.young[v] || r.old[v]
}

// rotate starts new generations as their time is over.
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
