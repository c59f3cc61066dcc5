package gddedup

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// outcomeCopies is the number of peers that are told of a run that is done,
	// so that its answer outlives the process that ran it.
	outcomeCopies = 2
	// MaxNoticeBodyBytes bounds the body in a notice to a peer.
	MaxNoticeBodyBytes = 256
)

// Notice tells a peer that a key has been run.
type Notice struct {
	Key      [identBytes]byte `cbor:"1,keyasint"`
	Digest   uint64           `cbor:"2,keyasint"`
	Expires  int64            `cbor:"3,keyasint"` // Unix time in milliseconds
	Response StoredResponse   `cbor:"4,keyasint"`
}

// tell returns the notices of a run that is done.
func (c *Core) tell(id uint64, rec *record, s StoredResponse) []Action {
	if len(s.Body) > MaxNoticeBodyBytes {
		s.Body = nil
		s.BodyOmitted = true
	}
	n := Notice{Key: rec.key, Digest: rec.digest, Expires: rec.expires, Response: s}
	var actions []Action
	for _, peer := range c.members.nearest(rec.key, c.Self, outcomeCopies) {
		actions = append(actions, SendNotice{Subject{id}, peer, n})
	}
	return actions
}

// NoticeReceived takes a peer's notice. A full ledger drops it.
func (c *Core) NoticeReceived(now time.Time, n Notice) []Action {
	now = c.advance(now)
	c.expire(now)
	limit := now.Add(c.Retention + MaxFutureSkew + MaxClockSkew).UnixMilli()
	rec := c.ledger.records[n.Key]
	switch {
	case rec == nil && (c.ledger.full() || n.Expires <= now.UnixMilli() || n.Expires > limit):
		return nil
	case rec == nil:
		rec = &record{key: n.Key, digest: n.Digest, expires: n.Expires}
		c.ledger.add(rec)
	case rec.digest != n.Digest:
		return nil
	case rec.state == stateClaiming:
		return c.adopt(rec, n.Response)
	case rec.state > stateReleased && rec.state != stateUnknown:
		return nil
	}
	rec.state = stateDone
	c.ledger.keep(rec, n.Response, c.MaxStoredBytes)
	return nil
}

// lookup asks the peers whether an issued key was run whose home does not
// answer. It never leads to a run.
func (c *Core) lookup(now time.Time, r Request, k Key, reason Reason) []Action {
	if rec := c.ledger.records[k.ident]; rec != nil {
		return c.join(now, r, rec)
	}
	rec := &record{key: k.ident, digest: r.Digest, issued: true, state: stateClaiming}
	rec.attempts = &attempts{runner: r.ID, claim: &claim{deadline: now.Add(ClaimTimeout), failure: reason}}
	c.claims[r.ID] = rec
	return append(c.askPeers(rec), c.settle(rec)...)
}

// nearest returns the first n homes of the key, in rendezvous order, but for self.
func (m *membership) nearest(key ident, self gdconf.UpstreamID, n int) []gdconf.UpstreamID {
	rest := slices.DeleteFunc(slices.Clone(m.homes), func(p member) bool { return p.id == self })
	var ids []gdconf.UpstreamID
	for len(rest) > 0 && len(ids) < n {
		id := first(rest, key)
		ids = append(ids, id)
		rest = slices.DeleteFunc(rest, func(p member) bool { return p.id == id })
	}
	return ids
}
