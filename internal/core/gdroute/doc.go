// Package gdroute decides where a packet goes. It contains the decision core of the
// balancer and the packet filter of the agent.
//
// A flow is identified by its route token if its packets carry one, and by its flow
// key otherwise. Both give the same guarantees. [Balancer] and [PacketFilter] are
// deterministic: they take a packet and the current time and return one [Decision].
// They use no sockets, goroutines or clocks, and the balancer keeps no state for
// any flow.
//
// # Usage
//
//	b := gdroute.Balancer{}
//	b.SetView(now, view)
//	d := b.Route(now, gdroute.NewPacket(service, key).Opening())
//	if d.Verdict() == gdroute.Forward {
//		send(d.Upstream().Agent())
//	}
//
// # Ranking
//
// A packet without a token is routed by its key's ranking: all upstreams of the
// service, ordered by weighted rendezvous hash. The ranking depends only on the
// configured upstreams and weights, not on their state, so a change of state moves
// no established flow. A packet that may open a flow goes to the first upstream of
// the ranking that accepts new flows and whose ramp accepts the key. Any other
// packet goes to the first upstream whose failure domain is in service. An agent
// that does not hold the flow forwards the packet to another agent, up to [MaxHops]
// times, so that the packet reaches every agent of the service even if the agents'
// views differ.
package gdroute
