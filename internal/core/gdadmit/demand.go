package gdadmit

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the arrival rates.
	demandMemory = time.Second
	// demandLevels is the number of priorities that are told apart; less urgent
	// ones count with the last.
	demandLevels = 10
	// maxUrgentShare bounds the share of the upstream that is set aside for more
	// urgent arrivals, so that an estimate stays finite.
	maxUrgentShare = 0.95
)

// demand measures the arrival rate of each priority by counters that decay.
type demand struct {
	counts [demandLevels]float64
	at     time.Time
}

// add counts one arrival.
func (d *demand) add(now time.Time, priority int) {
	d.decay(now)
	d.counts[min(max(priority, 0), demandLevels-1)]++
}

// above returns the arrivals a second of all more urgent priorities.
func (d *demand) above(now time.Time, priority int) float64 {
	d.decay(now)
	sum := 0.0
	for _, n := range d.counts[:min(max(priority, 0), demandLevels-1)] {
		sum += n
	}
	return sum / demandMemory.Seconds()
}

func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.at)
	if passed <= 0 {
		return
	}
	d.at = now
	keep := math.Exp(-passed.Seconds() / demandMemory.Seconds())
	for i := range d.counts {
		d.counts[i] *= keep
	}
}
