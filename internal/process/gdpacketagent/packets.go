package gdpacketagent

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
	"godwitdrift.example/godwitdrift/internal/wire/gdhop"
)

// readEntries handles the messages of entry hosts.
func (a *Agent) readEntries(ctx context.Context) error {
	in := gdbatch.NewReader(a.hop, gdsocket.MaxDatagramSize)
	out := a.newSender()
	return a.read(ctx, in, out, func(now time.Time, b []byte, from netip.AddrPort) {
		entry, m, err := gdhop.ParseFrom(b, from, a.HopAddress.Port())
		if err != nil {
			a.metrics.malformed.Inc(1)
			return
		}
		switch m.Type {
		case gdhop.Status:
			a.updateStatus(now, entry, m.Header)
		case gdhop.Query:
			a.updateStatus(now, entry, m.Header)
			out.replyToQuery(now, entry, m)
		case gdhop.Forward:
			p, err := a.Codec.FromCaller(m.Packet)
			if err != nil {
				a.metrics.malformed.Inc(1)
				return
			}
			if p.Opens() {
				a.updateStatus(now, entry, m.Header)
			}
			out.execute(now, p, m.Packet, a.Guard.HandleEntryPacket(now, entry, m.Header, p))
		}
	})
}

// updateStatus applies the upstream's status as reported by an entry host.
func (a *Agent) updateStatus(now time.Time, entry gdflow.Address, h gdguard.Header) {
	if st := h.Status; a.Guard.UpdateStatus(now, h) {
		a.Log.Event(gdlog.UpstreamStatusChanged, "revision", st.Revision, "takes-new", st.AcceptsNew, "slots", st.Slots,
			"cold-left", st.ColdLeft.String(), "view-age", st.ViewAge.String(), "source", entry.String())
	}
}

// readUpstream handles the packets of the upstream.
func (a *Agent) readUpstream(ctx context.Context) error {
	in := gdbatch.NewReader(a.fromUpstream, gdsocket.MaxDatagramSize)
	out := a.newSender()
	return a.read(ctx, in, out, func(now time.Time, b []byte, from netip.AddrPort) {
		if from.Addr() != a.UpstreamAddress.Addr() && !from.Addr().IsLoopback() {
			a.metrics.malformed.Inc(1)
			return
		}
		p, err := a.Codec.FromUpstream(b)
		if err != nil {
			a.metrics.malformed.Inc(1)
			return
		}
		out.execute(now, p, b, a.Guard.HandleUpstreamPacket(now, p))
	})
}

// watchUpstream waits for the error that reports that nothing listens on the
// upstream's port.
func (a *Agent) watchUpstream(ctx context.Context) {
	out := a.newSender()
	buf := make([]byte, 1)
	for ctx.Err() == nil {
		_, err := a.toUpstream.Read(buf)
		if err == nil {
			continue
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		a.upstreamExited(time.Now(), out)
	}
}

// probeUpstream opens a connection to the upstream's port when the guard requests it.
// The host refuses the connection if nothing listens.
func (a *Agent) probeUpstream(ctx context.Context) {
	out := a.newSender()
	d := net.Dialer{Timeout: probeTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.probe:
		}
		c, err := d.DialContext(ctx, "tcp4", a.UpstreamAddress.String())
		switch {
		case err == nil:
			if err := c.Close(); err != nil {
				a.metrics.failedWrites.Inc(1)
			}
		case errors.Is(err, syscall.ECONNREFUSED):
			a.upstreamExited(time.Now(), out)
		default:
			a.Log.Failure(gdlog.UpstreamUnreachable, err)
		}
	}
}

// upstreamExited resets the flows of an upstream whose process is gone.
func (a *Agent) upstreamExited(now time.Time, out *sender) {
	a.mu.Lock()
	flows, kept := a.Guard.Flows(), a.Guard.KeptPackets()
	actions := a.Guard.HandleUpstreamExit(now)
	if len(actions) > 0 {
		a.Log.Event(gdlog.UpstreamExited, "flows", flows, "resets", len(actions)-kept)
	}
	out.execute(now, gdflow.Packet{}, nil, actions)
	a.mu.Unlock()
	out.flush()
}

// read calls handle for each datagram, with mu locked, until the socket is closed.
func (a *Agent) read(ctx context.Context, in *gdbatch.Reader, out *sender,
	handle func(time.Time, []byte, netip.AddrPort),
) error {
	p := &gdsocket.ReadLoop{
		Reader: in, Lock: &a.mu, Handle: handle, Flush: out.flush,
		EndBatch: func(now time.Time) {
			if a.Guard.ShouldProbe(now) {
				a.requestProbe()
			}
			a.wakeTick()
		},
		OnReadError: func() { a.metrics.failedReads.Inc(1) },
	}
	return p.Run(ctx)
}

// requestProbe requests a probe of the upstream's port, unless one is pending.
func (a *Agent) requestProbe() {
	select {
	case a.probe <- struct{}{}:
	default:
	}
}

// sender executes the guard's actions. It is not safe for concurrent use.
type sender struct {
	agent *Agent
	out   *gdbatch.Writer
}

func (a *Agent) newSender() *sender {
	return &sender{agent: a, out: gdbatch.NewWriter(a.hop, gdsocket.MaxDatagramSize+gdhop.MaxOverhead)}
}

// execute executes the actions that were decided for the packet.
func (s *sender) execute(now time.Time, p gdflow.Packet, raw []byte, actions []gdguard.Action) {
	agent := s.agent
	for i := range actions {
		a := &actions[i]
		agent.metrics.countAction(a)
		raw := agent.kept.exchange(a, raw)
		switch a.Verb {
		case gdguard.Deliver:
			s.deliver(raw)
		case gdguard.SendToCaller:
			s.out.Queue(append(s.out.Buffer(), raw...), a.Key.Caller().WithPort(agent.CallerPort).AddrPort())
		case gdguard.Reset:
			b := agent.Codec.AppendReset(s.out.Buffer(), a.Key, a.Seq)
			s.out.Queue(b, a.Key.Caller().WithPort(agent.CallerPort).AddrPort())
		case gdguard.Return:
			b := gdhop.AppendReturn(s.out.Buffer(), a.Reason, agent.Guard.Load(), a.Wait, agent.Guard.Revision())
			s.out.Queue(append(b, raw...), a.Entry.WithPort(agent.HopAddress.Port()).AddrPort())
			agent.metrics.event(now, agent.Log, gdlog.PacketRefused, "flow", a.Key, "entry", a.Entry, "reason", a.Reason.String(),
				"opens", a.Kept == 0 && p.Opens(), "load", agent.Guard.Load(), "wait", a.Wait.String(), "revision", agent.Guard.Revision())
		case gdguard.ReportAccepted, gdguard.ReportHeld:
			t, ev := gdhop.Accepted, gdlog.FlowAccepted
			if a.Verb == gdguard.ReportHeld {
				s.replyHolding(a, gdguard.Present) // entry hosts of older builds know only the notice
				t, ev = gdhop.Held, gdlog.FlowFound
			}
			s.out.Queue(gdhop.AppendFlowNotice(s.out.Buffer(), t, a.Key, agent.Guard.Load(), agent.Guard.ExpectedWait(now)), a.Entry.WithPort(agent.HopAddress.Port()).AddrPort())
			agent.metrics.event(now, agent.Log, ev, "flow", a.Key, "entry", a.Entry, "load", agent.Guard.Load())
		case gdguard.ReportUnsure:
			s.replyHolding(a, gdguard.Unsure)
			agent.metrics.event(now, agent.Log, gdlog.FlowUndecided, "flow", a.Key, "entry", a.Entry, "silent-for", agent.Guard.SilentFor(now).String())
		}
	}
}

// deliver sends a packet to the upstream.
func (s *sender) deliver(raw []byte) {
	if _, err := s.agent.toUpstream.Write(raw); err != nil {
		// The refusal of an earlier packet may be reported here instead of in watchUpstream.
		s.agent.metrics.failedWrites.Inc(1)
		s.agent.requestProbe()
	}
}

// replyToQuery replies to an entry host's query about flows.
func (s *sender) replyToQuery(now time.Time, entry gdflow.Address, m gdhop.Message) {
	b := gdhop.AppendQueryReply(s.out.Buffer(), s.agent.Guard.Revision())
	for _, k := range m.Keys {
		h := s.agent.Guard.Report(now, m.Header, k)
		s.agent.metrics.holdings[h].Inc(1)
		b = gdhop.AppendHolding(b, k, h)
	}
	s.out.Queue(b, entry.WithPort(s.agent.HopAddress.Port()).AddrPort())
}

// replyHolding reports to an entry host about a flow of which it has sent a packet.
func (s *sender) replyHolding(a *gdguard.Action, h gdguard.Holding) {
	s.agent.metrics.holdings[h].Inc(1)
	b := gdhop.AppendHolding(gdhop.AppendQueryReply(s.out.Buffer(), s.agent.Guard.Revision()), a.Key, h)
	s.out.Queue(b, a.Entry.WithPort(s.agent.HopAddress.Port()).AddrPort())
}

func (s *sender) flush() {
	if lost := s.out.Flush(); lost > 0 {
		s.agent.metrics.failedWrites.Inc(int64(lost))
	}
}
