package gddispatch_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// query delivers a query to an agent, and the reply to the entry host.
func (f *fleet) query(i int, e *entry, to gdflow.Address, h gdguard.Header, keys []gdflow.Key) {
	ag := f.agentOn(to)
	if ag == nil || ag.down {
		return
	}
	var holdings []gdguard.Holding
	ag.guard.UpdateStatus(f.now, h)
	for _, k := range keys {
		holdings = append(holdings, ag.guard.Report(f.now, h, k))
	}
	f.messages++
	f.after(f.hopTo(i, ag.at), func() {
		if !e.down {
			f.act(i, e, e.core.HandleHoldings(f.now, ag.at.WithPort(7720), ag.guard.Revision(), keys, holdings))
		}
	})
}

// arrive delivers a packet to an agent.
func (f *fleet) arrive(from, to gdflow.Address, h gdguard.Header, p gdflow.Packet) {
	ag := f.agentOn(to)
	if ag == nil || ag.down {
		return
	}
	for _, a := range append([]gdguard.Action(nil), ag.guard.HandleEntryPacket(f.now, from, h, p)...) {
		f.actGuard(ag, a, p)
	}
	f.scheduleTick(ag)
}

// scheduleTick calls the guard's Tick when it is due.
func (f *fleet) scheduleTick(ag *agent) {
	if at := ag.guard.NextTick(); !at.IsZero() {
		f.after(max(at.Sub(f.now), time.Millisecond), func() { f.tickGuard(ag) })
	}
}

func (f *fleet) actGuard(ag *agent, a gdguard.Action, p gdflow.Packet) {
	switch {
	case a.Verb == gdguard.Keep:
		ag.kept[a.Kept] = p
	case a.Kept != 0:
		p = ag.kept[a.Kept]
		delete(ag.kept, a.Kept)
	}
	switch a.Verb {
	case gdguard.Deliver:
		f.deliver(ag, p)
	case gdguard.Reset:
		f.resets[a.Key] = gddispatch.FlowGone
	default:
		f.report(ag, a, p)
	}
}

// report sends a message of an agent to an entry host.
func (f *fleet) report(ag *agent, a gdguard.Action, p gdflow.Packet) {
	answer := func(do func(i int, e *entry)) {
		f.messages++
		for i := range 64 {
			if e := f.entries[entryAt(i)]; e != nil && entryAt(i) == a.Entry {
				f.after(f.hopTo(i, ag.at), func() {
					if !e.down {
						do(i, e)
					}
				})
			}
		}
	}
	switch a.Verb {
	case gdguard.Return:
		info := gddispatch.ReturnInfo{From: ag.at.WithPort(7720), Load: ag.guard.Load(), Wait: a.Wait, Revision: ag.guard.Revision(), Reason: a.Reason}
		answer(func(i int, e *entry) { f.act(i, e, e.core.HandleReturned(f.now, info, p, f.raw(p))) })
	case gdguard.ReportAccepted:
		answer(func(i int, e *entry) { f.act(i, e, e.core.HandleAccepted(f.now, ag.at.WithPort(7720), a.Key)) })
	case gdguard.ReportHeld, gdguard.ReportUnsure:
		answer(func(i int, e *entry) {
			from, held := ag.at.WithPort(7720), a.Verb == gdguard.ReportHeld
			if !ag.older {
				holding := gdguard.Unsure
				if held {
					holding = gdguard.Present
				}
				f.act(i, e, e.core.HandleHoldings(f.now, from, ag.guard.Revision(), []gdflow.Key{a.Key}, []gdguard.Holding{holding}))
			}
			if held || ag.older {
				f.act(i, e, e.core.HandleHeld(f.now, from, a.Key))
			}
		})
	}
}

// tickGuard lets the agent do what is due.
func (f *fleet) tickGuard(ag *agent) {
	if at := ag.guard.NextTick(); at.IsZero() || at.After(f.now) {
		return // done by an earlier tick
	}
	for _, a := range append([]gdguard.Action(nil), ag.guard.Tick(f.now)...) {
		f.actGuard(ag, a, gdflow.Packet{})
	}
	f.scheduleTick(ag)
}

// deliver passes a packet to the upstream, which answers at once or when the request
// is processed.
func (f *fleet) deliver(ag *agent, p gdflow.Packet) {
	if ag.unresponsive {
		return
	}
	_, held := ag.held[p.Key()]
	if held && p.Size > 0 {
		ag.received[p.Key()]++
		if ag.received[p.Key()]%2 == 0 { // it acknowledges every second packet
			f.reply(ag, gdflow.Data, p.Key(), 0)
		}
	}
	switch {
	case p.Opens():
		ag.opened++
		ag.held[p.Key()] = rand.New(rand.NewPCG(1, uint64(len(f.packets)))).Uint32()
		f.reply(ag, gdflow.Accept, p.Key(), 0)
	case !held:
		ag.misdelivered[p.Key()]++
		back := p
		back.Returned = true
		for _, a := range append([]gdguard.Action(nil), ag.guard.HandleUpstreamPacket(f.now, back)...) {
			f.actGuard(ag, a, p)
		}
	case p.Size > 0 && p.Seq == 0: // later packets belong to the same request
		ag.requests++
		ag.running++
		ag.maxRunning = max(ag.maxRunning, ag.running)
		// The upstream processes as many requests as it has slots; the rest is queued.
		slots := int(max(ag.guard.Status().Slots, 1))
		if len(ag.free) < slots {
			ag.free = append(ag.free, f.now)
		}
		next := slices.Index(ag.free, slices.MinFunc(ag.free, time.Time.Compare))
		if ag.free[next].Before(f.now) {
			ag.free[next] = f.now
		}
		ag.free[next] = ag.free[next].Add(f.work)
		f.after(ag.free[next].Sub(f.now), func() {
			ag.running--
			f.slowest = max(f.slowest, f.now.Sub(f.opened[p.Key()]))
			f.reply(ag, gdflow.Data, p.Key(), 500)
		})
	}
}

func (f *fleet) reply(ag *agent, kind gdflow.Kind, k gdflow.Key, size int) {
	if ag.down || ag.unresponsive {
		return
	}
	p := gdflow.NewPacket(k, kind)
	p.Size, p.Seq = size, ag.held[k]
	if kind == gdflow.Accept && f.requestOnOpen {
		f.after(2*hop, func() { f.request(int(k.Caller().IP()[3])%4, k) })
	}
	for _, a := range append([]gdguard.Action(nil), ag.guard.HandleUpstreamPacket(f.now, p)...) {
		f.actGuard(ag, a, p)
	}
	f.scheduleTick(ag)
}
