// Package gdroute decides where a packet goes. It is the decision core of the
// balancer and the packet door of the agent.
//
// A flow is known by its route token if the packet has one, else by its flow
// key. Both ways hold the same promises. [Balancer] and [PacketFilter] are pure: a
// packet and the present time go in, one [Decision] comes out. Neither holds
// sockets, goroutines or clocks, and the balancer holds no state of any flow.
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
// A packet without a token follows its key's ranking: all upstreams of the
// service, ordered by weighted rendezvous hash. The ranking depends on the
// configured upstreams and weights only, never on their state, so that a change
// of state moves no established flow. A packet that may open a flow goes to the
// first upstream of the ranking that takes new flows and whose ramp accepts the
// key. Any other goes to the first whose failure domain is in. An agent that
// does not hold the flow passes the packet on to another, within [MaxHops], so
// that it meets every agent of the service even if their views differ.
package gdroute
