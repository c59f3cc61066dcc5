// Package gdadmit decides which requests an upstream gets, and when.
//
// One [DefaultController] guards one upstream, in the agent beside it. It is a decision core:
// events go in, actions come out, the present time is an argument of every
// function that decides, and it does no input or output. It answers each
// arriving request with exactly one action: start it at the upstream, refuse it,
// or relay it to a peer. A request that has to wait gets its action with a
// later event.
//
// # Usage
//
//	c := &gdadmit.Core{Slots: 3, Limit: &gdadmit.AIMD{}, Spread: s, Rand: r}
//	req := gdadmit.NewRequest(id, priority, deadline, gdadmit.Repeatable())
//	for _, a := range c.Arrive(now, req) {
//		switch a.Kind() {
//		case gdadmit.KindStart:  // send the request a.ID() to the upstream
//		case gdadmit.KindRefuse: // answer with a.RetryAfter() and a.NotRun()
//		case gdadmit.KindRelay:  // pass it on to a.Peer()
//		}
//	}
//	// later, for each started request:
//	actions := c.Finish(now, id, gdadmit.NewOutcome(gdadmit.OutcomeOK, latency, true))
//	// and whenever c.NextTick() is reached:
//	actions = c.Tick(now)
//
// The actions of an event may belong to other requests than the one that the
// event names. The returned slice belongs to the caller.
//
// # Limit
//
// The number of requests that run at the same time is bounded by a [Limiter]
// within the upstream's slots. [AIMD] is the one in use: it starts from one,
// grows only on good outcomes, and falls back to one when several outcomes in a
// row look like those of a cold upstream, whatever the health endpoint says.
// [Fixed] and [Gradient] are there for comparison.
//
// # Queue
//
// Requests that find no free slot wait in the order of their priority and, within
// one priority, of their arrival. The queue is bounded. A request is refused as
// soon as its estimated start lies too late: so late that it would miss its
// deadline, or so late that more than half of its time would be gone, or after
// [DefaultController.MaxWait]. The estimate is renewed with every event, so that a request
// whose chances have become worse is refused at that moment, with most of its
// time left to try elsewhere.
//
// # Streams
//
// A stream, such as a live feed, holds a slot until its response header has come
// and [DefaultController.Header] is called. From then on it counts against [DefaultController.Streams], not
// against the slots: an upstream with 2 or 3 slots bears some 2,000 open feeds.
// Latency is the time to the response header for every request, so that a feed
// that stays open all afternoon does not look slow.
package gdadmit
