package gdadmit

import (
	"math"
	"time"
)

const (
	// badBackoff multiplies the limit after a bad outcome.
	badBackoff = 0.5
	// raisedBackoff multiplies the limit after a run of raised latencies.
	raisedBackoff = 0.75
	// raisedPerStep is the length of such a run in outcomes.
	raisedPerStep = 8
)

// AIMD is a [Limiter] with additive increase and multiplicative decrease: it raises
// the limit by one after a run of good outcomes, and multiplies it by a factor below
// one on bad outcomes and on raised latency. The zero value is ready to use.
type AIMD struct {
	slowStart
	raised int
}

// Observe implements [Limiter].
func (a *AIMD) Observe(now time.Time, s Sample) {
	switch a.classify(now, s) {
	case verdictBad:
		a.setLimit(a.limit * badBackoff)
	case verdictRaised:
		a.observeRaised()
	case verdictGood:
		a.raised = 0
		if a.mayGrow(now, s) {
			a.setLimit(math.Floor(a.limit) + 1)
		}
	}
}

func (a *AIMD) observeRaised() {
	a.good = 0
	a.raised++
	if a.raised < raisedPerStep {
		return
	}
	a.raised = 0
	a.setLimit(a.limit * raisedBackoff)
}
