package relay

import "time"

// Recent is a bounded set of recently added values. It has two generations: values are added to
// the current one, which becomes the previous one once it is full or its time is over; the
// previous one is then dropped as a whole. So a value is kept for ttl, and at most twice as long,
// unless more than capacity are added in that time. Use NewRecent.
type Recent[T comparable] struct {
	capacity          int
	ttl               time.Duration
	current, previous map[T]bool
	rotateAt          time.Time
}

// NewRecent returns an empty set that holds up to a capacity of values in each generation for a
// time.
func NewRecent[T comparable](capacity int, ttl time.Duration) Recent[T] {
	return Recent[T]{capacity: capacity, ttl: ttl, current: make(map[T]bool)}
}

// Add adds a value.
func (r *Recent[T]) Add(v T, now time.Time) {
	r.rotate(now)
	if len(r.current) >= r.capacity {
		r.current, r.previous = make(map[T]bool), r.current
		r.rotateAt = now.Add(r.ttl)
	}
	r.current[v] = true
}

// Has reports whether a value was added recently.
func (r *Recent[T]) Has(v T, now time.Time) bool {
	r.rotate(now)
	return r.current[v] || r.previous[v]
}

// rotate starts new generations as their time is over.
func (r *Recent[T]) rotate(now time.Time) {
	if now.Before(r.rotateAt) {
		return
	}
	if !now.Before(r.rotateAt.Add(r.ttl)) {
		r.previous = nil
	} else {
		r.previous = r.current
	}
	r.current = make(map[T]bool)
	r.rotateAt = now.Add(r.ttl)
}
