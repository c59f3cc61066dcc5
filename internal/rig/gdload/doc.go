// Package gdload is the rig's load tool: HTTP/3 callers that check each answer.
//
// A flow is one QUIC connection from a socket of its own. Echo flows send small
// requests, feed flows hold an open streamed answer, and once flows send
// at-most-once requests with an Idempotency-Key and repeat them under the same
// key when their outcome is unknown.
//
// # Usage
//
//	l := &gdload.Load{
//		Targets: []gdload.Target{{Service: "booking", Addr: addr, Echo: 20, Feeds: 10, Once: 5}},
//		Roots:   roots,
//		Record:  record, // of the upstream stand-ins; proves not-run and at-most-once
//		Seed:    1,
//	}
//	err := l.Run(ctx) // until ctx ends
//	fmt.Println(l.Result())
//
// # Counting
//
// A flow that ends against the caller's wish is broken, unless the agent closed
// it with the code [CodeDomainOut], when it is given up. A refusal that says
// not-run counts as wrong when the record shows a start. A request that gets
// neither an answer nor a refusal with a stated outcome is unknown.
package gdload
