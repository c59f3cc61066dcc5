// Package gddecide keeps the latest decisions of a process in a bounded ring,
// so that an operator can ask why a flow or a request went where it went, or
// why it was refused.
//
// A [Record] is one decision: when, about which flow or request, what kind,
// at which service and upstream, and for which reason. A [Log] keeps the last
// so many of them and selects by subject, service, upstream and time. Adding a
// record allocates nothing. Nothing secret or personal belongs in a record.
//
// # Usage
//
//	log := gddecide.NewLog(gddecide.DefaultRecords)
//	log.Add(gddecide.New(now, gddecide.Refused, gddecide.Request(flow, request)).
//		At(service, upstream).Because("queue-full"))
//	for _, r := range log.Select(gddecide.Query{Request: request}) {
//		fmt.Println(r)
//	}
//
// A log belongs to one goroutine; another one that wants to read it asks the
// owner.
package gddecide
