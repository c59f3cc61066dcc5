package gdadmit

import (
	"math"
	"time"
)

const (
	// badBackoff is the factor of the limit after a bad outcome.
	badBackoff = 0.5
	// raisedBackoff is the factor of the limit after a run of raised latencies.
	raisedBackoff = 0.75
	// raisedRun is the number of raised outcomes between two such steps.
	raisedRun = 8
)

// AIMD raises the limit by one after a run of good outcomes and lowers it by a
// factor on bad outcomes and on raised latency. Its zero value is ready.
type AIMD struct {
	slowStart
	raised int
}

// Observe implements [Limiter].
func (a *AIMD) Observe(now time.Time, s Sample) {
	switch a.judge(now, s) {
	case verdictBad:
		a.set(a.limit * badBackoff)
	case verdictRaised:
		a.observeRaised()
	case verdictGood:
		a.raised = 0
		if a.step(now, s) {
			a.set(math.Floor(a.limit) + 1)
		}
	}
}

func (a *AIMD) observeRaised() {
	a.good = 0
	a.raised++
	if a.raised < raisedRun {
		return
	}
	a.raised = 0
	a.set(a.limit * raisedBackoff)
}
