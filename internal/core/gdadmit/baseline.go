package gdadmit

import (
	"math"
	"time"
)

const (
	// windowSamples is the number of latencies whose mean moves the baseline.
	windowSamples = 16
	// baselineFall is the share by which the baseline follows a lower mean.
	baselineFall = 1.0 / 8
	// warmRise is the time constant with which the baseline follows a higher mean
	// of a warm upstream, so that latency which grows bit by bit is accepted.
	warmRise = 5 * time.Second
	// coldRise is the same for an upstream that looks cold. It is longer than a
	// usual ramp, so that a cold upstream is not soon taken for a warm one that
	// has become slower.
	coldRise = 60 * time.Second
)

// baseline estimates the mean latency of the warm upstream. It follows lower
// latencies soon and higher ones slowly. Until the first window is full it is
// the mean of what has come.
type baseline struct {
	mean  time.Duration
	sum   time.Duration
	n     int
	since time.Time
	known bool
}

// add takes in one latency. Rise is the time constant for higher means.
func (b *baseline) add(now time.Time, latency, rise time.Duration) {
	if b.n == 0 {
		b.since = now
	}
	b.sum += latency
	b.n++
	window := b.sum / time.Duration(b.n)
	if !b.known {
		b.mean = window
	}
	if b.n < windowSamples {
		return
	}
	b.follow(window, now.Sub(b.since), rise)
	b.known = true
	b.sum, b.n = 0, 0
}

// follow moves the mean towards that of a window which lasted the given time.
func (b *baseline) follow(window, lasted, rise time.Duration) {
	share := baselineFall
	if window > b.mean {
		share = 1 - math.Exp(-lasted.Seconds()/rise.Seconds())
	}
	b.mean += time.Duration(share * float64(window-b.mean))
}

// average is an exponentially weighted mean of durations.
type average struct {
	value time.Duration
}

// add takes in one value, whose weight is the inverse of share.
func (a *average) add(d, share time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / share
}
