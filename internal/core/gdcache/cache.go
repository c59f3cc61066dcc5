// Package gdcache has a cache whose entries expire when they are not used.
//
// # Usage
//
//	flows := gdcache.Cache[gdflow.Key, flow]{MinTTL: 20 * time.Second, MaxPerGeneration: 1 << 15}
//	f, ok := flows.Get(now, key)
//	flows.Put(now, key, f)
//
// Entries are stored in two generations. The older one is dropped every MinTTL, so an
// entry expires between MinTTL and twice that after its last use, without any scan. Keep
// retains entries for longer.
package gdcache

import "time"

// Cache is limited in time and in size. Its exported fields must be set before the
// first call. It is not safe for concurrent use.
type Cache[K comparable, V any] struct {
	// MinTTL is how long an unused entry is kept at least, unless the cache is full.
	MinTTL time.Duration
	// MaxPerGeneration is the maximum number of entries of one generation.
	MaxPerGeneration int
	// Keep, if set, reports whether an entry that would expire stays in the older generation,
	// together with at most MaxPerGeneration others. It stays also when the cache is full.
	Keep func(now time.Time, v V) bool
	// OnEvict, if set, is called with each entry that is evicted.
	OnEvict func(now time.Time, k K, v V)

	young, old map[K]V
	rotatedAt  time.Time
}

// Get returns the entry and marks it as used.
func (c *Cache[K, V]) Get(now time.Time, k K) (V, bool) {
	c.rotateIfDue(now)
	if v, ok := c.young[k]; ok {
		return v, true
	}
	v, ok := c.old[k]
	if ok {
		delete(c.old, k)
		c.young[k] = v
	}
	return v, ok
}

// Put sets the entry.
func (c *Cache[K, V]) Put(now time.Time, k K, v V) {
	c.rotateIfDue(now)
	if len(c.young) >= c.MaxPerGeneration {
		c.rotate(now)
	}
	delete(c.old, k)
	c.young[k] = v
}

// Delete removes the entry.
func (c *Cache[K, V]) Delete(k K) {
	delete(c.young, k)
	delete(c.old, k)
}

// Len returns the number of entries.
func (c *Cache[K, V]) Len() int { return len(c.young) + len(c.old) }

// Each calls f for each entry until f returns false.
func (c *Cache[K, V]) Each(f func(K, V) bool) {
	for _, g := range []map[K]V{c.young, c.old} {
		for k, v := range g {
			if !f(k, v) {
				return
			}
		}
	}
}

// Clear removes all entries without calling OnEvict.
func (c *Cache[K, V]) Clear() {
	clear(c.young)
	clear(c.old)
}

func (c *Cache[K, V]) rotateIfDue(now time.Time) {
	if c.young == nil {
		c.young, c.old = make(map[K]V), make(map[K]V)
		c.rotatedAt = now
	}
	if now.Sub(c.rotatedAt) >= c.MinTTL {
		c.rotate(now)
	}
}

func (c *Cache[K, V]) rotate(now time.Time) {
	kept := 0
	for k, v := range c.old {
		switch {
		case c.Keep != nil && kept < c.MaxPerGeneration && c.Keep(now, v):
			c.young[k] = v
			kept++
		case c.OnEvict != nil:
			c.OnEvict(now, k, v)
		}
	}
	clear(c.old)
	c.young, c.old = c.old, c.young
	c.rotatedAt = now
}
