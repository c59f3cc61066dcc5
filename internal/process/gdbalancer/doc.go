// Package gdbalancer is the balancer process: it reads callers' datagrams, lets
// the decision core choose the agent, and forwards them in envelopes; it sends
// the agents' datagrams back to the callers.
//
// Nothing that a balancer holds is needed by another one, and nothing is lost
// with it: a flow's route stands in its connection IDs.
//
// # Duties
//
// One goroutine for each service socket reads callers' datagrams, with a core,
// a token opener and a sealer of its own, so that no packet waits for a lock. One
// goroutine reads the agents' envelopes. One opens and closes service sockets as
// the configuration changes.
//
// # Usage
//
//	b := &gdbalancer.Balancer{NodeAddress: addr, Fleet: fleet, Config: conf}
//	err := b.Run(ctx)
package gdbalancer
