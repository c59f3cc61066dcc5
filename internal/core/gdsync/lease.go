package gdsync

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaseAbove is the number of missing values above which a process reads
	// them only under a lease. The usual change has one or two.
	leaseAbove = 4
	// leaseDelay is the time between the first word of a lease and the first
	// read under it, in which the leases of other readers arrive.
	leaseDelay = 400 * time.Millisecond
	// leaseHold is the time for which a lease that is heard of keeps a process
	// from reading.
	leaseHold = 6 * time.Second
	// leaseRenew is the time after which a reader renews its lease.
	leaseRenew = 2 * time.Second
)

// Lease says which process reads the values of an index from the platform, so
// that the others need not. It is advisory: two readers cost calls and no harm.
type Lease struct {
	// Revision and Fingerprint identify the index.
	Revision    uint64
	Fingerprint uint64
	// Reader is the name of the process that reads.
	Reader string
	// Sequence grows with each renewal.
	Sequence uint32
}

// AnnounceLease tells a peer of a lease.
type AnnounceLease struct {
	To    Member
	Lease Lease
}

func (AnnounceLease) action() {}

// rank orders the readers of one index at random; the lowest one reads.
func (l Lease) rank() uint64 {
	return xxhash.Sum64String(l.Reader) ^ l.Fingerprint
}

// supersedes reports whether the lease is to be taken in place of the other.
func (l Lease) supersedes(other Lease) bool {
	switch {
	case l.Revision != other.Revision:
		return l.Revision > other.Revision
	case l.Fingerprint != other.Fingerprint:
		return l.Fingerprint > other.Fingerprint
	case l.Reader != other.Reader:
		return l.rank() < other.rank()
	}
	return l.Sequence > other.Sequence
}

// leasing is the lease that a process goes by.
type leasing struct {
	lease Lease
	until time.Time
	// readAt is when the process's own reading begins, renewAt when it renews
	// its own lease.
	readAt  time.Time
	renewAt time.Time
}

// LeaseReceived takes in a lease that a peer told of, and tells it on at first sight.
func (c *Core) LeaseReceived(now time.Time, from string, l Lease) []Action {
	held := now.Before(c.leasing.until)
	if l.Revision < c.state.Version().Revision() || (held && !l.supersedes(c.leasing.lease)) {
		return nil
	}
	if c.mine() {
		c.reading.missing = nil // a reader of a lower rank goes on
	}
	c.leasing = leasing{lease: l, until: now.Add(leaseHold)}
	return c.announce(from)
}

// mine reports whether the process itself reads under the lease.
func (c *Core) mine() bool { return c.leasing.lease.Reader == c.Self && !c.leasing.renewAt.IsZero() }

// lease takes the lease of the index that was read, or leaves the reading to
// the process that holds it.
func (c *Core) lease(now time.Time) []Action {
	l := Lease{Revision: c.reading.index.Revision, Fingerprint: c.reading.print, Reader: c.Self}
	held := c.leasing.lease
	if now.Before(c.leasing.until) && held.Fingerprint == l.Fingerprint && held.Reader != c.Self {
		c.reading.missing = nil
		return nil
	}
	c.leasing = leasing{
		lease: l, until: now.Add(leaseHold),
		readAt: now.Add(leaseDelay), renewAt: now.Add(leaseRenew),
	}
	return c.announce("")
}

// leaseTick begins the reading and renews the lease when that is due.
func (c *Core) leaseTick(now time.Time) []Action {
	if !c.mine() || len(c.reading.missing) == 0 {
		c.leasing.readAt, c.leasing.renewAt = time.Time{}, time.Time{}
		return nil
	}
	var acts []Action
	if due(now, c.leasing.readAt) {
		c.leasing.readAt = time.Time{}
		acts = append(acts, c.nextBatch(now)...)
	}
	if due(now, c.leasing.renewAt) {
		c.leasing.lease.Sequence++
		c.leasing.until = now.Add(leaseHold)
		c.leasing.renewAt = now.Add(leaseRenew)
		acts = append(acts, c.announce("")...)
	}
	return acts
}

func (c *Core) announce(from string) []Action {
	var acts []Action
	for _, m := range c.members.sample(c.Rand, c.Fanout, from) {
		acts = append(acts, AnnounceLease{To: m, Lease: c.leasing.lease})
	}
	return acts
}
