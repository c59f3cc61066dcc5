package gddedup

import (
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// DefaultRetention is how long a key is valid after it was created.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxRecords bounds the number of records in the ledger.
	DefaultMaxRecords = 100_000
	// DefaultMaxStoredBytes bounds the stored bodies of all records together.
	DefaultMaxStoredBytes = 16 << 20
	// MaxBodyBytes bounds the stored body of one record.
	MaxBodyBytes = 64 << 10
	// MaxWaiters bounds the attempts that wait for one run.
	MaxWaiters = 8
	// MaxFutureSkew is how far a stamped key's time may be ahead of an agent's
	// clock.
	MaxFutureSkew = 2 * time.Second
	// MaxClockSkew is the maximum difference between the clocks of two agents, and
	// between the clocks of an agent's process and its predecessor.
	MaxClockSkew = 500 * time.Millisecond
	// PauseThreshold is the longest gap between two events that is not treated as
	// a pause of the process.
	PauseThreshold = 2 * time.Second
	// ClaimTimeout bounds the collection of grants.
	ClaimTimeout = time.Second
	// defaultRetryAfter is the retry delay if no better one is known.
	defaultRetryAfter = time.Second
)

// Stats counts the decisions of a core since its start and reports its current
// state for a dump.
type Stats struct {
	Runs, Done, NotRun, Unknown, Conflicts, Joined, Relays, Questions, LedgerFull, Pauses uint64
	// Records is the current number of records in the ledger.
	Records int
	// StoredBytes is the current size of the stored bodies.
	StoredBytes int
	// Running, Claiming and Relaying are the current numbers of requests in
	// progress.
	Running, Claiming, Relaying int
	// Floor is the time up to which grants of stamped keys may have been lost. The
	// agent grants no key that was stamped up to then.
	Floor time.Time
	// Sets are the known member sets, the current one first.
	Sets []MemberSet
}

// Core decides for one agent process. Set the exported fields before the first
// event. It is not safe for concurrent use.
type Core struct {
	// Self is the agent's identifier. Incarnation is a random number that differs
	// from that of any earlier process of the agent.
	Self        gdconf.UpstreamID
	Incarnation uint32
	// Signer signs and verifies issued keys.
	Signer *Signer
	// Retention is how long keys are valid; zero means DefaultRetention. It must
	// be the same at all agents.
	Retention time.Duration
	// MaxRecords bounds the ledger; zero means DefaultMaxRecords.
	MaxRecords int
	// MaxStoredBytes bounds the stored bodies; zero means DefaultMaxStoredBytes.
	MaxStoredBytes int
	// Rand generates the nonces of issued keys.
	Rand *rand.Rand

	now            time.Time // the latest time observed; never decreases
	floor          time.Time // grants of stamped keys up to this time may have been lost
	closedUntil    time.Time // issued keys created up to this time and not in the ledger never run
	lastClaimRound uint32    // number of the latest claim
	service        gdconf.ServiceID
	members        membership
	ledger         ledger
	running        map[uint64]*record // by the running request
	claims         map[uint64]*record // by the request for which grants are collected
	relays         map[uint64]Request // by the relayed request
	stats          Stats
}

// Stats returns the counters and the current state.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Records = len(c.ledger.records)
	s.StoredBytes = c.ledger.bytes
	s.Running, s.Claiming, s.Relaying = len(c.running), len(c.claims), len(c.relays)
	s.Floor = c.floor
	s.Sets = c.members.memberSets()
	return s
}

// advance records the current time. It returns it, or the latest time observed
// if the clock was set back.
func (c *Core) advance(now time.Time) time.Time {
	// The monotonic clock may stand still while the machine is suspended.
	now = now.Round(0)
	switch {
	case c.now.IsZero():
		c.setDefaults()
		// A predecessor may continue for PauseThreshold before it notices its pause.
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

func (c *Core) setDefaults() {
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

// SetView applies a new active configuration.
func (c *Core) SetView(now time.Time, v *gdconf.View) []Action {
	now = c.advance(now)
	if u, ok := v.Upstream(c.Self); ok && u.Service().ID() != c.service {
		c.service = u.Service().ID()
		c.members = membership{}
	}
	if s, ok := v.Service(c.service); ok {
		c.members.setService(now, s)
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

// Tick removes expired records and aborts claims that have timed out.
func (c *Core) Tick(now time.Time) []Action {
	now = c.advance(now)
	c.expire(now)
	return c.expireClaims(now)
}

func (c *Core) expire(now time.Time) {
	c.ledger.expire(now)
	c.members.expire(now.Add(-c.Retention))
}

// NextTick returns the time by which Tick must be called.
func (c *Core) NextTick() time.Time { return c.now.Add(PauseThreshold / 4) }
