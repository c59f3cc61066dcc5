// Package gdfabric is a stand-in of the fabric in front of the balancers. It
// holds the service addresses and sprays each datagram at random over the live
// balancers.
//
// Each caller has one UDP socket on the balancers' side, so that its address
// stays the same towards all balancers, and an answer from any balancer goes
// back to the caller from the service address. The fabric adds the callers' leg
// of the delay, and the delay between failure domains when the chosen balancer
// is in another domain than the caller's entry. The leg between balancer and
// agent does not pass through the fabric and has no delay added.
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
