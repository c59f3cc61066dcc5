package gdadmit

import (
	"math"
	"time"
)

const (
	// gradientTolerance is the ratio of the recent to the warm latency up to which
	// the limit is not lowered.
	gradientTolerance = 1.5
	// gradientFloor limits how far one sample lowers the limit.
	gradientFloor = 0.5
	// gradientQueue is the number of requests that are added to the limit computed
	// from the latencies, so that the limit can grow.
	gradientQueue = 1
	// gradientWeight is the weight of one sample in the smoothed limit.
	gradientWeight = 0.2
)

// Gradient is a [Limiter] that adjusts the limit by the ratio of the warm latency to
// the recent one. It has the slow start of [AIMD]. The zero value is ready to use.
type Gradient struct {
	slowStart
}

// Observe implements [Limiter].
func (g *Gradient) Observe(now time.Time, s Sample) {
	switch g.classify(now, s) {
	case verdictBad:
		g.setLimit(g.limit * badBackoff)
	case verdictRaised:
		g.good = 0
		g.setLimit(min(g.limit, g.target()))
	case verdictGood:
		g.observeGood(now, s)
	}
}

// observeGood raises the limit in steps while the upstream counts as cold.
func (g *Gradient) observeGood(now time.Time, s Sample) {
	grow := g.mayGrow(now, s)
	switch {
	case g.growInterval == 0 && s.saturated:
		g.setLimit(g.target())
	case grow:
		g.setLimit(math.Floor(g.limit) + 1)
	}
}

// target returns the limit computed from the latencies, smoothed by one step.
func (g *Gradient) target() float64 {
	ratio := gradientTolerance * float64(g.baseline.mean) / float64(max(g.recent.value, 1))
	ratio = min(max(ratio, gradientFloor), 1)
	unsmoothed := g.limit*ratio + gradientQueue
	return g.limit + gradientWeight*(unsmoothed-g.limit)
}
