package core

import (
	"maps"
	"slices"
	"sort"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// changeLog numbers the changes to a value per target, so that a receiver that names the
// last number that it has received is sent only the changes since then.
// The zero value of V represents a target without a value.
//
// Invariant: a receiver that has received all changes up to a number has the value of every
// target whose newest change has at most that number.
type changeLog[V comparable] struct {
	// first is the number before the first change in this log, last that of the newest one.
	first, last uint64
	sent        map[relay.TargetKey]sentValue[V]
	// changes are sorted by number. A change is superseded by a later one of its target.
	changes []targetChange
	// differs reports whether the value now must be sent in place of the one sent.
	differs func(sent, now V) bool
}

type sentValue[V comparable] struct {
	value  V
	number uint64
}

type targetChange struct {
	target relay.TargetKey
	number uint64
}

// newChangeLog returns a log whose numbers start above first.
func newChangeLog[V comparable](first uint64, differs func(sent, now V) bool) changeLog[V] {
	return changeLog[V]{first: first, last: first, sent: make(map[relay.TargetKey]sentValue[V]), differs: differs}
}

// update numbers the values that differ from those sent, in the order of the targets' keys.
func (l *changeLog[V]) update(values map[relay.TargetKey]V) {
	var changed []relay.TargetKey
	for key, now := range values {
		if sent, known := l.sent[key]; !known || l.differs(sent.value, now) {
			changed = append(changed, key)
		}
	}
	var zero V
	for key, sent := range l.sent {
		if _, ok := values[key]; !ok && sent.value != zero {
			changed = append(changed, key)
		}
	}
	slices.Sort(changed)
	for _, key := range changed {
		l.add(key, values[key])
	}
	if len(l.changes) > 2*len(l.sent) {
		l.changes = slices.DeleteFunc(l.changes, l.superseded)
	}
}

func (l *changeLog[V]) add(key relay.TargetKey, v V) {
	l.last++
	l.sent[key] = sentValue[V]{value: v, number: l.last}
	l.changes = append(l.changes, targetChange{target: key, number: l.last})
}

func (l *changeLog[V]) superseded(c targetChange) bool { return l.sent[c.target].number != c.number }

// valueDelta has the changed values up to the number through. If complete is set, the receiver's
// number was not of this log: every other target has the zero value or is part of a later
// delta.
type valueDelta[V comparable] struct {
	values   map[relay.TargetKey]V
	through  uint64
	complete bool
}

// since returns the changes after a number: those of up to most targets, the oldest first.
func (l *changeLog[V]) since(number uint64, most int) valueDelta[V] {
	n := valueDelta[V]{values: make(map[relay.TargetKey]V), complete: number < l.first || number > l.last}
	if n.complete {
		number = l.first
	}
	n.through = number
	next := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].number > number })
	for _, c := range l.changes[next:] {
		if l.superseded(c) {
			continue
		}
		if len(n.values) == most {
			return n
		}
		n.values[c.target] = l.sent[c.target].value
		n.through = c.number
	}
	n.through = l.last
	return n
}

// changeFollower is the receiver's copy of the values of a changeLog.
type changeFollower[V comparable] struct {
	values map[relay.TargetKey]V
	// seen is the number of the newest change that was received.
	seen uint64
}

func newChangeFollower[V comparable]() changeFollower[V] {
	return changeFollower[V]{values: make(map[relay.TargetKey]V)}
}

// apply applies a delta. Targets with the zero value are removed.
func (f *changeFollower[V]) apply(values map[relay.TargetKey]V, through uint64, complete bool) {
	if complete {
		clear(f.values)
	}
	maps.Copy(f.values, values)
	var zero V
	for key, v := range values {
		if v == zero {
			delete(f.values, key)
		}
	}
	f.seen = through
}
