package gdentry

import (
	"context"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
	"godwitdrift.example/godwitdrift/internal/wire/gdhop"
)

// readCallers forwards the callers' packets.
func (e *EntryHost) readCallers(ctx context.Context) error {
	in := gdbatch.NewReader(e.callers, gdsocket.MaxDatagramSize)
	out := e.newSender()
	return e.read(ctx, in, func(now time.Time, b []byte, _ netip.AddrPort) {
		p, err := e.Codec.FromCaller(b)
		if err != nil {
			e.seen.malformed.Inc(1)
			return
		}
		e.Codec.ClearReserved(b)
		e.lastSeen.Store(now.UnixNano())
		out.do(now, e.core.HandleCallerPacket(now, p, b))
	}, out)
}

// readAgents takes in the agents' messages.
func (e *EntryHost) readAgents(ctx context.Context) error {
	in := gdbatch.NewReader(e.hop, gdsocket.MaxDatagramSize)
	out := e.newSender()
	return e.read(ctx, in, func(now time.Time, b []byte, from netip.AddrPort) {
		host, m, err := gdhop.ParseFrom(b, from, e.HopAddress.Port())
		if err != nil {
			e.seen.malformed.Inc(1)
			return
		}
		e.answered(now, host, m, out)
	}, out)
}

// answered takes in one message of an agent.
func (e *EntryHost) answered(now time.Time, host gdflow.Address, m gdhop.Message, out *sender) {
	switch m.Type {
	case gdhop.Accepted:
		out.do(now, e.core.HandleAccepted(now, host, m.Key))
		e.seen.accepted.Inc(1)
		e.seen.event(now, e.Log, gdlog.FlowAccepted, "flow", m.Key, "upstream", host, "load", m.Load)
	case gdhop.Held:
		out.do(now, e.core.HandleHeld(now, host, m.Key))
		e.seen.event(now, e.Log, gdlog.FlowFound, "flow", m.Key, "upstream", host)
	case gdhop.QueryReply:
		out.do(now, e.core.HandleHoldings(now, host, m.Revision, m.Keys, m.Holdings))
	case gdhop.Return:
		p, err := e.Codec.FromCaller(m.Packet)
		if err != nil {
			e.seen.malformed.Inc(1)
			return
		}
		e.Codec.ClearReserved(m.Packet)
		e.seen.returned(m.Reason)
		if p.Opens() {
			e.seen.event(now, e.Log, gdlog.PacketReturned, "flow", p.Key(), "upstream", host, "reason", m.Reason.String(),
				"load", m.Load, "revision", m.Revision)
		}
		ans := gddispatch.ReturnInfo{From: host, Load: int(m.Load), Revision: m.Revision, Reason: m.Reason}
		out.do(now, e.core.HandleReturned(now, ans, p, m.Packet))
	}
}

// read hands each datagram to handle, with the core locked, until the socket is
// closed.
func (e *EntryHost) read(ctx context.Context, in *gdbatch.Reader,
	handle func(time.Time, []byte, netip.AddrPort), out *sender,
) error {
	p := &gdsocket.ReadLoop{
		Reader: in, Lock: &e.mu, Handle: handle, EndBatch: func(time.Time) { e.wakeTick() }, Flush: out.flush,
		OnReadError: func() { e.seen.failedReads.Inc(1) },
	}
	return p.Run(ctx)
}

// wakeTick has the searches looked after if any waits. The lock is held.
func (e *EntryHost) wakeTick() {
	e.noticeReach()
	if e.core.NextTick().IsZero() {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tick looks after the searches' time limits while there are any.
func (e *EntryHost) tick(ctx context.Context) {
	out := e.newSender()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		for ctx.Err() == nil {
			e.mu.Lock()
			next := e.core.NextTick()
			e.mu.Unlock()
			if next.IsZero() {
				break
			}
			t.Reset(max(time.Until(next), tickTime))
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			now := time.Now()
			e.mu.Lock()
			out.do(now, e.core.Tick(now))
			e.noticeReach()
			e.mu.Unlock()
			out.flush()
		}
	}
}

// noticeReach notes whether the host reaches any agents. The lock is held.
func (e *EntryHost) noticeReach() {
	cutOff := e.core.CutOff()
	if e.cutOff.Swap(cutOff) == cutOff {
		return
	}
	ev := gdlog.AgentsReachable
	if cutOff {
		ev = gdlog.AgentsUnreachable
	}
	e.Log.Event(ev, "silent", e.core.Suspects(time.Now()), "revision", e.book.Revision())
}

// sender carries out the core's actions. It belongs to one goroutine.
type sender struct {
	e   *EntryHost
	out *gdbatch.Writer
}

func (e *EntryHost) newSender() *sender {
	return &sender{e: e, out: gdbatch.NewWriter(e.hop, gdsocket.MaxDatagramSize+gdhop.MaxOverhead)}
}

func (s *sender) do(now time.Time, actions []gddispatch.Action) {
	for i := range actions {
		a := &actions[i]
		s.e.seen.decided(a.Verb, a.Reason)
		switch a.Verb {
		case gddispatch.Forward:
			b := gdhop.AppendForward(s.out.Buffer(), a.Header, a.Opens)
			s.out.Queue(append(b, a.Packet...), a.To.WithPort(s.e.HopAddress.Port()).AddrPort())
			if !a.Opens && a.Reason != gddispatch.ByRank {
				continue
			}
		case gddispatch.SendStatus:
			b := gdhop.AppendStatus(s.out.Buffer(), a.Header.Service, a.Header.Status)
			s.out.Queue(b, a.To.WithPort(s.e.HopAddress.Port()).AddrPort())
			continue
		case gddispatch.Query:
			b := gdhop.AppendQuery(s.out.Buffer(), a.Header.Service, a.Header.Status, a.Keys)
			s.out.Queue(b, a.To.WithPort(s.e.HopAddress.Port()).AddrPort())
			continue
		case gddispatch.Reset:
			b := s.e.Codec.AppendReset(s.out.Buffer(), a.Key, a.Seq)
			s.out.Queue(b, a.Key.Caller().WithPort(s.e.CallerAddress.Port()).AddrPort())
		}
		if a.Reason != gddispatch.Waiting {
			s.e.logAction(now, a)
		}
	}
}

func (s *sender) flush() {
	if lost := s.out.Flush(); lost > 0 {
		s.e.seen.failedWrites.Inc(int64(lost))
	}
}

// logAction writes a line on a decision that is not about every packet of a flow.
func (e *EntryHost) logAction(now time.Time, a *gddispatch.Action) {
	var ev gdlog.Event
	switch {
	case a.Verb == gddispatch.Reset:
		ev = gdlog.FlowReset
	case a.Verb == gddispatch.Drop:
		ev = gdlog.PacketDropped
	case a.Opens:
		ev = gdlog.FlowOffered
	default:
		ev = gdlog.FlowLookedUp
	}
	e.seen.event(now, e.Log, ev, "flow", a.Key, "upstream", a.To, "reason", a.Reason.String(), "tries", a.Attempts,
		"revision", e.book.Revision(), "age", e.book.Age(now).Milliseconds())
}
