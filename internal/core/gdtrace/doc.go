// Package gdtrace records what decision cores were told and what they decided,
// and replays such a record through fresh cores.
//
// A trace is a sequence of CBOR records: one [Header], then one [Event] for each
// thing that a process was told, in the order of virtual time, with the outcomes
// that were observed. docs/TRACES.md has the table of all fields.
//
// A trace holds no key: the cores that sign draw their secret from the seed in
// the header. A process that is recorded must draw it in the same way.
//
// # Usage
//
// Recording, beside a core or in place of it:
//
//	w, err := gdtrace.NewWriter(file, header)
//	err = w.Write(gdtrace.Event{
//		At: now.Sub(start), Process: 0, Kind: gdtrace.KindPacket,
//		Packet: gdtrace.PacketOf(p), Outcomes: gdtrace.RouteOutcomes(decision),
//	})
//
//	p, err := gdtrace.NewPlayer(header)
//	event.Outcomes, err = p.Apply(event)
//
// Replaying:
//
//	report, err := gdtrace.Replay(file)
//	if err != nil {
//		return err // the trace can't be read
//	}
//	for _, d := range report.Differences() {
//		fmt.Println(d)
//	}
package gdtrace
