package gddispatch

import "time"

// bucket is a token bucket. Its zero value is full.
type bucket struct {
	tokens float64
	at     time.Time
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time, perSecond, burst float64) bool {
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
