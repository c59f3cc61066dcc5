// Package gdselector selects the peer that takes over a request, maintains the budget
// that relays and retries share, and computes the weight of a returning upstream.
//
// The agents of one service report their [Load] to each other. A [Selector] stores the
// last load of each peer and picks the less loaded of two random peers with headroom.
// It ignores a load that is older than [Selector.MaxLoadAge], and it charges each
// choice to the peer until the peer's next report, so that a burst of relays does not
// go to the one peer that last reported headroom.
//
// The package is a decision core: it takes the current time and the random source as
// arguments and does no input or output.
//
// # Usage
//
//	s := &gdselector.Selector{Rand: r}
//	s.SetPeers(ids)
//	s.ObservePeerLoad(now, id, gdselector.NewLoad(1, 0, 3, 812)) // for each report
//	s.ObserveStart(now)                                          // for each started request
//	if peer, ok := s.Relay(now, hops, priority); ok {
//		// relay the request to peer with hops+1
//	}
//
// # Budget
//
// Every started request of the service earns a tenth of a token, divided equally among
// the agents of the service, and every relay or retry costs one token. An agent whose
// upstream can start few requests may therefore relay more than a tenth of its own
// requests, while the service as a whole stays within a tenth. An agent knows from the
// peers' loads how many requests the peers have started; without any reports it earns
// only its share of its own requests. Less urgent requests leave a part of the budget
// to more urgent ones. A small floor is earned over time, so that an upstream without
// started requests can still relay one. Requests on the flows of a leaving upstream use
// [Selector.Move] instead, at no cost: they were never offered to the leaving upstream,
// so they add no load to the service, and the headroom of the peers limits them.
package gdselector
