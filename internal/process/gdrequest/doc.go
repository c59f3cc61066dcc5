// Package gdrequest serves the requests that reach an agent: it asks the
// admission core about each, sends the admitted ones to the upstream, passes
// others on to a peer, and refuses the rest at once.
//
// # What a caller is told
//
// A request that gets no answer of the upstream carries the header
// Godwitdrift-Outcome: "not-run" says that it certainly did not run, "unknown"
// that it may have. A refusal carries Retry-After.
//
// An upstream that answers 503 with Retry-After states that it did not run the
// request.
//
// # Usage
//
//	s := &gdrequest.Server{Self: 101, Config: conf, Target: url, Peers: peers}
//	go s.Run(ctx)
//	http3.Server{Handler: s}
package gdrequest
