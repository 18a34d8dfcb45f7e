package ident

import (
	"cmp"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T cmp.Ordered] map[T]struct{}

// SetOf returns a set of the given values.
func SetOf[T cmp.Ordered](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Add adds v to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return SortedKeys(s) }

// SortedKeys returns the keys of a map in ascending order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}
