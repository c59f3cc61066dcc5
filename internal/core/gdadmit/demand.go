package gdadmit

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant with which the counters decay.
	demandTimeConstant = time.Second
	// demandPriorities is the number of counters. Priorities beyond it share the last
	// one.
	demandPriorities = 10
	// maxUrgentShare limits the share of the upstream that is reserved for more urgent
	// arrivals, so that the estimate of a wait stays finite.
	maxUrgentShare = 0.95
)

// demand measures the arrival rate of each priority with decaying counters.
type demand struct {
	counts    [demandPriorities]float64
	lastDecay time.Time
}

// add counts one arrival.
func (d *demand) add(now time.Time, priority int) {
	d.decay(now)
	d.counts[min(max(priority, 0), demandPriorities-1)]++
}

// moreUrgentRate returns the arrivals per second of all more urgent priorities.
func (d *demand) moreUrgentRate(now time.Time, priority int) float64 {
	d.decay(now)
	sum := 0.0
	for _, n := range d.counts[:min(max(priority, 0), demandPriorities-1)] {
		sum += n
	}
	return sum / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.lastDecay)
	if elapsed <= 0 {
		return
	}
	d.lastDecay = now
	factor := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	for i := range d.counts {
		d.counts[i] *= factor
	}
}
