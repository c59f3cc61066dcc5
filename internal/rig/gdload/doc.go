// Package gdload is the load generator of the rig: HTTP/3 callers that verify
// each answer.
//
// A flow is one QUIC connection from its own socket. Echo flows send small
// requests. Feed flows hold a streamed answer open. Once flows send at-most-once
// requests with an Idempotency-Key, and repeat a request under the same key while
// its outcome is unknown.
//
// # Usage
//
//	l := &gdload.Load{
//		Targets: []gdload.Target{{Service: "booking", Addr: addr, EchoFlows: 20, FeedFlows: 10, OnceFlows: 5}},
//		Roots:   roots,
//		Record:  record, // of the upstream simulators; verifies not-run and at-most-once
//		Seed:    1,
//	}
//	err := l.Run(ctx) // until ctx ends
//	fmt.Println(l.Result())
//
// # Counting
//
// A flow that ends before the load closes it counts as broken. If the agent
// closed it with the code [CodeDomainOut], it counts as aborted instead. A
// refusal with the outcome not-run counts as wrong if the record contains a start
// of the request. A request without an answer, and without a refusal that states
// the outcome not-run, counts as unknown. A key whose requests the record shows as
// started more than once counts as a duplicate run.
package gdload
