package gdsync

import "time"

const (
	// minReadInterval is the least time between two reads of one process.
	minReadInterval = time.Second
	// hostsShare is the part of the fleet's platform calls that reads the list
	// of hosts.
	hostsShare = 0.1
	// maxBackoff bounds the doublings of the time between failed calls.
	maxBackoff = 6
)

// fleet returns the number of processes, as far as known.
func (c *Core) fleet() float64 { return float64(c.members.size()) }

// readInterval returns the time to the next read of the index, so that the
// whole fleet's reads come to the index's share of the budget.
func (c *Core) readInterval() time.Duration {
	return c.interval((1 - hostsShare) * c.ReadsPerSecond)
}

func (c *Core) hostsInterval() time.Duration {
	return c.interval(hostsShare * c.ReadsPerSecond)
}

// failed takes in a failed call to the platform. While the list of hosts is not
// known, neither is the fleet's size, and only the back-off bounds its calls.
func (c *Core) failed(now time.Time, err error) {
	c.status.PlatformError = err.Error()
	if c.members.hosts != nil {
		return
	}
	c.failures = min(c.failures+1, maxBackoff)
	least := minReadInterval << c.failures
	c.nextRead = later(c.nextRead, now.Add(least/2+time.Duration(c.Rand.Float64()*float64(least))))
	c.nextHosts = later(c.nextHosts, now.Add(least/2+time.Duration(c.Rand.Float64()*float64(least))))
}

// later returns the later time, but leaves a timer that is not set alone.
func later(t, least time.Time) time.Time {
	if t.IsZero() || t.After(least) {
		return t
	}
	return least
}

// interval draws a time whose mean is the fleet's size over the fleet's rate,
// and at least minReadInterval.
func (c *Core) interval(rate float64) time.Duration {
	mean := c.fleet() / rate * float64(time.Second)
	return minReadInterval + time.Duration(max(0, mean-float64(minReadInterval))*c.Rand.ExpFloat64()) +
		time.Duration(c.Rand.Float64()*float64(minReadInterval)/4)
}

// firstRead returns the time that a new process without an answer from its
// peers waits before it reads the platform. A whole fleet that starts at once
// stays within the budget.
func (c *Core) firstRead() time.Duration {
	mean := (c.fleet() - 1) / c.ReadsPerSecond * float64(time.Second)
	return time.Duration(mean * c.Rand.ExpFloat64())
}

// digestInterval returns the time to the next digest, spread over half its
// mean to either side.
func (c *Core) digestInterval() time.Duration {
	return c.DigestInterval/2 + time.Duration(c.Rand.Float64()*float64(c.DigestInterval))
}
