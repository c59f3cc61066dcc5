// Package gdadmit decides which requests an upstream gets, and when.
//
// One [DefaultController] protects one upstream. It runs in the agent of the upstream
// and is a decision core: it takes events and returns actions, every function that
// decides takes the current time as an argument, and it does no input or output. It
// answers each arriving request with exactly one action: start it at the upstream,
// refuse it, or relay it to a peer. A request that has to wait gets its action with a
// later event.
//
// # Usage
//
//	c := &gdadmit.DefaultController{Slots: 3, Limiter: &gdadmit.AIMD{}, Selector: s, Rand: r}
//	req := gdadmit.NewRequest(id, priority, deadline, gdadmit.Idempotent())
//	for _, a := range c.Arrive(now, req) {
//		switch a.Kind() {
//		case gdadmit.KindStart:  // send the request a.ID() to the upstream
//		case gdadmit.KindRefuse: // respond with a.RetryAfter() and a.NotRun()
//		case gdadmit.KindRelay:  // relay it to a.Peer()
//		}
//	}
//	// later, for each started request:
//	actions := c.Finish(now, id, gdadmit.NewOutcome(gdadmit.OutcomeOK, latency, true))
//	// and whenever c.NextTick() is reached:
//	actions = c.Tick(now)
//
// The actions returned for an event may concern requests other than the one that the
// event names. The returned slice belongs to the caller.
//
// # Limit
//
// A [Limiter] bounds the number of concurrent requests within the upstream's slots.
// [AIMD] is the one in use: it starts at one, grows only on good outcomes, and falls
// back to one when several consecutive outcomes look like those of a cold upstream,
// regardless of the health endpoint. [Fixed] and [Gradient] exist for comparison.
//
// # Queue
//
// Requests that find no free slot wait in the order of priority and, within one
// priority, of arrival. The queue is bounded. A request is refused as soon as its
// estimated start is too late: so late that it would miss its deadline, that more
// than half of its time would have passed, or that it would wait longer than
// [DefaultController.MaxWait]. The estimate is updated with every event, so that a
// request whose estimate gets worse is refused at that moment, with most of its time
// left to try elsewhere.
//
// # Streams
//
// A stream, such as a live feed, holds a slot until its response header arrives and
// [DefaultController.ObserveHeader] is called. From then on it counts towards
// [DefaultController.MaxStreams] instead of the slots: an upstream with 2 or 3 slots
// can serve some 2,000 open feeds. Latency is the time to the response header for
// every request, so that a feed that stays open all afternoon does not look slow.
package gdadmit
