package relay

import "time"

// RecentSet is a bounded set of recently added values. It has two generations: values are added to
// the current one, which becomes the previous one once it is full or its time is over; the
// previous one is then dropped as a whole. So a value is kept for ttl, and at most twice as long,
// unless more than capacity are added in that time. Use NewRecentSet.
type RecentSet[T comparable] struct {
	capacity          int
	ttl               time.Duration
	current, previous map[T]bool
	rotateAt          time.Time
}

// NewRecentSet returns an empty set that holds up to a capacity of values in each generation for a
// time.
func NewRecentSet[T comparable](capacity int, ttl time.Duration) RecentSet[T] {
	return RecentSet[T]{capacity: capacity, ttl: ttl, current: make(map[T]bool)}
}

// Add adds a value.
func (r *RecentSet[T]) Add(v T, now time.Time) {
	r.rotate(now)
	if len(r.current) >= r.capacity {
		r.current, r.previous = make(map[T]bool), r.current
		r.rotateAt = now.Add(r.ttl)
	}
	r.current[v] = true
}

// Has reports whether a value was added recently.
func (r *RecentSet[T]) Has(v T, now time.Time) bool {
	r.rotate(now)
	return r.current[v] || r.previous[v]
}

// rotate starts new generations as their time is over.
func (r *RecentSet[T]) rotate(now time.Time) {
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
