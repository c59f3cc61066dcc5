package gdadmit

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// relay chooses a peer for a request that does not start here. Requests of flows that
// a leaving upstream holds move without a charge to the budget, because they were
// never offered to the upstream.
func (c *Controller[L]) relay(now time.Time, r Request, reason Reason) (gdconf.UpstreamID, bool) {
	if c.Selector == nil || r.expired(now) {
		return 0, false
	}
	switch reason {
	case ReasonDomainOut, ReasonStopping:
		return 0, false
	case ReasonLeaving:
		if r.Established() {
			return c.Selector.Move(now, r.hops)
		}
	}
	return c.Selector.Relay(now, r.hops, r.priority)
}

// Retry decides on a request that was started but not served. The request is relayed
// to a peer if it certainly did not run or is idempotent, and the budget allows it.
// Otherwise it is refused, and the action's NotRun reports whether it is certain that
// the request did not run.
func (c *Controller[L]) Retry(now time.Time, r Request, o Outcome) Action {
	c.init(now)
	a := Action{kind: KindRefuse, id: r.id, reason: ReasonUncertain, started: o.started}
	if !o.started || r.Idempotent() {
		a.reason = ReasonRetry
		if peer, ok := c.relay(now, r, ReasonRetry); ok {
			a.kind = KindRelay
			a.peer = peer
			return a
		}
	}
	a.retryAfter = c.retryAfter(now, r, a.reason)
	return a
}
