package config

import (
	"cmp"
	"maps"
	"slices"
)

// Named is an object of the configuration that is identified by its name.
type Named interface {
	// ObjectName returns the name, unique among objects of one kind.
	ObjectName() string
}

// Set is an immutable set of objects by name. The zero value is empty. Its
// methods copy on write, since the configuration changes some thousand times a
// day and is read thousands of times a second.
type Set[T Named] struct {
	// Items is exported for the codecs only. It is never modified in place.
	Items map[string]T `cbor:"items"`
}

// Get returns the object called name and reports whether there is one.
func (s Set[T]) Get(name string) (T, bool) {
	item, ok := s.Items[name]
	return item, ok
}

// Has reports whether an object called name is in the set.
func (s Set[T]) Has(name string) bool {
	_, ok := s.Items[name]
	return ok
}

// Len returns the number of objects.
func (s Set[T]) Len() int { return len(s.Items) }

// With returns a set that also holds item, in place of one of the same name.
func (s Set[T]) With(item T) Set[T] {
	items := maps.Clone(s.Items)
	if items == nil {
		items = make(map[string]T)
	}
	items[item.ObjectName()] = item
	return Set[T]{Items: items}
}

// Without returns a set that lacks the object called name.
func (s Set[T]) Without(name string) Set[T] {
	if !s.Has(name) {
		return s
	}
	items := maps.Clone(s.Items)
	delete(items, name)
	return Set[T]{Items: items}
}

// Sorted returns the objects sorted by name, so that output is deterministic.
func (s Set[T]) Sorted() []T {
	return slices.SortedFunc(maps.Values(s.Items), func(a, b T) int {
		return cmp.Compare(a.ObjectName(), b.ObjectName())
	})
}
