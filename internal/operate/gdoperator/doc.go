// Package gdoperator is the operator port of a process, and the client for it.
//
// Each process answers over HTTP what it is, which configuration it has in force
// and why it decided as it did:
//
//	GET /livez                          "ok" while the process runs
//	GET /status                         a Status in JSON
//	GET /dump                           the whole state of the process in JSON
//	GET /decisions?subject=ID&last=N    the newest decision records, oldest first
//	GET /metrics                        counts in the Prometheus text format
//
// Every path only reads. The port has no login: it belongs on an address that
// only operators reach.
//
// # Usage
//
// A process fills in a Port and serves its handler on its operator address:
//
//	records := gdoperator.NewRing(gdoperator.DefaultRecords)
//	port := gdoperator.Port{Status: p, Dumper: p, Decisions: records, Metrics: m}
//	srv := &http.Server{Handler: port.Handler()}
//
// The command line reads it:
//
//	c := gdoperator.Client{Address: "192.0.2.11:7002"}
//	st, err := c.Status(ctx)
//
// # Secrets
//
// Nothing on this port holds a key. Keys are of type gdsettings.Key, which
// encodes as "(redacted)", and decision records name flows by their identifier
// and requests by a short hash of their Idempotency-Key.
package gdoperator
