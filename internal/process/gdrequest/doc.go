// Package gdrequest serves the requests that reach an agent. The admission
// controller decides on each one: it is sent to the upstream, relayed to a peer,
// or refused at once.
//
// # Outcomes
//
// A response that does not come from the upstream carries the header
// Godwitdrift-Outcome: "not-run" means that the request did not run, "unknown"
// that it may have run. A refusal carries Retry-After.
//
// An upstream that responds with status 503 and Retry-After declares that it did
// not run the request.
//
// # Usage
//
//	s := &gdrequest.Server{Self: 101, Config: conf, Target: url, Peers: peers}
//	go s.Run(ctx)
//	http3.Server{Handler: s}
package gdrequest
