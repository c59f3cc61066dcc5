package gdsync

import "time"

const (
	// minReadInterval is the minimum interval between two reads of one process.
	minReadInterval = time.Second
	// hostsReadShare is the fraction of the fleet's platform calls that read the
	// list of hosts.
	hostsReadShare = 0.1
	// maxBackoffDoublings bounds how often the delay after a failed call is
	// doubled.
	maxBackoffDoublings = 6
)

// fleetSize returns the number of known processes.
func (c *Core) fleetSize() float64 { return float64(c.members.size()) }

// indexReadInterval returns the interval to the next read of the index, such
// that the reads of the whole fleet use up the index's share of the budget.
func (c *Core) indexReadInterval() time.Duration {
	return c.randomInterval((1 - hostsReadShare) * c.ReadsPerSecond)
}

func (c *Core) hostsReadInterval() time.Duration {
	return c.randomInterval(hostsReadShare * c.ReadsPerSecond)
}

// platformFailed handles a failed call to the platform. Until the list of hosts
// is known, the size of the fleet is unknown too, and only the back-off limits
// the rate of calls.
func (c *Core) platformFailed(now time.Time, err error) {
	c.status.PlatformError = err.Error()
	if c.members.hosts != nil {
		return
	}
	c.failures = min(c.failures+1, maxBackoffDoublings)
	delay := minReadInterval << c.failures
	c.nextIndexRead = postpone(c.nextIndexRead, now.Add(delay/2+time.Duration(c.Rand.Float64()*float64(delay))))
	c.nextHostsRead = postpone(c.nextHostsRead, now.Add(delay/2+time.Duration(c.Rand.Float64()*float64(delay))))
}

// postpone returns t, or earliest if t is before that. A timer that is not set
// stays unset.
func postpone(t, earliest time.Time) time.Time {
	if t.IsZero() || t.After(earliest) {
		return t
	}
	return earliest
}

// randomInterval returns a random interval of at least minReadInterval, whose
// mean is the size of the fleet divided by the fleet's rate of reads.
func (c *Core) randomInterval(rate float64) time.Duration {
	mean := c.fleetSize() / rate * float64(time.Second)
	return minReadInterval + time.Duration(max(0, mean-float64(minReadInterval))*c.Rand.ExpFloat64()) +
		time.Duration(c.Rand.Float64()*float64(minReadInterval)/4)
}

// firstReadDelay returns how long a new process without a reply from its peers
// waits before it reads the platform. It keeps a fleet that starts all at once
// within the budget.
func (c *Core) firstReadDelay() time.Duration {
	mean := (c.fleetSize() - 1) / c.ReadsPerSecond * float64(time.Second)
	return time.Duration(mean * c.Rand.ExpFloat64())
}

// digestInterval returns the interval to the next digest, uniformly distributed
// between half the mean and one and a half times the mean.
func (c *Core) digestInterval() time.Duration {
	return c.DigestInterval/2 + time.Duration(c.Rand.Float64()*float64(c.DigestInterval))
}
