package gddedup

import (
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// DefaultRetention is how long a key can be used after it was made.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxRecords bounds the ledger.
	DefaultMaxRecords = 100_000
	// DefaultMaxStoredBytes bounds the kept bodies of all records together.
	DefaultMaxStoredBytes = 16 << 20
	// MaxBodyBytes bounds the kept body of one record.
	MaxBodyBytes = 64 << 10
	// MaxWaiters bounds the attempts that wait for one run.
	MaxWaiters = 8
	// MaxFutureSkew is how far a stamped key's time may lie ahead of an
	// agent's clock.
	MaxFutureSkew = 2 * time.Second
	// MaxClockSkew is the largest difference between the clocks of two agents, and
	// between the clocks of an agent and of the process that it replaces.
	MaxClockSkew = 500 * time.Millisecond
	// PauseThreshold is the longest silence between two events that is not taken for
	// a pause of the process.
	PauseThreshold = 2 * time.Second
	// ClaimTimeout bounds the time in which grants are collected.
	ClaimTimeout = time.Second
	// retryAfter is the time after which to come back when no better one is known.
	retryAfter = time.Second
)

// Stats counts what a core has decided since its start, and holds the state that
// a dump shows.
type Stats struct {
	Runs, Done, NotRun, Unknown, Conflicts, Joined, Relays, Questions, LedgerFull, Pauses uint64
	// Records is the number of records in the ledger now.
	Records int
	// StoredBytes is the size of the kept bodies now.
	StoredBytes int
	// Running, Claiming and Relaying are the requests in progress now.
	Running, Claiming, Relaying int
	// Floor is the time up to which stamped keys are not vouched for.
	Floor time.Time
	// Sets are the known member sets, the one in force first.
	Sets []MemberSet
}

// Core decides for one agent process. The exported fields are set before the
// first event. It is not safe for concurrent use.
type Core struct {
	// Self is the agent's identifier, and Incarnation a random number that this
	// process shares with no earlier process of the agent.
	Self        gdconf.UpstreamID
	Incarnation uint32
	// Signer signs and checks issued keys.
	Signer *Signer
	// Retention is how long keys can be used; zero means DefaultRetention. All
	// agents have the same.
	Retention time.Duration
	// MaxRecords bounds the ledger; zero means DefaultMaxRecords.
	MaxRecords int
	// MaxStoredBytes bounds the kept bodies; zero means DefaultMaxStoredBytes.
	MaxStoredBytes int
	// Rand draws the nonces of issued keys.
	Rand *rand.Rand

	now     time.Time // the latest time seen; it never goes back
	floor   time.Time // stamped keys up to it may have been granted and forgotten
	closed  time.Time // issued keys made up to it and not in the ledger never run
	round   uint32    // of the latest claim
	service gdconf.ServiceID
	members membership
	ledger  ledger
	running map[uint64]*record // by the request that is run
	claims  map[uint64]*record // by the request that collects grants
	relays  map[uint64]Request // by the request that is relayed
	stats   Stats
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Records = len(c.ledger.records)
	s.StoredBytes = c.ledger.bytes
	s.Running, s.Claiming, s.Relaying = len(c.running), len(c.claims), len(c.relays)
	s.Floor = c.floor
	s.Sets = c.members.known()
	return s
}

// advance takes the present time and returns it, or the latest time seen when
// the clock was set back.
func (c *Core) advance(now time.Time) time.Time {
	// A monotonic reading may stand still while the machine is suspended.
	now = now.Round(0)
	switch {
	case c.now.IsZero():
		c.start()
		// A predecessor may go on for PauseLimit before it notices its pause.
		c.floor = now.Add(MaxFutureSkew + MaxClockSkew + PauseThreshold)
	case now.Sub(c.now) > PauseThreshold:
		c.stats.Pauses++
		c.floor = now.Add(MaxFutureSkew + MaxClockSkew)
	}
	if now.After(c.now) {
		c.now = now
	}
	return c.now
}

func (c *Core) start() {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxStoredBytes == 0 {
		c.MaxStoredBytes = DefaultMaxStoredBytes
	}
	c.ledger.max = c.MaxRecords
	c.running = make(map[uint64]*record)
	c.claims = make(map[uint64]*record)
	c.relays = make(map[uint64]Request)
}

// SetView takes a new configuration in force.
func (c *Core) SetView(now time.Time, v *gdconf.View) []Action {
	now = c.advance(now)
	if u, ok := v.Upstream(c.Self); ok && u.Service().ID() != c.service {
		c.service = u.Service().ID()
		c.members = membership{}
	}
	if s, ok := v.Service(c.service); ok {
		c.members.set(now, s)
	}
	return nil
}

// Issue returns a key that only this process will run.
func (c *Core) Issue(now time.Time, service gdconf.ServiceID) Key {
	now = c.advance(now)
	k := Key{
		service: service,
		home:    c.Self,
		process: c.Incarnation,
		stamp:   now.Add(c.Retention).Truncate(time.Millisecond),
	}
	return c.Signer.issue(k, c.Rand.Uint64())
}

// Tick expires records and gives up on claims that take too long.
func (c *Core) Tick(now time.Time) []Action {
	now = c.advance(now)
	c.expire(now)
	return c.expireClaims(now)
}

func (c *Core) expire(now time.Time) {
	c.ledger.expire(now)
	c.members.expire(now.Add(-c.Retention))
}

// NextTick returns the time by which Tick is to be called.
func (c *Core) NextTick() time.Time { return c.now.Add(PauseThreshold / 4) }
