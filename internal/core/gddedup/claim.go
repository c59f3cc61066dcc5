package gddedup

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// claim collects grants for a stamped key. A failed claim releases its grants;
// a successful one never does.
type claim struct {
	round    uint32
	deadline time.Time
	pending  []gdconf.UpstreamID
	queried  []gdconf.UpstreamID
	granted  []gdconf.UpstreamID
	// failureReason is the reason to report if the grants don't suffice.
	failureReason Reason
}

// knowsAllGrants reports whether this process would know of any grant that its
// agent ever made for a key with the stamp. An earlier process granted only
// keys whose stamp is at most MaxFutureSkew after the last moment at which it
// could act, and the floor is later than that.
func (c *Core) knowsAllGrants(now, stamp time.Time) bool {
	return stamp.After(c.floor) &&
		!stamp.After(now.Add(MaxFutureSkew)) &&
		now.Before(stamp.Add(c.Retention))
}

// claim starts to collect grants for a request.
func (c *Core) claim(now time.Time, r Request, k Key) []Action {
	rec := c.ledger.records[k.ident]
	switch {
	case rec != nil && rec.digest != r.Digest:
		return c.respondConflict(r.ID)
	case rec == nil && c.ledger.full():
		c.stats.LedgerFull++
		return c.respondUnknown(ReasonLedgerFull, r.ID)
	case rec == nil:
		rec = c.newStamped(k.ident, r.Digest)
		if c.knowsAllGrants(now, k.stamp) {
			rec.holder = c.process()
		}
	case rec.state == stateReleased:
		rec.holder = c.process()
	}
	c.lastClaimRound++
	cl := &claim{round: c.lastClaimRound, deadline: now.Add(ClaimTimeout), failureReason: ReasonNoQuorum}
	if rec.holder == c.process() {
		cl.granted = append(cl.granted, c.Self)
	}
	rec.state = stateClaiming
	rec.attempts = &attempts{runner: r.ID, claim: cl}
	c.claims[r.ID] = rec
	return append(c.queryPeers(rec), c.resolveClaim(rec)...)
}

// newStamped adds the record of a stamped key that is not granted to any
// process yet.
func (c *Core) newStamped(key ident, digest uint64) *record {
	rec := &record{key: key, digest: digest, expires: key.stamp().Add(c.Retention).UnixMilli()}
	c.ledger.add(rec)
	return rec
}

// queryPeers queries the agents that have not been queried yet.
func (c *Core) queryPeers(rec *record) []Action {
	cl := rec.attempts.claim
	q := c.query(rec)
	var actions []Action
	for _, peer := range c.members.peers(c.Self) {
		if slices.Contains(cl.queried, peer) {
			continue
		}
		cl.queried = append(cl.queried, peer)
		cl.pending = append(cl.pending, peer)
		c.stats.Questions++
		actions = append(actions, SendQuery{Subject{rec.attempts.runner}, peer, q})
	}
	return actions
}

func (c *Core) query(rec *record) Query {
	return Query{c.service, rec.key, rec.digest, c.Self, c.Incarnation, rec.issued, rec.attempts.claim.round}
}

// QueryReceived replies to a peer's query. A key is granted to one process
// only.
func (c *Core) QueryReceived(now time.Time, q Query) Reply {
	now = c.advance(now)
	c.expire(now)
	if q.Service != c.service {
		return Reply{Verdict: Refused}
	}
	claimant := process{q.Claimant, q.Incarnation}
	reply := Reply{MemberSets: c.members.memberSets()}
	rec := c.ledger.records[q.Key]
	if rec == nil {
		reply.Verdict = c.grant(now, q, claimant)
		return reply
	}
	reply.Verdict = rec.verdict(claimant, q)
	switch {
	case reply.Verdict != Granted:
	case rec.state == stateReleased:
		rec.state, rec.holder, rec.claimRound = stateGranted, claimant, q.Round
	default:
		rec.claimRound = max(rec.claimRound, q.Round)
	}
	if reply.Verdict == Done {
		reply.Response = *rec.response
	}
	return reply
}

func (c *Core) grant(now time.Time, q Query, claimant process) Verdict {
	if q.Lookup || !c.knowsAllGrants(now, ident(q.Key).stamp()) {
		return Refused
	}
	if c.ledger.full() {
		c.stats.LedgerFull++
		return Refused
	}
	rec := c.newStamped(q.Key, q.Digest)
	rec.holder = claimant
	rec.claimRound = q.Round
	return Granted
}

// ReleaseReceived releases the grant of a failed claim. A grant that was
// confirmed for a later claim of the same process is kept.
func (c *Core) ReleaseReceived(now time.Time, q Query) {
	c.advance(now)
	rec := c.ledger.records[q.Key]
	if rec == nil || rec.state != stateGranted {
		return
	}
	if rec.holder == (process{q.Claimant, q.Incarnation}) && rec.claimRound <= q.Round {
		rec.state, rec.claimRound = stateReleased, q.Round
	}
}

// verdict returns the verdict on a known key for the querying process.
func (r *record) verdict(claimant process, q Query) Verdict {
	switch {
	case r.digest != q.Digest:
		return Mismatch
	case r.state == stateReleased && r.holder == claimant && q.Round <= r.claimRound:
		return Refused // the query is older than the release
	case r.state == stateReleased:
		return Granted
	case r.state == stateDone:
		return Done
	case r.state == stateRunning:
		return Running
	case r.state == stateUnknown:
		return OutcomeUnknown
	case r.state == stateClosed:
		return Closed
	case r.holder == claimant:
		return Granted
	case r.holder == process{}:
		return Refused
	}
	return Taken
}

// ReplyReceived handles the reply of a peer that was queried for the request.
func (c *Core) ReplyReceived(now time.Time, id uint64, peer gdconf.UpstreamID, reply Reply) []Action {
	now = c.advance(now)
	rec := c.claims[id]
	if rec == nil {
		return nil
	}
	cl := rec.attempts.claim
	i := slices.Index(cl.pending, peer)
	if i < 0 {
		return nil
	}
	cl.pending = slices.Delete(cl.pending, i, i+1)
	c.members.merge(now, reply.MemberSets)
	switch reply.Verdict {
	case Done:
		return c.completeFromPeer(rec, reply.Response)
	case Closed:
		ids := c.endClaim(rec)
		rec.state = stateClosed
		return c.respondNotRun(now, ReasonRefused, defaultRetryAfter, ids...)
	case Mismatch:
		return c.respondConflict(c.endClaim(rec)...)
	case Granted:
		cl.granted = append(cl.granted, peer)
	case Running:
		cl.failureReason = ReasonInProgress
	case OutcomeUnknown:
		cl.failureReason = ReasonRunUnknown
	}
	return append(c.queryPeers(rec), c.resolveClaim(rec)...)
}

// resolveClaim runs the request once the grants suffice, and aborts the claim
// if no more replies are pending.
func (c *Core) resolveClaim(rec *record) []Action {
	a := rec.attempts
	switch {
	case !rec.issued && c.members.hasQuorum(a.claim.granted):
		delete(c.claims, a.runner)
		a.claim = nil
		return c.run(rec, a)
	case len(a.claim.pending) > 0:
		return nil
	}
	return c.abortClaim(rec)
}

// abortClaim ends a claim whose grants don't suffice and releases them, so that
// a claim of another agent can succeed. Each queried peer may have granted the
// key.
func (c *Core) abortClaim(rec *record) []Action {
	a, q := rec.attempts, c.query(rec)
	actions := c.respondUnknown(a.claim.failureReason, c.endClaim(rec)...)
	if rec.issued {
		return actions
	}
	for _, peer := range a.claim.queried {
		actions = append(actions, SendRelease{Subject{a.runner}, peer, q})
	}
	if rec.holder == c.process() {
		rec.state, rec.claimRound = stateReleased, q.Round
	}
	return actions
}

// completeFromPeer ends a claim with the response of a run at another agent.
func (c *Core) completeFromPeer(rec *record, s StoredResponse) []Action {
	ids := c.endClaim(rec)
	if !rec.issued { // a lookup has no record in the ledger
		rec.state = stateDone
		c.ledger.storeResponse(rec, s, c.MaxStoredBytes)
	}
	return c.respondDone(s, ids...)
}

// endClaim ends a claim without a run and returns the requests that wait for
// it.
func (c *Core) endClaim(rec *record) []uint64 {
	ids := rec.attempts.all()
	delete(c.claims, rec.attempts.runner)
	rec.attempts = nil
	rec.state = stateGranted
	return ids
}

// expireClaims aborts the claims that have timed out, in the order of their
// requests.
func (c *Core) expireClaims(now time.Time) []Action {
	var late []uint64
	for id, rec := range c.claims {
		if !now.Before(rec.attempts.claim.deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	var actions []Action
	for _, id := range late {
		actions = append(actions, c.abortClaim(c.claims[id])...)
	}
	return actions
}
