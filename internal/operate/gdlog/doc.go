// Package gdlog writes a process's log as numbered events.
//
// Each kind of event is declared once, in events.go, with a number that is never
// given to another kind. docs/EVENTS.md lists them all with what an operator is
// to do, and a test compares that page with the code. Lines are JSON, one event
// each, with the fields time, level, event, text and those of the event itself.
//
// # Usage
//
//	log := gdlog.New(os.Stderr, gdlog.Info).With("process", "entry-1")
//	log.Event(gdlog.ConfigurationInForce, "version", v.String())
//	log.Failure(gdlog.PlatformUnreachable, err, "failures", 3)
//
// An event that a stranger can bring about at any rate, such as a dropped
// datagram, goes through a [RateLimit], which counts what it holds back:
//
//	drops := gdlog.RateLimit[string]{Interval: gdlog.DropInterval}
//	if n, ok := drops.Add(now, "bad-seal"); ok {
//		log.Event(gdlog.DatagramsDropped, "reason", "bad-seal", "count", n)
//	}
//
// A process that must never wait for its log puts a [Queue] in front of it:
//
//	q := gdlog.NewQueue(os.Stderr, gdlog.DefaultQueue)
//	go q.Run(ctx)
//	log := gdlog.New(q, gdlog.Info)
//
// # Secrets
//
// No event carries a key, a token or the body of a request. Callers of this
// package pass names and counts.
package gdlog
