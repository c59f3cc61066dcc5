package gddedup

import "time"

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
// them. When there are too few, it closes the keys made up to now.
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
	if k.stamp.After(now.Add(MaxFutureSkew)) {
		return c.unknown(ReasonKeyEarly, r.ID)
	}
	home := c.members.home(k.ident)
	if r.Relayed || home == c.Self || home == 0 {
		return c.claim(now, r, k)
	}
	return c.relay(r, home)
}
