package gdadmit

import "time"

// job is a request that waits or runs.
type job struct {
	Request
	// startBy is the last moment at which a start is of use to the caller.
	startBy time.Time
	started time.Time
	// saturated says that the limit was reached when the job started.
	saturated bool
	// answered says that the response header has come and its latency was
	// sampled.
	answered bool
	// late says that the lateness of the header was sampled as a bad outcome.
	late bool
	// stalled says that a pause of this process has spoilt the job's times.
	stalled bool
}

func (j job) before(other job) bool { return j.priority < other.priority }

const (
	// waitShare is the share of a request's time, as its inverse, that may pass
	// before its start.
	waitShare = 2
	// relayedShare is the same for a request that was relayed here, where there
	// should be room: it has waited before.
	relayedShare = 8
)

// lastStart returns the last useful moment for a start: only a share of the
// request's time may be gone, and not more than maxWait.
func lastStart(now time.Time, r Request, maxWait time.Duration) time.Time {
	if r.deadline.IsZero() {
		return now.Add(maxWait)
	}
	share := time.Duration(waitShare)
	if r.hops > 0 {
		share = relayedShare
	}
	return now.Add(min(r.deadline.Sub(now)/share, maxWait))
}

// inTime reports whether a start at the given moment is of use, when serving
// takes the given time.
func (j job) inTime(start time.Time, service time.Duration) bool {
	if start.After(j.startBy) {
		return false
	}
	return j.deadline.IsZero() || !start.Add(service).After(j.deadline)
}
