package gddedup

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// claim collects grants for a stamped key. A claim that fails gives its grants
// back; a claim that succeeds never does.
type claim struct {
	round    uint32
	deadline time.Time
	pending  []gdconf.UpstreamID
	asked    []gdconf.UpstreamID
	granted  []gdconf.UpstreamID
	// failure is the reason to give when the grants don't suffice.
	failure Reason
}

// vouches reports whether this process would know of any grant that this agent
// ever gave for a key with the stamp. An earlier process granted only keys
// whose stamp is at most FutureTolerance after the last moment at which it
// could act, and the floor lies after that.
func (c *Core) vouches(now, stamp time.Time) bool {
	return stamp.After(c.floor) &&
		!stamp.After(now.Add(MaxFutureSkew)) &&
		now.Before(stamp.Add(c.Retention))
}

// claim starts to collect grants for a request.
func (c *Core) claim(now time.Time, r Request, k Key) []Action {
	rec := c.ledger.records[k.ident]
	switch {
	case rec != nil && rec.digest != r.Digest:
		return c.conflict(r.ID)
	case rec == nil && c.ledger.full():
		c.stats.LedgerFull++
		return c.unknown(ReasonLedgerFull, r.ID)
	case rec == nil:
		rec = c.newStamped(k.ident, r.Digest)
		if c.vouches(now, k.stamp) {
			rec.holder = c.process()
		}
	case rec.state == stateReleased:
		rec.holder = c.process()
	}
	c.round++
	cl := &claim{round: c.round, deadline: now.Add(ClaimTimeout), failure: ReasonNoQuorum}
	if rec.holder == c.process() {
		cl.granted = append(cl.granted, c.Self)
	}
	rec.state = stateClaiming
	rec.attempts = &attempts{runner: r.ID, claim: cl}
	c.claims[r.ID] = rec
	return append(c.askPeers(rec), c.settle(rec)...)
}

// newStamped adds the record of a stamped key that nobody holds yet.
func (c *Core) newStamped(key ident, digest uint64) *record {
	rec := &record{key: key, digest: digest, expires: key.stamp().Add(c.Retention).UnixMilli()}
	c.ledger.add(rec)
	return rec
}

// askPeers asks the agents that have not been asked yet.
func (c *Core) askPeers(rec *record) []Action {
	cl := rec.attempts.claim
	q := c.question(rec)
	var actions []Action
	for _, peer := range c.members.peers(c.Self) {
		if slices.Contains(cl.asked, peer) {
			continue
		}
		cl.asked = append(cl.asked, peer)
		cl.pending = append(cl.pending, peer)
		c.stats.Questions++
		actions = append(actions, SendQuery{Subject{rec.attempts.runner}, peer, q})
	}
	return actions
}

func (c *Core) question(rec *record) Query {
	return Query{c.service, rec.key, rec.digest, c.Self, c.Incarnation, rec.issued, rec.attempts.claim.round}
}

// QueryReceived answers a peer's question. A key is granted to one process only.
func (c *Core) QueryReceived(now time.Time, q Query) Reply {
	now = c.advance(now)
	c.expire(now)
	if q.Service != c.service {
		return Reply{Verdict: Refused}
	}
	asker := process{q.Claimant, q.Incarnation}
	a := Reply{MemberSets: c.members.known()}
	rec := c.ledger.records[q.Key]
	if rec == nil {
		a.Verdict = c.grant(now, q, asker)
		return a
	}
	a.Verdict = rec.verdict(asker, q)
	switch {
	case a.Verdict != Granted:
	case rec.state == stateReleased:
		rec.state, rec.holder, rec.round = stateGranted, asker, q.Round
	default:
		rec.round = max(rec.round, q.Round)
	}
	if a.Verdict == Done {
		a.Response = *rec.stored
	}
	return a
}

func (c *Core) grant(now time.Time, q Query, asker process) Verdict {
	if q.Lookup || !c.vouches(now, ident(q.Key).stamp()) {
		return Refused
	}
	if c.ledger.full() {
		c.stats.LedgerFull++
		return Refused
	}
	rec := c.newStamped(q.Key, q.Digest)
	rec.holder = asker
	rec.round = q.Round
	return Granted
}

// ReleaseReceived takes back the grant of a claim that failed. A grant that has been
// confirmed for a later claim of the same process stays.
func (c *Core) ReleaseReceived(now time.Time, q Query) {
	c.advance(now)
	rec := c.ledger.records[q.Key]
	if rec == nil || rec.state != stateGranted {
		return
	}
	if rec.holder == (process{q.Claimant, q.Incarnation}) && rec.round <= q.Round {
		rec.state, rec.round = stateReleased, q.Round
	}
}

// verdict says what a known key is to the asking process.
func (r *record) verdict(asker process, q Query) Verdict {
	switch {
	case r.digest != q.Digest:
		return Mismatch
	case r.state == stateReleased && r.holder == asker && q.Round <= r.round:
		return Refused // the question is older than the release
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
	case r.holder == asker:
		return Granted
	case r.holder == process{}:
		return Refused
	}
	return Taken
}

// ReplyReceived takes the answer of a peer that was asked for the request.
func (c *Core) ReplyReceived(now time.Time, id uint64, peer gdconf.UpstreamID, a Reply) []Action {
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
	c.members.learn(now, a.MemberSets)
	switch a.Verdict {
	case Done:
		return c.adopt(rec, a.Response)
	case Closed:
		ids := c.endClaim(rec)
		rec.state = stateClosed
		return c.refuse(now, ReasonRefused, retryAfter, ids...)
	case Mismatch:
		return c.conflict(c.endClaim(rec)...)
	case Granted:
		cl.granted = append(cl.granted, peer)
	case Running:
		cl.failure = ReasonInProgress
	case OutcomeUnknown:
		cl.failure = ReasonRunUnknown
	}
	return append(c.askPeers(rec), c.settle(rec)...)
}

// settle runs the request once the grants suffice, and gives up when no answer
// is to come.
func (c *Core) settle(rec *record) []Action {
	a := rec.attempts
	switch {
	case !rec.issued && c.members.decided(a.claim.granted):
		delete(c.claims, a.runner)
		a.claim = nil
		return c.run(rec, a)
	case len(a.claim.pending) > 0:
		return nil
	}
	return c.giveUp(rec)
}

// giveUp ends a claim whose grants don't suffice and gives them back, so that a
// claim of another agent may succeed. Each peer that was asked may have granted.
func (c *Core) giveUp(rec *record) []Action {
	a, q := rec.attempts, c.question(rec)
	actions := c.unknown(a.claim.failure, c.endClaim(rec)...)
	if rec.issued {
		return actions
	}
	for _, peer := range a.claim.asked {
		actions = append(actions, SendRelease{Subject{a.runner}, peer, q})
	}
	if rec.holder == c.process() {
		rec.state, rec.round = stateReleased, q.Round
	}
	return actions
}

// adopt takes the answer of a run at another agent.
func (c *Core) adopt(rec *record, s StoredResponse) []Action {
	ids := c.endClaim(rec)
	if !rec.issued { // a lookup has no record of its own
		rec.state = stateDone
		c.ledger.keep(rec, s, c.MaxStoredBytes)
	}
	return c.done(s, ids...)
}

// endClaim ends a claim without a run and returns the requests that wait for it.
func (c *Core) endClaim(rec *record) []uint64 {
	ids := rec.attempts.all()
	delete(c.claims, rec.attempts.runner)
	rec.attempts = nil
	rec.state = stateGranted
	return ids
}

// expireClaims gives up on the claims whose time is over, the oldest first.
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
		actions = append(actions, c.giveUp(c.claims[id])...)
	}
	return actions
}
