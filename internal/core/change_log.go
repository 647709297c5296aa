package core

import (
	"maps"
	"slices"
	"sort"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// changeLog numbers the changes of a value that each target has, so that one who names the
// number that it was told of last is told of what has changed since and of nothing else.
// The zero value of V is that of a target that nothing is said of.
//
// Invariant: who has been told up to a number has been told of every target whose newest
// change has at most that number.
type changeLog[V comparable] struct {
	// first is the number before the first change of this log, last that of the newest.
	first, last uint64
	told        map[relay.TargetKey]sentValue[V]
	// changes are sorted by number. One whose target has a later one is void.
	changes []targetChange
	// differs reports whether a value is to be told in the place of the one told.
	differs func(told, now V) bool
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
func newChangeLog[V comparable](first uint64, differs func(told, now V) bool) changeLog[V] {
	return changeLog[V]{first: first, last: first, told: make(map[relay.TargetKey]sentValue[V]), differs: differs}
}

// take numbers what is to be told anew, in the order of the targets' keys.
func (l *changeLog[V]) take(values map[relay.TargetKey]V) {
	var changed []relay.TargetKey
	for key, now := range values {
		if told, known := l.told[key]; !known || l.differs(told.value, now) {
			changed = append(changed, key)
		}
	}
	var zero V
	for key, told := range l.told {
		if _, ok := values[key]; !ok && told.value != zero {
			changed = append(changed, key)
		}
	}
	slices.Sort(changed)
	for _, key := range changed {
		l.add(key, values[key])
	}
	if len(l.changes) > 2*len(l.told) {
		l.changes = slices.DeleteFunc(l.changes, l.void)
	}
}

func (l *changeLog[V]) add(key relay.TargetKey, v V) {
	l.last++
	l.told[key] = sentValue[V]{value: v, number: l.last}
	l.changes = append(l.changes, targetChange{target: key, number: l.last})
}

func (l *changeLog[V]) void(c targetChange) bool { return l.told[c.target].number != c.number }

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
		n.values[c.target] = l.told[c.target].value
		n.upto = c.number
	}
	n.upto = l.last
	return n
}

// changeFollower is the values of a changeLog as far as they were told here.
type changeFollower[V comparable] struct {
	values map[relay.TargetKey]V
	// seen is the number of the newest change that was told.
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
