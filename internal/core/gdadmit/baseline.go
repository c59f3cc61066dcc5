package gdadmit

import (
	"math"
	"time"
)

const (
	// windowSize is the number of latencies whose mean updates the baseline.
	windowSize = 16
	// baselineFallWeight is the weight of a window whose mean is below the baseline.
	baselineFallWeight = 1.0 / 8
	// warmRiseTime is the time constant with which the baseline follows a higher mean
	// of a warm upstream, so that a gradual growth of latency is accepted.
	warmRiseTime = 5 * time.Second
	// coldRiseTime is the same for an upstream that looks cold. It is longer than a
	// usual ramp, so that a cold upstream is not mistaken for a warm one that has
	// become slower.
	coldRiseTime = 60 * time.Second
)

// baseline estimates the mean latency of the warm upstream. It follows lower latencies
// quickly and higher ones slowly. Until the first window is full, it is the mean of
// all latencies so far.
type baseline struct {
	mean        time.Duration
	windowSum   time.Duration
	windowCount int
	windowStart time.Time
	known       bool
}

// add adds one latency. The time constant for higher means is riseTime.
func (b *baseline) add(now time.Time, latency, riseTime time.Duration) {
	if b.windowCount == 0 {
		b.windowStart = now
	}
	b.windowSum += latency
	b.windowCount++
	windowMean := b.windowSum / time.Duration(b.windowCount)
	if !b.known {
		b.mean = windowMean
	}
	if b.windowCount < windowSize {
		return
	}
	b.follow(windowMean, now.Sub(b.windowStart), riseTime)
	b.known = true
	b.windowSum, b.windowCount = 0, 0
}

// follow moves the mean towards that of a window of the given duration.
func (b *baseline) follow(windowMean, duration, riseTime time.Duration) {
	weight := baselineFallWeight
	if windowMean > b.mean {
		weight = 1 - math.Exp(-duration.Seconds()/riseTime.Seconds())
	}
	b.mean += time.Duration(weight * float64(windowMean-b.mean))
}

// average is an exponentially weighted mean of durations.
type average struct {
	value time.Duration
}

// add adds one value with the weight 1/inverseWeight.
func (a *average) add(d, inverseWeight time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / inverseWeight
}
