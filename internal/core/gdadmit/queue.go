package gdadmit

import "slices"

// ordered is an element with a defined order in a queue.
type ordered[T any] interface {
	// before reports whether the element goes before the other one.
	before(T) bool
}

// queue is a priority queue that is first in, first out among equal elements. It is
// designed for tens of elements.
type queue[T ordered[T]] struct {
	items []T
}

func (q *queue[T]) len() int { return len(q.items) }

// push inserts the element after all elements that do not go after it.
func (q *queue[T]) push(x T) {
	i := len(q.items)
	for i > 0 && x.before(q.items[i-1]) {
		i--
	}
	q.items = slices.Insert(q.items, i, x)
}

// last returns the element at the end of a queue that is not empty.
func (q *queue[T]) last() T { return q.items[len(q.items)-1] }

// remove removes and returns the element at index i.
func (q *queue[T]) remove(i int) T {
	x := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	return x
}
