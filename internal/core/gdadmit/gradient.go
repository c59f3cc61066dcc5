package gdadmit

import (
	"math"
	"time"
)

const (
	// gradientTolerance is the rise of the recent latency over the warm one that
	// does not yet lower the limit.
	gradientTolerance = 1.5
	// gradientFloor bounds how far one sample pulls the limit down.
	gradientFloor = 0.5
	// gradientQueue is the number of requests that the limit allows beyond what
	// the latencies suggest, so that it can grow at all.
	gradientQueue = 1
	// gradientShare is the weight of one sample.
	gradientShare = 0.2
)

// Gradient moves the limit with the ratio of the warm latency to the recent one.
// It shares the slow start of [AIMD]. Its zero value is ready.
type Gradient struct {
	slowStart
}

// Observe implements [Limiter].
func (g *Gradient) Observe(now time.Time, s Sample) {
	switch g.judge(now, s) {
	case verdictBad:
		g.set(g.limit * badBackoff)
	case verdictRaised:
		g.good = 0
		g.set(min(g.limit, g.target()))
	case verdictGood:
		g.observeGood(now, s)
	}
}

// observeGood grows by steps while the upstream counts as cold.
func (g *Gradient) observeGood(now time.Time, s Sample) {
	grows := g.step(now, s)
	switch {
	case g.hold == 0 && s.saturated:
		g.set(g.target())
	case grows:
		g.set(math.Floor(g.limit) + 1)
	}
}

// target returns the limit that the latencies suggest, one smoothed step away.
func (g *Gradient) target() float64 {
	ratio := gradientTolerance * float64(g.base.mean) / float64(max(g.recent.value, 1))
	ratio = min(max(ratio, gradientFloor), 1)
	wanted := g.limit*ratio + gradientQueue
	return g.limit + gradientShare*(wanted-g.limit)
}
