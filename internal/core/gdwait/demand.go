package gdwait

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
)

// Demand measures the arrival rate of each priority with decaying counters.
type Demand struct {
	counts    [demandPriorities]float64
	lastDecay time.Time
}

// Add counts one arrival.
func (d *Demand) Add(now time.Time, priority int) {
	d.decay(now)
	d.counts[min(max(priority, 0), demandPriorities-1)]++
}

// MoreUrgentRate returns the arrivals per second of all more urgent priorities.
func (d *Demand) MoreUrgentRate(now time.Time, priority int) float64 {
	d.decay(now)
	sum := 0.0
	for _, n := range d.counts[:min(max(priority, 0), demandPriorities-1)] {
		sum += n
	}
	return sum / demandTimeConstant.Seconds()
}

func (d *Demand) decay(now time.Time) {
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
