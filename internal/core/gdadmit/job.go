package gdadmit

import "time"

// job is a waiting or running request.
type job struct {
	Request
	// startBy is the latest useful start time.
	startBy time.Time
	started time.Time
	// saturated is true if the limit was reached when the job started.
	saturated bool
	// headerSampled is true if the response header has arrived and its latency was
	// sampled.
	headerSampled bool
	// lateSampled is true if the late header was sampled as a bad outcome.
	lateSampled bool
	// stalled is true if a pause of this process has made the job's times meaningless.
	stalled bool
}

func (j job) before(other job) bool { return j.priority < other.priority }

const (
	// waitDivisor is the inverse of the share of a request's time that may pass before
	// its start.
	waitDivisor = 2
	// relayedWaitDivisor is the same for a relayed request. It is larger because such a
	// request has already waited and this upstream should have free capacity.
	relayedWaitDivisor = 8
)

// latestStart returns the latest useful start time of a request: at most a share of
// the request's time, and at most maxWait, may pass before it.
func latestStart(now time.Time, r Request, maxWait time.Duration) time.Time {
	if r.deadline.IsZero() {
		return now.Add(maxWait)
	}
	divisor := time.Duration(waitDivisor)
	if r.hops > 0 {
		divisor = relayedWaitDivisor
	}
	return now.Add(min(r.deadline.Sub(now)/divisor, maxWait))
}

// inTime reports whether the request would be served in time if it started at start
// and held its slot for slotTime.
func (j job) inTime(start time.Time, slotTime time.Duration) bool {
	if start.After(j.startBy) {
		return false
	}
	return j.deadline.IsZero() || !start.Add(slotTime).After(j.deadline)
}
