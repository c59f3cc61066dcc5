// Package gddedup decides, at each agent, whether a request that may not be
// repeated is run, and what its caller is told about it.
//
// A [Core] belongs to one agent process. It takes events, such as the arrival
// of a request or the answer of a peer, and returns actions. It holds no
// socket, clock or goroutine: the present time is an argument, and the random
// source is a field.
//
// # Keys
//
// The Idempotency-Key of a request is of one of three kinds:
//
//   - An issued key names the agent process that issued it (upstream and
//     incarnation) and is signed. Only that process runs it. No other process
//     needs to agree, because no other process ever may.
//   - A stamped key is a UUID of version 7 that the caller chose. The agent
//     that runs it first collects grants from a quorum of the service's agents;
//     each agent grants a key to one process only. The time within the key
//     lets an agent that lost its ledger in a restart say which keys its
//     predecessor can't have granted.
//   - Any other key is never run by any agent, so that the refusal as not-run
//     is certain. The refusal carries an issued key to come back with.
//
// # Answers
//
// A request ends as done (with the same answer for each attempt), not-run
// (certain), unknown, or conflict (the key belongs to a different request).
// docs/design/at-most-once.md tells what a caller does with each of them.
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
//		case gddedup.Run:      // run it; call Started, then Finished
//		case gddedup.Relay:    // pass it to a.Home; call Relayed with the result
//		case gddedup.Ask:      // send a.Question to a.Peer; call Answered
//		case gddedup.Wait:     // an answer follows from a later event
//		case gddedup.AnswerDone, gddedup.AnswerNotRun, gddedup.AnswerUnknown, gddedup.AnswerConflict:
//		}
//	}
//
// Each Ask must be followed by one Answered, with the verdict [PeerFailed] when
// the peer did not answer in time. Call Tick no later than NextTick says: the
// core takes a longer silence for a pause of the process and then grants no
// key that may be older than the pause.
package gddedup
