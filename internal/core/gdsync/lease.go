package gdsync

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxValuesWithoutLease is the number of missing values above which a process
	// reads them only under a lease. A typical change has one or two.
	maxValuesWithoutLease = 4
	// leaseDelay is the delay between the announcement of a lease and the first
	// read under it. Leases of other readers arrive in that time.
	leaseDelay = 400 * time.Millisecond
	// leaseTTL is how long a lease prevents other processes from reading.
	leaseTTL = 6 * time.Second
	// leaseRenewInterval is the interval at which a reader renews its lease.
	leaseRenewInterval = 2 * time.Second
)

// Lease names the process that reads the values of an index from the platform,
// so that the others need not read them. It is advisory: a second reader costs
// platform calls but does no harm.
type Lease struct {
	// Revision and Fingerprint identify the index.
	Revision    uint64
	Fingerprint uint64
	// Reader is the name of the process that reads the values.
	Reader string
	// Sequence increases with each renewal.
	Sequence uint32
}

// AnnounceLease sends a lease to a peer.
type AnnounceLease struct {
	To    Member
	Lease Lease
}

func (AnnounceLease) action() {}

// rank orders the readers of one index pseudorandomly; the lowest one reads.
func (l Lease) rank() uint64 {
	return xxhash.Sum64String(l.Reader) ^ l.Fingerprint
}

// supersedes reports whether the lease replaces the other one.
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

// leaseState is the lease that this process currently observes, its own or a peer's.
type leaseState struct {
	lease     Lease
	expiresAt time.Time
	// readAt is when the process starts to read under its own lease, renewAt when
	// it renews that lease.
	readAt  time.Time
	renewAt time.Time
}

// LeaseReceived handles a lease from a peer. It forwards a lease that it has
// not received before.
func (c *Core) LeaseReceived(now time.Time, from string, l Lease) []Action {
	held := now.Before(c.leasing.expiresAt)
	if l.Revision < c.state.Version().Revision() || (held && !l.supersedes(c.leasing.lease)) {
		return nil
	}
	if c.holdsLease() {
		c.fetch.missing = nil // a reader with a lower rank continues
	}
	c.leasing = leaseState{lease: l, expiresAt: now.Add(leaseTTL)}
	return c.announceLease(from)
}

// holdsLease reports whether this process is the reader.
func (c *Core) holdsLease() bool {
	return c.leasing.lease.Reader == c.Self && !c.leasing.renewAt.IsZero()
}

// acquireLease acquires the lease of the index that was read, or drops the
// fetch if another process holds the lease.
func (c *Core) acquireLease(now time.Time) []Action {
	l := Lease{Revision: c.fetch.index.Revision, Fingerprint: c.fetch.fingerprint, Reader: c.Self}
	held := c.leasing.lease
	if now.Before(c.leasing.expiresAt) && held.Fingerprint == l.Fingerprint && held.Reader != c.Self {
		c.fetch.missing = nil
		return nil
	}
	c.leasing = leaseState{
		lease: l, expiresAt: now.Add(leaseTTL),
		readAt: now.Add(leaseDelay), renewAt: now.Add(leaseRenewInterval),
	}
	return c.announceLease("")
}

// tickLease starts the reading of values and renews the lease when due.
func (c *Core) tickLease(now time.Time) []Action {
	if !c.holdsLease() || len(c.fetch.missing) == 0 {
		c.leasing.readAt, c.leasing.renewAt = time.Time{}, time.Time{}
		return nil
	}
	var acts []Action
	if due(now, c.leasing.readAt) {
		c.leasing.readAt = time.Time{}
		acts = append(acts, c.readNextBatch(now)...)
	}
	if due(now, c.leasing.renewAt) {
		c.leasing.lease.Sequence++
		c.leasing.expiresAt = now.Add(leaseTTL)
		c.leasing.renewAt = now.Add(leaseRenewInterval)
		acts = append(acts, c.announceLease("")...)
	}
	return acts
}

func (c *Core) announceLease(from string) []Action {
	var acts []Action
	for _, m := range c.members.sample(c.Rand, c.Fanout, from) {
		acts = append(acts, AnnounceLease{To: m, Lease: c.leasing.lease})
	}
	return acts
}
