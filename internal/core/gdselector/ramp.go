package gdselector

import "time"

// rampFloor is the share with which a returning upstream begins. It is above 0,
// so that the upstream gets the work that warms it.
const rampFloor = 0.05

// RampWeight returns the share, above 0 and up to 1, of its configured weight
// that an upstream has at now when it returned at since and regains its full
// weight over ramp. A zero since means that it never left.
func RampWeight(now, since time.Time, ramp time.Duration) float64 {
	if since.IsZero() || ramp <= 0 {
		return 1
	}
	share := float64(now.Sub(since)) / float64(ramp)
	return min(max(share, rampFloor), 1)
}
