package gdselector

import "time"

// minRampWeight is the weight at which a returning upstream begins. It is above 0 so that
// the upstream gets requests that warm it up.
const minRampWeight = 0.05

// RampWeight returns the fraction, above 0 and up to 1, of its configured weight that
// an upstream has at now if it returned at the given time and regains its full weight
// over ramp. A zero returned means that it never left.
func RampWeight(now, returned time.Time, ramp time.Duration) float64 {
	if returned.IsZero() || ramp <= 0 {
		return 1
	}
	weight := float64(now.Sub(returned)) / float64(ramp)
	return min(max(weight, minRampWeight), 1)
}
