package gdadmit

import "slices"

// ordered is an element that knows its place in a queue.
type ordered[T any] interface {
	// before reports whether the element goes before another one.
	before(T) bool
}

// queue keeps its elements in order; among equals the first to come goes first.
// It is meant for tens of elements.
type queue[T ordered[T]] struct {
	items []T
}

func (q *queue[T]) len() int { return len(q.items) }

// push puts the element behind all that do not come after it.
func (q *queue[T]) push(x T) {
	i := len(q.items)
	for i > 0 && x.before(q.items[i-1]) {
		i--
	}
	q.items = slices.Insert(q.items, i, x)
}

// last returns the element at the end of a queue that is not empty.
func (q *queue[T]) last() T { return q.items[len(q.items)-1] }

// remove takes out the element at index i.
func (q *queue[T]) remove(i int) T {
	x := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	return x
}
