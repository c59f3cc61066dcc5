// Package gdfabric simulates the network fabric in front of the balancers. It
// listens on the service addresses and forwards each datagram to a balancer chosen
// at random.
//
// Each caller has one UDP socket on the balancers' side, so that all balancers see
// the same caller address. An answer from any balancer is sent to the caller from
// the service address. The fabric adds the delay between callers and balancers, and
// the delay between failure domains if the chosen balancer is in another domain than
// the one in which the caller enters the fabric. Datagrams between balancer and agent
// do not pass through the fabric and are not delayed.
//
// # Usage
//
//	f := &gdfabric.Fabric{
//		Services:    []string{"booking", "gallery"},
//		Domains:     []string{"bilbao", "getxo"},
//		CallerDelay: 3 * time.Millisecond,
//		DomainDelay: time.Millisecond,
//		Seed:        1,
//	}
//	if err := f.Listen(); err != nil {
//		return err
//	}
//	addr := f.Addr("booking") // balancers listen on this port of their own host
//	f.SetBalancers(balancers)
//	err := f.Run(ctx)
package gdfabric
