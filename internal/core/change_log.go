package core

import (
	"maps"
	"slices"
	"sort"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// changeLog numbers the changes of a value that each target has, so that one who names the
// number that it was sent last is sent what has changed since and nothing else.
// The zero value of V is that of a target that nothing is said of.
//
// Invariant: who has been sent up to a number has been sent every target whose newest
// change has at most that number.
type changeLog[V comparable] struct {
	// first is the number before the first change of this log, last that of the newest.
	first, last uint64
	sent        map[relay.TargetKey]sentValue[V]
	// changes are sorted by number. One whose target has a later one is void.
	changes []targetChange
	// differs reports whether a value is to be sent in the place of the one sent.
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

// newChangeLog returns a log whose numbers are above first.
func newChangeLog[V comparable](first uint64, differs func(sent, now V) bool) changeLog[V] {
	return changeLog[V]{first: first, last: first, sent: make(map[relay.TargetKey]sentValue[V]), differs: differs}
}

// take numbers what is to be sent anew, in the order of the targets' keys.
func (l *changeLog[V]) take(values map[relay.TargetKey]V) {
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
		l.changes = slices.DeleteFunc(l.changes, l.void)
	}
}

func (l *changeLog[V]) add(key relay.TargetKey, v V) {
	l.last++
	l.sent[key] = sentValue[V]{value: v, number: l.last}
	l.changes = append(l.changes, targetChange{target: key, number: l.last})
}

func (l *changeLog[V]) void(c targetChange) bool { return l.sent[c.target].number != c.number }

// news are values that have changed: all up to the number Upto. Whole says that the asker's
// number was not of this log, so that every other target has the zero value, or comes with
// the next news.
type news[V comparable] struct {
	values map[relay.TargetKey]V
	upto   uint64
	whole  bool
}

// since returns what has changed after a number: up to most targets, the oldest changes
// first.
func (l *changeLog[V]) since(number uint64, most int) news[V] {
	n := news[V]{values: make(map[relay.TargetKey]V), whole: number < l.first || number > l.last}
	if n.whole {
		number = l.first
	}
	n.upto = number
	next := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].number > number })
	for _, c := range l.changes[next:] {
		if l.void(c) {
			continue
		}
		if len(n.values) == most {
			return n
		}
		n.values[c.target] = l.sent[c.target].value
		n.upto = c.number
	}
	n.upto = l.last
	return n
}

// changeFollower is the values of a changeLog as far as they were sent here.
type changeFollower[V comparable] struct {
	values map[relay.TargetKey]V
	// seen is the number of the newest change that was sent.
	seen uint64
}

func newChangeFollower[V comparable]() changeFollower[V] {
	return changeFollower[V]{values: make(map[relay.TargetKey]V)}
}

// apply takes news. Targets with the zero value are forgotten.
func (f *changeFollower[V]) apply(values map[relay.TargetKey]V, upto uint64, whole bool) {
	if whole {
		clear(f.values)
	}
	maps.Copy(f.values, values)
	var zero V
	for key, v := range values {
		if v == zero {
			delete(f.values, key)
		}
	}
	f.seen = upto
}
