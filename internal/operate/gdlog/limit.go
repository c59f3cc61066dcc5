package gdlog

import "time"

const (
	// DropInterval is the minimum interval between two events about datagrams
	// dropped for the same reason.
	DropInterval = 10 * time.Second
	// maxKeys bounds the memory of a RateLimit.
	maxKeys = 256
)

// RateLimit allows one event per key and interval, and counts the suppressed ones. It
// is not safe for concurrent use.
type RateLimit[K comparable] struct {
	// Interval is the minimum interval between two events of one key.
	Interval time.Duration

	keys map[K]*counter
}

// counter counts the occurrences of one key since its last event.
type counter struct {
	last  time.Time
	count uint64
}

// Add counts one occurrence. It returns the number of occurrences since the last
// event of the key, including this one, and whether to write an event now. No event
// is written for keys beyond the first 256, so that an attacker can't flood the log
// with invented keys.
func (r *RateLimit[K]) Add(now time.Time, key K) (uint64, bool) {
	if r.keys == nil {
		r.keys = make(map[K]*counter)
	}
	c, ok := r.keys[key]
	if !ok {
		if len(r.keys) >= maxKeys {
			return 0, false
		}
		c = &counter{last: now.Add(-r.Interval)}
		r.keys[key] = c
	}
	c.count++
	if now.Sub(c.last) < r.Interval {
		return c.count, false
	}
	n := c.count
	c.count = 0
	c.last = now
	return n, true
}
