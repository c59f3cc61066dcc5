package gddispatch

import "time"

// bucket is a token bucket. Its zero value is full.
type bucket struct {
	tokens  float64
	updated time.Time
}

// take takes n tokens and reports whether there were as many.
func (b *bucket) take(now time.Time, perSecond, burst, n float64) bool {
	if b.updated.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+now.Sub(b.updated).Seconds()*perSecond)
	}
	b.updated = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
