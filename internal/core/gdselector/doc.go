// Package gdselector chooses the peer that takes over a request, keeps the budget
// that relays and retries share, and ramps the weight of a returning upstream.
//
// The agents of one service tell each other their [Load]. A [Selector] keeps the
// last load of each peer and picks the better of two random peers with room. A
// load that is older than [Selector.Fresh] is not believed, and each choice is
// charged to the peer until it reports again, so that a burst of relays does not
// land on the one peer that last reported room.
//
// The package is a decision core: it takes the present time and the random
// source as arguments and does no input or output.
//
// # Usage
//
//	s := &gdselector.Core{Rand: r}
//	s.SetPeers(ids)
//	s.PeerLoad(now, id, gdselector.NewLoad(1, 0, 3, 812)) // for each report
//	s.Admitted(now)                                // for each started request
//	if peer, ok := s.Relay(now, hops, priority); ok {
//		// pass the request on to peer with hops+1
//	}
//
// # Budget
//
// Every started request of the service earns a tenth of a token, in equal shares
// for its agents, and every relay or retry costs a whole one. An agent whose
// upstream can start little can so relay more than a tenth of its own work, while
// the service as a whole stays within a tenth. What peers have started is known
// from their loads; an agent that hears of none has only its share of its own. Less urgent requests leave a part of the budget to urgent ones. A small floor is earned by time, so that an upstream without work
// can still pass a request on. Requests that a leaving upstream passes on take
// [Selector.Move] instead and cost nothing: they were never offered to the leaving
// upstream, so they add no load to the service, and the room that the peers
// report bounds them.
package gdselector
