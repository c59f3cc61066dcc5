// Package gdcache has a map that forgets what was not used for a while.
//
// # Usage
//
//	flows := gdcache.Map[gdflow.Key, flow]{Keep: 20 * time.Second, Most: 1 << 15}
//	f, ok := flows.Get(now, key)
//	flows.Put(now, key, f)
//
// Entries live in two generations. The older one is dropped every Keep, so an
// entry stays for Keep to twice that after its last use, and nothing scans.
package gdcache

import "time"

// Cache is bounded by time and by size. Its exported fields are set before the
// first call. It belongs to one goroutine.
type Cache[K comparable, V any] struct {
	// MinTTL is how long an unused entry stays at least, unless the map is full.
	MinTTL time.Duration
	// MaxPerGeneration is the number of entries of one generation.
	MaxPerGeneration int
	// OnEvict, if set, is told of each entry that is forgotten.
	OnEvict func(K, V)

	young, old map[K]V
	turned     time.Time
}

// Get returns the entry and counts as a use of it.
func (m *Cache[K, V]) Get(now time.Time, k K) (V, bool) {
	m.turn(now)
	if v, ok := m.young[k]; ok {
		return v, true
	}
	v, ok := m.old[k]
	if ok {
		delete(m.old, k)
		m.young[k] = v
	}
	return v, ok
}

// Put sets the entry.
func (m *Cache[K, V]) Put(now time.Time, k K, v V) {
	m.turn(now)
	if len(m.young) >= m.MaxPerGeneration {
		m.rotate(now)
	}
	delete(m.old, k)
	m.young[k] = v
}

// Delete removes the entry.
func (m *Cache[K, V]) Delete(k K) {
	delete(m.young, k)
	delete(m.old, k)
}

// Len returns the number of entries.
func (m *Cache[K, V]) Len() int { return len(m.young) + len(m.old) }

// Each calls f for each entry until it returns false.
func (m *Cache[K, V]) Each(f func(K, V) bool) {
	for _, g := range []map[K]V{m.young, m.old} {
		for k, v := range g {
			if !f(k, v) {
				return
			}
		}
	}
}

// Clear forgets all entries without telling Dropped.
func (m *Cache[K, V]) Clear() {
	clear(m.young)
	clear(m.old)
}

func (m *Cache[K, V]) turn(now time.Time) {
	if m.young == nil {
		m.young, m.old = make(map[K]V), make(map[K]V)
		m.turned = now
	}
	if now.Sub(m.turned) >= m.MinTTL {
		m.rotate(now)
	}
}

func (m *Cache[K, V]) rotate(now time.Time) {
	if m.OnEvict != nil {
		for k, v := range m.old {
			m.OnEvict(k, v)
		}
	}
	clear(m.old)
	m.young, m.old = m.old, m.young
	m.turned = now
}
