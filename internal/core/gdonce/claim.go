package gdonce

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// claim runs a stamped key at its home without asking anybody.
func (c *Core) claim(_ time.Time, r Request, k Key) []Action {
	if c.ledger.full() {
		c.stats.LedgerFull++
		return c.unknown(ReasonLedgerFull, r.ID)
	}
	rec := &record{key: k.ident, expires: k.stamp.Add(c.Retention).UnixMilli(), digest: r.Digest, holder: c.process()}
	c.ledger.add(rec)
	return c.run(rec, &attempts{runner: r.ID})
}

// Asked answers a peer's question.
func (c *Core) Asked(now time.Time, _ Question) Answer {
	c.advance(now)
	return Answer{Verdict: Granted}
}

// Answered takes a peer's answer.
func (c *Core) Answered(now time.Time, _ uint64, _ gdconf.UpstreamID, _ Answer) []Action {
	c.advance(now)
	return nil
}

func (c *Core) expireClaims(time.Time) []Action { return nil }
