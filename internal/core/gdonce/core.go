package gdonce

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
	// FutureTolerance is how far a stamped key's time may lie ahead of an
	// agent's clock.
	FutureTolerance = 2 * time.Second
	// ClockError is the largest difference between the clocks of two agents, and
	// between the clocks of an agent and of the process that it replaces.
	ClockError = 500 * time.Millisecond
	// PauseLimit is the longest silence between two events that is not taken for
	// a pause of the process.
	PauseLimit = 2 * time.Second
	// ClaimTimeout bounds the time in which grants are collected.
	ClaimTimeout = time.Second
	// retryAfter is the time after which to come back when no better one is known.
	retryAfter = time.Second
)

// Stats counts what a core has decided since its start.
type Stats struct {
	Runs, Done, NotRun, Unknown, Conflicts, Joined, Relays, Questions, LedgerFull, Pauses uint64
	// Records is the number of records in the ledger now.
	Records int
	// StoredBytes is the size of the kept bodies now.
	StoredBytes int
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
		c.floor = now.Add(FutureTolerance + ClockError + PauseLimit)
	case now.Sub(c.now) > PauseLimit:
		c.stats.Pauses++
		c.floor = now.Add(FutureTolerance + ClockError)
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
	if u, ok := v.Upstream(c.Self); ok {
		c.service = u.Service().ID()
	}
	s, ok := v.Service(c.service)
	if ok {
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

// Arrive takes a request.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	now = c.advance(now)
	c.expire(now)
	k, err := c.Signer.Parse(r.Key)
	switch {
	case err == errForged:
		return c.unknown(ReasonKeyForged, r.ID)
	case err != nil:
		return c.refuse(now, ReasonKeyKind, 0, r.ID)
	case k.issued && k.service != r.Service:
		return c.conflict(r.ID)
	case r.Service != c.service:
		return c.unknown(ReasonWrongService, r.ID)
	case k.issued:
		return c.arriveIssued(now, r, k)
	}
	return c.arriveStamped(now, r, k)
}

func (c *Core) arriveIssued(now time.Time, r Request, k Key) []Action {
	if k.home != c.Self {
		return c.relayIssued(now, r, k)
	}
	if k.process != c.Incarnation {
		return c.lookup(now, r, k, ReasonHomeRestarted)
	}
	if rec := c.ledger.records[k.ident]; rec != nil {
		return c.join(now, r, rec)
	}
	if !now.Before(k.stamp) {
		return c.unknown(ReasonKeyExpired, r.ID)
	}
	if c.ledger.full() {
		c.makeRoom(now)
	}
	if made := k.stamp.Add(-c.Retention); !made.After(c.closed) {
		// Without a record in the only ledger that could hold it, the key has
		// not been run, and from now on it is refused each time.
		return c.refuse(now, ReasonLedgerFull, retryAfter, r.ID)
	}
	rec := &record{key: k.ident, expires: k.stamp.UnixMilli(), digest: r.Digest, issued: true, holder: c.process()}
	c.ledger.add(rec)
	return c.run(rec, &attempts{runner: r.ID})
}

// makeRoom forgets the issued keys that were refused before a run. The mark of
// closed keys stands for them, and for each other key made before the last of
// them. When there are none, it closes the keys made up to now.
func (c *Core) makeRoom(now time.Time) {
	last, ok := c.ledger.dropClosed()
	if !ok {
		c.stats.LedgerFull++
		c.closed = now
		return
	}
	if made := last.Add(-c.Retention); made.After(c.closed) {
		c.closed = made
	}
}

func (c *Core) relayIssued(now time.Time, r Request, k Key) []Action {
	if r.Relayed || !c.members.reachable(k.home) {
		return c.lookup(now, r, k, ReasonHomeGone)
	}
	return c.relay(r, k.home)
}

func (c *Core) arriveStamped(now time.Time, r Request, k Key) []Action {
	if rec := c.ledger.records[k.ident]; rec != nil && rec.state != stateGranted && rec.state != stateReleased {
		return c.join(now, r, rec)
	}
	if !now.Before(k.stamp.Add(c.Retention)) {
		return c.unknown(ReasonKeyExpired, r.ID)
	}
	if k.stamp.After(now.Add(FutureTolerance)) {
		return c.unknown(ReasonKeyEarly, r.ID)
	}
	home := c.members.home(k.ident)
	if r.Relayed || home == c.Self || home == 0 {
		return c.claim(now, r, k)
	}
	return c.relay(r, home)
}

// join handles a further attempt of a key that this process knows.
func (c *Core) join(now time.Time, r Request, rec *record) []Action {
	if rec.digest != r.Digest {
		return c.conflict(r.ID)
	}
	switch rec.state {
	case stateClosed:
		return c.refuse(now, ReasonRefused, retryAfter, r.ID)
	case stateDone:
		return c.done(*rec.stored, r.ID)
	case stateUnknown:
		return c.unknown(ReasonRunUnknown, r.ID)
	}
	if len(rec.attempts.waiters) >= MaxWaiters {
		return c.unknown(ReasonInProgress, r.ID)
	}
	rec.attempts.waiters = append(rec.attempts.waiters, r.ID)
	c.stats.Joined++
	return []Action{Wait{Subject{r.ID}}}
}

func (c *Core) process() process { return process{c.Self, c.Incarnation} }

func (c *Core) run(rec *record, a *attempts) []Action {
	rec.state = stateRunning
	rec.attempts = a
	c.running[a.runner] = rec
	c.stats.Runs++
	return []Action{Run{Subject{a.runner}}}
}

func (c *Core) relay(r Request, home gdconf.UpstreamID) []Action {
	c.relays[r.ID] = r
	c.stats.Relays++
	return []Action{Relay{Subject{r.ID}, home}}
}

// Relayed takes the result of a relay: ok means that the home's own answer was
// passed to the caller. Otherwise the home may or may not have run the request.
func (c *Core) Relayed(now time.Time, id uint64, ok bool) []Action {
	now = c.advance(now)
	r, known := c.relays[id]
	delete(c.relays, id)
	if !known || ok {
		return nil
	}
	k, err := c.Signer.Parse(r.Key)
	if err != nil || k.issued {
		return c.lookup(now, r, k, ReasonHomeGone)
	}
	// The grants tell whether the home began: if it did, they are its own.
	r.Relayed = true
	return c.arriveStamped(now, r, k)
}

// Started marks the moment at which the run begins.
func (c *Core) Started(now time.Time, _ uint64) { c.advance(now) }

// Finished takes the outcome of a run and answers all attempts that share it.
func (c *Core) Finished(now time.Time, id uint64, o Outcome) []Action {
	now = c.advance(now)
	rec := c.running[id]
	if rec == nil {
		return nil
	}
	delete(c.running, id)
	ids := rec.attempts.all()
	rec.attempts = nil
	switch o.Result {
	case ResultDone:
		rec.state = stateDone
		c.ledger.keep(rec, o.Answer, c.MaxStoredBytes)
		return append(c.done(o.Answer, ids...), c.tell(id, rec, o.Answer)...)
	case ResultNotRun:
		c.ledger.close(rec)
		return c.refuse(now, ReasonRefused, o.RetryAfter, ids...)
	}
	rec.state = stateUnknown
	return c.unknown(ReasonRunUnknown, ids...)
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
func (c *Core) NextTick() time.Time { return c.now.Add(PauseLimit / 4) }
