// Package gdtrace records the input events of decision cores and their outcomes,
// and replays a recording against new cores.
//
// A trace is a sequence of CBOR records: one [Header], then one [Event] for each
// input of a process, in the order of virtual time, with the outcomes that were
// observed. docs/TRACES.md lists all fields.
//
// A trace contains no secret: the cores that sign keys derive their secret from
// the seed in the header, with [NewSigner]. A recorded process must do the same.
//
// # Usage
//
// To record the events of a core, or to run a core and record its events:
//
//	w, err := gdtrace.NewWriter(file, header)
//	err = w.Write(gdtrace.Event{
//		At: now.Sub(start), Process: 0, Kind: gdtrace.KindPacket,
//		Packet: gdtrace.NewPacket(p), Outcomes: gdtrace.RouteOutcomes(decision),
//	})
//
//	p, err := gdtrace.NewPlayer(header)
//	event.Outcomes, err = p.Apply(event)
//
// To replay a trace:
//
//	report, err := gdtrace.Replay(file)
//	if err != nil {
//		return err // the trace is not valid
//	}
//	for _, d := range report.Differences() {
//		fmt.Println(d)
//	}
package gdtrace
