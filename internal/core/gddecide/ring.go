package gddecide

import "iter"

// Ring keeps the last values that were added, up to a fixed number. It is not
// safe for concurrent use.
type Ring[T any] struct {
	slots []T
	added uint64
}

// NewRing returns a ring for n values. It panics if n is not positive.
func NewRing[T any](n int) *Ring[T] {
	if n <= 0 {
		panic("gddecide: ring without room")
	}
	return &Ring[T]{slots: make([]T, n)}
}

// Add adds a value in the place of the oldest one when the ring is full.
func (r *Ring[T]) Add(v T) {
	r.slots[r.added%uint64(len(r.slots))] = v
	r.added++
}

// Len returns the number of values that are kept.
func (r *Ring[T]) Len() int { return int(min(r.added, uint64(len(r.slots)))) }

// Added returns the number of values that were ever added.
func (r *Ring[T]) Added() uint64 { return r.added }

// Overwritten returns the number of values that were added and are not kept.
func (r *Ring[T]) Overwritten() uint64 { return r.added - uint64(r.Len()) }

// All returns the kept values, the oldest first. The ring must not be changed
// meanwhile.
func (r *Ring[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for i := r.Overwritten(); i < r.added; i++ {
			if !yield(r.slots[i%uint64(len(r.slots))]) {
				return
			}
		}
	}
}
