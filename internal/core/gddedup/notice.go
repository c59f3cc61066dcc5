package gddedup

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// noticePeers is the number of peers that are notified of a completed run, so
	// that its response survives the process that ran it.
	noticePeers = 2
	// MaxNoticeBodyBytes bounds the body in a notice to a peer.
	MaxNoticeBodyBytes = 256
)

// Notice notifies a peer of a completed run.
type Notice struct {
	Key      [identBytes]byte `cbor:"1,keyasint"`
	Digest   uint64           `cbor:"2,keyasint"`
	Expires  int64            `cbor:"3,keyasint"` // Unix time in milliseconds
	Response StoredResponse   `cbor:"4,keyasint"`
}

// notifyPeers returns the notices of a completed run.
func (c *Core) notifyPeers(id uint64, rec *record, s StoredResponse) []Action {
	if len(s.Body) > MaxNoticeBodyBytes {
		s.Body = nil
		s.BodyOmitted = true
	}
	n := Notice{Key: rec.key, Digest: rec.digest, Expires: rec.expires, Response: s}
	var actions []Action
	for _, peer := range c.members.firstHomes(rec.key, c.Self, noticePeers) {
		actions = append(actions, SendNotice{Subject{id}, peer, n})
	}
	return actions
}

// NoticeReceived handles a peer's notice. It is dropped if the ledger is full.
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
		return c.completeFromPeer(rec, n.Response)
	case rec.state > stateReleased && rec.state != stateUnknown:
		return nil
	}
	rec.state = stateDone
	c.ledger.storeResponse(rec, n.Response, c.MaxStoredBytes)
	return nil
}

// lookup queries the peers about an issued key whose home does not respond. It
// never leads to a run.
func (c *Core) lookup(now time.Time, r Request, k Key, reason Reason) []Action {
	if rec := c.ledger.records[k.ident]; rec != nil {
		return c.join(now, r, rec)
	}
	rec := &record{key: k.ident, digest: r.Digest, issued: true, state: stateClaiming}
	rec.attempts = &attempts{runner: r.ID, claim: &claim{deadline: now.Add(ClaimTimeout), failureReason: reason}}
	c.claims[r.ID] = rec
	return append(c.queryPeers(rec), c.resolveClaim(rec)...)
}

// firstHomes returns the first n homes of the key in rendezvous order,
// excluding self.
func (m *membership) firstHomes(key ident, self gdconf.UpstreamID, n int) []gdconf.UpstreamID {
	rest := slices.DeleteFunc(slices.Clone(m.homes), func(p member) bool { return p.id == self })
	var ids []gdconf.UpstreamID
	for len(rest) > 0 && len(ids) < n {
		id := bestHome(rest, key)
		ids = append(ids, id)
		rest = slices.DeleteFunc(rest, func(p member) bool { return p.id == id })
	}
	return ids
}
