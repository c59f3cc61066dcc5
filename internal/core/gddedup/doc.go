// Package gddedup decides, at each agent, whether to run a request that must
// not run more than once, and how to respond to its caller.
//
// A [Core] belongs to one agent process. It takes events, such as the arrival
// of a request or the reply of a peer, and returns actions. It does no I/O, has
// no goroutine and reads no clock: the current time is an argument, and the
// random source is a field.
//
// # Keys
//
// The Idempotency-Key of a request is of one of three kinds:
//
//   - An issued key names the agent process that issued it (upstream and
//     incarnation) and is signed. Only that process runs it. No other process
//     needs to agree, because no other process may ever run it.
//   - A stamped key is a UUID of version 7 that the caller chose. The agent
//     that runs it first collects grants from a quorum of the service's agents;
//     each agent grants a key to one process only. The time within the key
//     lets an agent that lost its ledger in a restart determine which keys its
//     predecessor can't have granted.
//   - Any other key is never run by any agent, so it is certain that a refused
//     request did not run. The response carries an issued key for the retry.
//
// Other agents relay the attempts to the home of their key: the agent that issued
// it, or the first agent in the rendezvous order of a stamped key.
//
// # Responses
//
// A request ends as done (with the same response for each attempt), not-run
// (certain), unknown, or conflict (the key belongs to a different request).
// docs/design/at-most-once.md describes what a caller does in each case.
//
// # Usage
//
//	c := &gddedup.Core{
//		Self:        agentID,
//		Incarnation: incarnation,
//		Signer:      gddedup.NewSigner(secret),
//		Rand:        rnd,
//	}
//	c.SetView(now, view)
//	for _, a := range c.Arrive(now, gddedup.Request{ID: 1, Service: 7, Key: header, Digest: sum}) {
//		switch a := a.(type) {
//		case gddedup.Run:       // run the request; call Started, then Finished
//		case gddedup.Relay:     // relay it to a.Home; call Relayed with the result
//		case gddedup.SendQuery: // send a.Query to a.Peer; call ReplyReceived
//		case gddedup.Wait:      // a later event returns the response
//		case gddedup.RespondDone, gddedup.RespondNotRun, gddedup.RespondUnknown, gddedup.RespondConflict:
//		}
//	}
//
// Each SendQuery must be followed by one call of ReplyReceived, with the
// verdict [PeerFailed] if the peer did not reply in time. Call Tick no later
// than NextTick returns: the core treats a longer gap between events as a pause
// of the process, and from then on grants no key that may be older than the
// pause.
package gddedup
