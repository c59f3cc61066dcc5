package gdrequest

import "sync"

// table is a map that is safe for concurrent use. The zero value is empty.
type table[V any] struct {
	mu sync.Mutex
	m  map[uint64]V
}

func (t *table[V]) add(id uint64, v V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = make(map[uint64]V)
	}
	t.m[id] = v
}

func (t *table[V]) get(id uint64) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.m[id]
	return v, ok
}

// pop removes the value and returns it.
func (t *table[V]) pop(id uint64) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.m[id]
	delete(t.m, id)
	return v, ok
}

func (t *table[V]) remove(id uint64) { t.pop(id) }
