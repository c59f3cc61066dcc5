// Package gdbalancer is the balancer process. It reads the datagrams of callers,
// chooses an agent for each one with a decision core, and forwards it in an envelope.
// It sends the datagrams of agents back to the callers.
//
// Balancers share no state, and no flow is lost if one fails, because the connection
// IDs of a flow contain its route.
//
// # Goroutines
//
// One goroutine for each service socket reads the datagrams of callers. It has a
// core, a token opener and a sealer of its own, so that no packet waits for a lock.
// Another goroutine reads the envelopes of agents. A third one opens and closes
// service sockets when the configuration changes.
//
// # Usage
//
//	b := &gdbalancer.Balancer{NodeAddress: addr, Fleet: fleet, Config: conf}
//	err := b.Run(ctx)
package gdbalancer
