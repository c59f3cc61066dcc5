// Package gdfaultproxy provides proxies that forward traffic between the processes of a
// rig and inject faults. Datagrams are lost, duplicated, reordered, or dropped in one
// direction. Streams are delayed, reset, held in one direction, or silent.
//
// # Usage
//
//	d := &gdfaultproxy.DatagramProxy{Rand: rand.New(rand.NewPCG(seed, 1))}
//	err := d.Add(agent, agentProxy) // likewise for each other host
//	d.SetFaults(agent, gdfaultproxy.DatagramFaults{Loss: 0.1})
//
//	s := &gdfaultproxy.StreamProxy{Target: store}
//	err := s.Listen(addr)
//	s.SetFaults(gdfaultproxy.StreamFaults{HoldOut: true})
package gdfaultproxy
