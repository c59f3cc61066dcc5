package gddedup

import "time"

// Arrive handles a request.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	now = c.advance(now)
	c.expire(now)
	k, err := c.Signer.Parse(r.Key)
	switch {
	case err == errForged:
		return c.respondUnknown(ReasonKeyForged, r.ID)
	case err != nil:
		return c.respondNotRun(now, ReasonKeyKind, 0, r.ID)
	case k.issued && k.service != r.Service:
		return c.respondConflict(r.ID)
	case r.Service != c.service:
		return c.respondUnknown(ReasonWrongService, r.ID)
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
		return c.respondUnknown(ReasonKeyExpired, r.ID)
	}
	if c.ledger.full() {
		c.dropRefusedKeys(now)
	}
	if created := k.stamp.Add(-c.Retention); !created.After(c.closedUntil) {
		// Only this ledger could hold the key. Without a record in it, the key has
		// not run, and from now on it is always refused.
		return c.respondNotRun(now, ReasonLedgerFull, defaultRetryAfter, r.ID)
	}
	rec := &record{key: k.ident, expires: k.stamp.UnixMilli(), digest: r.Digest, issued: true, holder: c.process()}
	c.ledger.add(rec)
	return c.run(rec, &attempts{runner: r.ID})
}

// dropRefusedKeys removes the records of issued keys that were refused before a
// run. closedUntil then covers them, along with every other key created before
// the last of them. If there are too few, it closes all keys created up to now.
func (c *Core) dropRefusedKeys(now time.Time) {
	last, ok := c.ledger.dropClosed()
	if !ok {
		c.stats.LedgerFull++
		c.closedUntil = now
		return
	}
	if created := last.Add(-c.Retention); created.After(c.closedUntil) {
		c.closedUntil = created
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
		return c.respondUnknown(ReasonKeyExpired, r.ID)
	}
	if k.stamp.After(now.Add(MaxFutureSkew)) {
		return c.respondUnknown(ReasonKeyEarly, r.ID)
	}
	home := c.members.home(k.ident)
	if r.Relayed || home == c.Self || home == 0 {
		return c.claim(now, r, k)
	}
	return c.relay(r, home)
}
