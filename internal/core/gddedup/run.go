package gddedup

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

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
		c.ledger.keep(rec, o.Response, c.MaxStoredBytes)
		return append(c.done(o.Response, ids...), c.tell(id, rec, o.Response)...)
	case ResultNotRun:
		c.ledger.close(rec)
		return c.refuse(now, ReasonRefused, o.RetryAfter, ids...)
	}
	rec.state = stateUnknown
	return c.unknown(ReasonRunUnknown, ids...)
}
