// Package gdfaultproxy stands between processes of a rig and harms what they send each
// other: datagrams are lost, come twice or late, or are cut in one direction; streams
// are delayed, reset, held in one direction, or fall silent.
//
// # Usage
//
//	d := &gdfaultproxy.Datagrams{Rand: rand.New(rand.NewPCG(seed, 1))}
//	err := d.Add(agent, agentSeen) // and so on for each host
//	d.Set(agent, gdfaultproxy.DatagramFaults{Loss: 0.1})
//
//	s := &gdfaultproxy.Streams{To: store}
//	err := s.Listen(at)
//	s.Set(gdfaultproxy.StreamFaults{HoldOut: true})
package gdfaultproxy
