package gdentry

import (
	"context"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdpacer"
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
			e.metrics.malformed.Inc(1)
			return
		}
		e.Codec.ClearReserved(b)
		e.lastPacket.Store(now.UnixNano())
		out.execute(now, e.dispatcher.HandleCallerPacket(now, p, b))
	}, out)
}

// readAgents handles the agents' messages.
func (e *EntryHost) readAgents(ctx context.Context) error {
	in := gdbatch.NewReader(e.hop, gdsocket.MaxDatagramSize)
	out := e.newSender()
	return e.read(ctx, in, func(now time.Time, b []byte, from netip.AddrPort) {
		host, m, err := gdhop.ParseFrom(b, from, e.HopAddress.Port())
		if err != nil {
			e.metrics.malformed.Inc(1)
			return
		}
		e.handleMessage(now, host, m, out)
	}, out)
}

// handleMessage handles one message of an agent.
func (e *EntryHost) handleMessage(now time.Time, host gdflow.Address, m gdhop.Message, out *sender) {
	switch m.Type {
	case gdhop.Accepted:
		out.execute(now, e.dispatcher.HandleAccepted(now, host, m.Key))
		e.metrics.accepted.Inc(1)
		e.metrics.event(now, e.Log, gdlog.FlowAccepted, "flow", m.Key, "upstream", host, "load", m.Load, "wait", m.Wait.String())
	case gdhop.Held:
		out.execute(now, e.dispatcher.HandleHeld(now, host, m.Key))
		e.metrics.event(now, e.Log, gdlog.FlowFound, "flow", m.Key, "upstream", host)
	case gdhop.QueryReply:
		out.execute(now, e.dispatcher.HandleHoldings(now, host, m.Revision, m.Keys, m.Holdings))
	case gdhop.Return:
		p, err := e.Codec.FromCaller(m.Packet)
		if err != nil {
			e.metrics.malformed.Inc(1)
			return
		}
		e.Codec.ClearReserved(m.Packet)
		e.metrics.countReturn(m.Reason)
		if p.Opens() {
			e.metrics.event(now, e.Log, gdlog.PacketReturned, "flow", p.Key(), "upstream", host, "reason", m.Reason.String(),
				"load", m.Load, "wait", m.Wait.String(), "revision", m.Revision)
		}
		info := gddispatch.ReturnInfo{From: host, Load: int(m.Load), Wait: m.Wait, Revision: m.Revision, Reason: m.Reason}
		out.execute(now, e.dispatcher.HandleReturned(now, info, p, m.Packet))
	}
}

// read calls handle for each datagram, with mu locked, until the socket is closed.
func (e *EntryHost) read(ctx context.Context, in *gdbatch.Reader,
	handle func(time.Time, []byte, netip.AddrPort), out *sender,
) error {
	p := &gdsocket.ReadLoop{
		Reader: in, Lock: &e.mu, Handle: handle, EndBatch: func(time.Time) { e.wakeTick() }, Flush: out.flush,
		OnReadError: func() { e.metrics.failedReads.Inc(1) },
	}
	return p.Run(ctx)
}

// wakeTick updates the cut-off state, and wakes tick if any lookup has a timeout. It is
// called with mu locked.
func (e *EntryHost) wakeTick() {
	e.updateCutOff()
	if e.dispatcher.NextTick().IsZero() {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tick handles the timeouts of lookups while there are any.
func (e *EntryHost) tick(ctx context.Context) {
	out := e.newSender()
	e.runTimer(ctx, e.wake, e.dispatcher.NextTick, func(now time.Time) {
		out.execute(now, e.dispatcher.Tick(now))
		e.updateCutOff()
	}, out)
}

// sendPaced sends the packets that the pacer has queued.
func (e *EntryHost) sendPaced(ctx context.Context) {
	out := e.newSender()
	e.runTimer(ctx, e.paced, e.pacer.NextDue, func(now time.Time) {
		for k := range e.pacer.Due(now) {
			out.out.Queue(append(out.out.Buffer(), k.Datagram...), k.To.AddrPort())
		}
	}, out)
}

// runTimer calls due, with mu locked, at the times that next returns, until that is the
// zero time. It starts again after each wake-up.
func (e *EntryHost) runTimer(ctx context.Context, wake <-chan struct{}, next func() time.Time, due func(now time.Time), out *sender) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for ctx.Err() == nil {
			e.mu.Lock()
			at := next()
			e.mu.Unlock()
			if at.IsZero() {
				break
			}
			t.Reset(max(time.Until(at), minTickInterval))
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			e.mu.Lock()
			due(time.Now())
			e.mu.Unlock()
			out.flush()
		}
	}
}

// updateCutOff records and logs whether the host is cut off from the agents. It is
// called with mu locked.
func (e *EntryHost) updateCutOff() {
	cutOff := e.dispatcher.CutOff()
	if e.cutOff.Swap(cutOff) == cutOff {
		return
	}
	ev := gdlog.AgentsReachable
	if cutOff {
		ev = gdlog.AgentsUnreachable
	}
	e.Log.Event(ev, "silent", e.dispatcher.SilentHosts(), "revision", e.state.Revision())
}

// sender executes the dispatcher's actions. It is not safe for concurrent use.
type sender struct {
	host *EntryHost
	out  *gdbatch.Writer
}

func (e *EntryHost) newSender() *sender {
	return &sender{host: e, out: gdbatch.NewWriter(e.hop, gdsocket.MaxDatagramSize+gdhop.MaxOverhead)}
}

func (s *sender) execute(now time.Time, actions []gddispatch.Action) {
	for i := range actions {
		a := &actions[i]
		s.host.metrics.countAction(a)
		switch a.Verb {
		case gddispatch.Forward:
			b := gdhop.AppendForward(s.out.Buffer(), a.Header, a.Opens)
			s.forward(now, a, append(b, a.Packet...))
			if !a.Opens && a.Reason != gddispatch.ByRank {
				continue
			}
		case gddispatch.SendStatus:
			s.queue(now, gdhop.AppendStatus(s.out.Buffer(), a.Header.Service, a.Header.Status), a.To)
			continue
		case gddispatch.Query:
			s.queue(now, gdhop.AppendQuery(s.out.Buffer(), a.Header.Service, a.Header.Status, a.Keys), a.To)
			continue
		case gddispatch.Probe:
			s.host.requestProbe(a.To, a.Control)
			continue
		case gddispatch.Verify:
			s.host.requestVerification()
			continue
		case gddispatch.Reset:
			b := s.host.Codec.AppendReset(s.out.Buffer(), a.Key, a.Seq)
			s.out.Queue(b, a.Key.Caller().WithPort(s.host.CallerAddress.Port()).AddrPort())
		}
		if a.Reason != gddispatch.Waiting {
			s.host.logAction(now, a)
		}
	}
}

// queue queues a message to an agent that is sent whatever else uses the link.
func (s *sender) queue(now time.Time, message []byte, to gdflow.Address) {
	s.host.pacer.Spend(now, len(message))
	s.out.Queue(message, to.WithPort(s.host.HopAddress.Port()).AddrPort())
}

// forward sends the datagram of a forwarded packet now, or when the pacer allows it.
func (s *sender) forward(now time.Time, a *gddispatch.Action, datagram []byte) {
	to := a.To.WithPort(s.host.HopAddress.Port())
	d := s.host.pacer.Offer(now, gdpacer.Packet{Key: a.Key, Seq: a.PacketSeq, Size: a.PacketSize, Urgent: a.Urgent, To: to, Datagram: datagram})
	s.host.metrics.countPaced(d)
	switch d {
	case gdpacer.Pass:
		s.out.Queue(datagram, to.AddrPort())
	case gdpacer.Queued:
		select {
		case s.host.paced <- struct{}{}:
		default:
		}
	case gdpacer.Dropped:
		s.host.metrics.event(now, s.host.Log, gdlog.PacketDropped, "flow", a.Key, "upstream", a.To, "reason", "link-full",
			"queued", s.host.pacer.Queued())
	}
}

func (s *sender) flush() {
	if lost := s.out.Flush(); lost > 0 {
		s.host.metrics.failedWrites.Inc(int64(lost))
	}
}

// logAction logs a decision, except those made for every packet of a flow.
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
	fields := []any{
		"flow", a.Key, "upstream", a.To, "reason", a.Reason.String(), "tries", a.Attempts,
		"revision", e.state.Revision(), "age", e.state.Age(now).Milliseconds(),
	}
	if a.Service != "" {
		fields = append(fields, "service", a.Service, "far", a.Far)
	}
	if a.Spill != (gddispatch.Spill{}) {
		fields = append(fields, "from", a.Spill.From, "why", a.Spill.Cause.String())
	}
	if a.Reason == gddispatch.Overloaded {
		fields = append(fields, "wait", a.Wait.String())
	}
	if m := a.Missing; m != (gddispatch.Missing{}) {
		fields = append(fields, "silent", m.Silent, "unsure", m.Unsure, "required", m.Required, "after", m.After.String())
	}
	e.metrics.event(now, e.Log, ev, fields...)
}
