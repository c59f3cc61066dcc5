// Package gdoperator implements the operator port of a process and its client.
//
// Each process serves over HTTP its status, its state and the reasons of its decisions:
//
//	GET /livez                          "ok" while the process runs
//	GET /status                         a Status as JSON
//	GET /dump                           the full state of the process as JSON
//	GET /decisions?subject=ID&last=N    the newest decision records, oldest first
//	GET /metrics                        metrics in the Prometheus text format
//
// All paths are read-only. The port has no authentication: it must listen on an address
// that only operators can reach.
//
// # Usage
//
// A process fills in a Port and serves its handler on its operator address:
//
//	records := gdoperator.NewRing(gdoperator.DefaultRecords)
//	port := gdoperator.Port{Status: p, Dumper: p, Decisions: records, Metrics: m}
//	srv := &http.Server{Handler: port.Handler()}
//
// The command line queries it:
//
//	c := gdoperator.Client{Address: "192.0.2.11:7002"}
//	st, err := c.Status(ctx)
//
// # Secrets
//
// No response contains a key. Keys have the type gdsettings.Key, which is encoded as
// "(redacted)". Decision records identify a flow by the address of its caller and a
// request by the identifier that its caller received, never by its Idempotency-Key.
package gdoperator
