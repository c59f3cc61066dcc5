package gdlog

import "time"

const (
	// DropInterval is the shortest time between two events about dropped
	// datagrams of the same reason.
	DropInterval = 10 * time.Second
	// maxKeys bounds the memory of a RateLimit.
	maxKeys = 256
)

// RateLimit holds back events of the same key that follow each other within an
// interval, and counts them. It is not safe for concurrent use.
type RateLimit[K comparable] struct {
	// Interval is the shortest time between two events of one key.
	Interval time.Duration

	keys map[K]*held
}

type held struct {
	last  time.Time
	count uint64
}

// Add counts one occurrence. It returns the number of occurrences since the last
// event of the key, this one among them, and whether the event is due. Beyond
// 256 keys a new one is never due, so that a stranger can't flood the log by
// making up keys.
func (r *RateLimit[K]) Add(now time.Time, key K) (uint64, bool) {
	if r.keys == nil {
		r.keys = make(map[K]*held)
	}
	h, ok := r.keys[key]
	if !ok {
		if len(r.keys) >= maxKeys {
			return 0, false
		}
		h = &held{last: now.Add(-r.Interval)}
		r.keys[key] = h
	}
	h.count++
	if now.Sub(h.last) < r.Interval {
		return h.count, false
	}
	n := h.count
	h.count = 0
	h.last = now
	return n, true
}
