package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// forcedDepth and urgentDepth limit the load per slot of an upstream that accepts
	// a flow although no upstream has a free slot. At these limits the last request
	// waits for two or three times its processing time, which the users' latency
	// objectives permit.
	forcedDepth = 3
	urgentDepth = 4
)

// handleOpen decides on a packet that opens a flow.
func (g *Guard) handleOpen(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) {
	g.UpdateStatus(now, h)
	f, known := g.flows.Get(now, p.Key())
	reopened := known && f.opening.ReplacedBy(p, f.callerEnd, f.hasData)
	if known && f.state >= pending && !reopened {
		f.entry = entry
		g.add(Action{Verb: Deliver, Key: p.Key()})
		return
	}
	if r := g.refusal(now, h); r != 0 {
		g.returnPacket(p.Key(), entry, r)
		return
	}
	g.cold.spend(now)
	g.answers.sent(now)
	if reopened {
		g.work.end(f)
	}
	f = &flow{entry: entry, state: pending, expectedSeq: p.Ack, opening: gdflow.OpeningOf(p)}
	g.work.offer(now, f)
	g.flows.Put(now, p.Key(), f)
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// refusal returns why the upstream can't accept a new flow, or 0.
func (g *Guard) refusal(now time.Time, h Header) Reason {
	unavailable := g.unavailable(now)
	switch {
	case unavailable != 0 && !g.answers.probe(now):
		return unavailable
	case g.leaving:
		return Leaving
	case !g.status.AcceptsNew || now.Before(g.refusesUntil):
		return Draining
	case g.isCold(now) && !g.cold.allows(now, g.coldLimit(now)):
		return Cold
	case g.work.n >= int(g.status.Slots)*maxLoadPerSlot(h):
		return Busy
	}
	return 0
}

// unavailable returns why the upstream gets no flows but probes, or 0.
func (g *Guard) unavailable(now time.Time) Reason {
	switch {
	case g.exited:
		return Exited
	case g.answers.silent(now):
		return Silent
	}
	return 0
}

// maxLoadPerSlot returns the load per slot up to which the upstream accepts the flow.
func maxLoadPerSlot(h Header) int {
	switch {
	case h.Forced && h.Urgent:
		return urgentDepth
	case h.Forced:
		return forcedDepth
	}
	return 1
}
