package relay

import "time"

// RecentMap is a bounded map of recently set keys. It has two generations: keys are set in the
// current one, which becomes the previous one once it is full or its time is over; the previous one
// is then dropped as a whole. So a key is kept for ttl, and at most twice as long, unless more than
// capacity are set in that time. Use NewRecentMap.
type RecentMap[K comparable, V any] struct {
	capacity          int
	ttl               time.Duration
	current, previous map[K]V
	rotateAt          time.Time
}

// NewRecentMap returns an empty map that holds up to a capacity of keys in each generation for a
// time.
func NewRecentMap[K comparable, V any](capacity int, ttl time.Duration) RecentMap[K, V] {
	return RecentMap[K, V]{capacity: capacity, ttl: ttl, current: make(map[K]V)}
}

// Set sets a key.
func (r *RecentMap[K, V]) Set(k K, v V, now time.Time) {
	r.rotate(now)
	if _, ok := r.current[k]; !ok && len(r.current) >= r.capacity {
		r.current, r.previous = make(map[K]V), r.current
		r.rotateAt = now.Add(r.ttl)
	}
	r.current[k] = v
}

// Get returns the value of a key if it was set recently.
func (r *RecentMap[K, V]) Get(k K, now time.Time) (V, bool) {
	r.rotate(now)
	if v, ok := r.current[k]; ok {
		return v, true
	}
	v, ok := r.previous[k]
	return v, ok
}

// rotate starts new generations as their time is over.
func (r *RecentMap[K, V]) rotate(now time.Time) {
	if now.Before(r.rotateAt) {
		return
	}
	if !now.Before(r.rotateAt.Add(r.ttl)) {
		r.previous = nil
	} else {
		r.previous = r.current
	}
	r.current = make(map[K]V)
	r.rotateAt = now.Add(r.ttl)
}
