package gddedup

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// join handles a further attempt with a key that is in the ledger.
func (c *Core) join(now time.Time, r Request, rec *record) []Action {
	if rec.digest != r.Digest {
		return c.respondConflict(r.ID)
	}
	switch rec.state {
	case stateClosed:
		return c.respondNotRun(now, ReasonRefused, defaultRetryAfter, r.ID)
	case stateDone:
		return c.respondDone(*rec.response, r.ID)
	case stateUnknown:
		return c.respondUnknown(ReasonRunUnknown, r.ID)
	}
	if len(rec.attempts.waiters) >= MaxWaiters {
		return c.respondUnknown(ReasonInProgress, r.ID)
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

// Relayed handles the result of a relay. If ok is true, the home's own response
// was passed to the caller. Otherwise the home may or may not have run the
// request.
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
	// The grants show whether the home started the run: if it did, it holds them.
	r.Relayed = true
	return c.arriveStamped(now, r, k)
}

// Started records the start of a run.
func (c *Core) Started(now time.Time, _ uint64) { c.advance(now) }

// Finished handles the outcome of a run and responds to all attempts that share
// it.
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
		c.ledger.storeResponse(rec, o.Response, c.MaxStoredBytes)
		return append(c.respondDone(o.Response, ids...), c.notifyPeers(id, rec, o.Response)...)
	case ResultNotRun:
		c.ledger.close(rec)
		return c.respondNotRun(now, ReasonRefused, o.RetryAfter, ids...)
	}
	rec.state = stateUnknown
	return c.respondUnknown(ReasonRunUnknown, ids...)
}
