package gdsync

import "time"

const (
	// minReadInterval is the least time between two reads of one process.
	minReadInterval = time.Second
	// hostsShare is the part of the fleet's platform calls that reads the list
	// of hosts.
	hostsShare = 0.1
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
	return c.DigestEvery/2 + time.Duration(c.Rand.Float64()*float64(c.DigestEvery))
}
