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
	// baselineRise is the time constant with which the baseline follows a higher
	// mean. It is longer than a usual ramp, so that an upstream in cold start is
	// not taken for a warm one that has become slower.
	baselineRise = 60 * time.Second
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

// add takes in one latency.
func (b *baseline) add(now time.Time, latency time.Duration) {
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
	b.follow(window, now.Sub(b.since))
	b.known = true
	b.sum, b.n = 0, 0
}

// follow moves the mean towards that of a window which lasted the given time.
func (b *baseline) follow(window, lasted time.Duration) {
	share := baselineFall
	if window > b.mean {
		share = 1 - math.Exp(-lasted.Seconds()/baselineRise.Seconds())
	}
	b.mean += time.Duration(share * float64(window-b.mean))
}

// average is an exponentially weighted mean of durations.
type average struct {
	value time.Duration
}

// averageShare is the weight of the newest value.
const averageShare = 8

func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / averageShare
}
