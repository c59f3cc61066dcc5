// Package gdlog writes the log of a process as numbered events.
//
// Each kind of event is declared once, in events.go, with a number that is never
// reused for another kind. docs/EVENTS.md lists all events with advice for operators,
// and a test compares that page with the code. Each line of the log is one event as a
// JSON object with the fields time, level, event, text and the event's own fields.
//
// # Usage
//
//	log := gdlog.New(os.Stderr, gdlog.Info).With("process", "entry-1")
//	log.Event(gdlog.ConfigurationInForce, "version", v.String())
//	log.Failure(gdlog.PlatformUnreachable, err, "failures", 3)
//
// Events that unauthenticated senders can cause at any rate, such as dropped datagrams,
// go through a [RateLimit], which counts the suppressed ones:
//
//	drops := gdlog.RateLimit[string]{Interval: gdlog.DropInterval}
//	if n, ok := drops.Add(now, "envelope-forged"); ok {
//		log.Event(gdlog.DatagramsDropped, "reason", "envelope-forged", "count", n)
//	}
//
// A process that must never block on its log writes through a [Queue]:
//
//	q := gdlog.NewQueue(os.Stderr, gdlog.DefaultQueueSize)
//	go q.Run(ctx)
//	log := gdlog.New(q, gdlog.Info)
//
// # Secrets
//
// No event contains a key, a token or a request body. Callers of this package pass
// names and counts only.
package gdlog
