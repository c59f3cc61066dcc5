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

// readEntries lets in what entry hosts send.
func (s *Agent) readEntries(ctx context.Context) error {
	in := gdbatch.NewReader(s.hop, gdsocket.MaxDatagramSize)
	out := s.newSender()
	return s.read(ctx, in, out, func(now time.Time, b []byte, from netip.AddrPort) {
		entry, m, err := gdhop.ParseFrom(b, from, s.HopAddress.Port())
		if err != nil {
			s.seen.malformed.Inc(1)
			return
		}
		switch m.Type {
		case gdhop.Status:
			s.learn(now, entry, m.Header)
		case gdhop.Query:
			s.learn(now, entry, m.Header)
			out.say(now, entry, m)
		case gdhop.Forward:
			p, err := s.Codec.FromCaller(m.Packet)
			if err != nil {
				s.seen.malformed.Inc(1)
				return
			}
			if p.Opens() {
				s.learn(now, entry, m.Header)
			}
			out.do(now, p, m.Packet, s.Guard.HandleEntryPacket(now, entry, m.Header, p))
		}
	})
}

// learn takes in what an entry host says of the upstream.
func (s *Agent) learn(now time.Time, entry gdflow.Address, c gdguard.Header) {
	if st := c.Status; s.Guard.UpdateStatus(now, c) {
		s.Log.Event(gdlog.UpstreamStatusChanged, "revision", st.Revision, "takes-new", st.AcceptsNew, "slots", st.Slots,
			"cold-left", st.ColdLeft.String(), "source", entry.String())
	}
}

// readUpstream sends on what the upstream sends.
func (s *Agent) readUpstream(ctx context.Context) error {
	in := gdbatch.NewReader(s.from, gdsocket.MaxDatagramSize)
	out := s.newSender()
	return s.read(ctx, in, out, func(now time.Time, b []byte, from netip.AddrPort) {
		if from.Addr() != s.UpstreamAddress.Addr() && !from.Addr().IsLoopback() {
			s.seen.malformed.Inc(1)
			return
		}
		p, err := s.Codec.FromUpstream(b)
		if err != nil {
			s.seen.malformed.Inc(1)
			return
		}
		out.do(now, p, b, s.Guard.HandleUpstreamPacket(now, p))
	})
}

// watchUpstream waits for the error that says that nothing listens at the
// upstream's port.
func (s *Agent) watchUpstream(ctx context.Context) {
	out := s.newSender()
	buf := make([]byte, 1)
	for ctx.Err() == nil {
		_, err := s.to.Read(buf)
		if err == nil {
			continue
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		s.upstreamEnded(time.Now(), out)
	}
}

// probeUpstream opens a connection to the upstream's port when the guard doubts that
// its process is there: a host refuses it when nothing listens.
func (s *Agent) probeUpstream(ctx context.Context) {
	out := s.newSender()
	d := net.Dialer{Timeout: probeTime}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.doubt:
		}
		c, err := d.DialContext(ctx, "tcp4", s.UpstreamAddress.String())
		switch {
		case err == nil:
			if err := c.Close(); err != nil {
				s.seen.failedWrites.Inc(1)
			}
		case errors.Is(err, syscall.ECONNREFUSED):
			s.upstreamEnded(time.Now(), out)
		default:
			s.Log.Failure(gdlog.UpstreamUnreachable, err)
		}
	}
}

// upstreamEnded ends the flows of an upstream whose process is gone.
func (s *Agent) upstreamEnded(now time.Time, out *sender) {
	s.mu.Lock()
	flows := s.Guard.Flows()
	actions := s.Guard.HandleUpstreamExit(now)
	if len(actions) > 0 {
		s.Log.Event(gdlog.UpstreamExited, "flows", flows, "resets", len(actions))
	}
	out.do(now, gdflow.Packet{}, nil, actions)
	s.mu.Unlock()
	out.flush()
}

// read hands each datagram to handle, with the guard locked, until the socket is
// closed.
func (s *Agent) read(ctx context.Context, in *gdbatch.Reader, out *sender,
	handle func(time.Time, []byte, netip.AddrPort),
) error {
	p := &gdsocket.ReadLoop{
		Reader: in, Lock: &s.mu, Handle: handle, Flush: out.flush,
		EndBatch: func(now time.Time) {
			if s.Guard.ShouldProbe(now) {
				s.lookAtUpstream()
			}
		},
		OnReadError: func() { s.seen.failedReads.Inc(1) },
	}
	return p.Run(ctx)
}

// lookAtUpstream has the upstream's port probed, if that is not being done already.
func (s *Agent) lookAtUpstream() {
	select {
	case s.doubt <- struct{}{}:
	default:
	}
}

// sender carries out the guard's actions. It belongs to one goroutine.
type sender struct {
	s   *Agent
	out *gdbatch.Writer
}

func (s *Agent) newSender() *sender {
	return &sender{s: s, out: gdbatch.NewWriter(s.hop, gdsocket.MaxDatagramSize+gdhop.MaxOverhead)}
}

// do carries out what was decided on the packet.
func (d *sender) do(now time.Time, p gdflow.Packet, raw []byte, actions []gdguard.Action) {
	s := d.s
	for i := range actions {
		a := &actions[i]
		s.seen.decided(a)
		switch a.Verb {
		case gdguard.Deliver:
			if _, err := s.to.Write(raw); err != nil {
				// The refusal of an earlier packet may show here and not at watchUpstream.
				s.seen.failedWrites.Inc(1)
				s.lookAtUpstream()
			}
		case gdguard.SendToCaller:
			d.out.Queue(append(d.out.Buffer(), raw...), a.Key.Caller().WithPort(s.CallerPort).AddrPort())
		case gdguard.Reset:
			b := s.Codec.AppendReset(d.out.Buffer(), a.Key, a.Seq)
			d.out.Queue(b, a.Key.Caller().WithPort(s.CallerPort).AddrPort())
		case gdguard.Return:
			b := gdhop.AppendReturn(d.out.Buffer(), a.Reason, s.Guard.Load(), s.Guard.Revision())
			d.out.Queue(append(b, raw...), a.Entry.WithPort(s.HopAddress.Port()).AddrPort())
			s.seen.event(now, s.Log, gdlog.PacketRefused, "flow", a.Key, "entry", a.Entry, "reason", a.Reason.String(),
				"opens", p.Opens(), "load", s.Guard.Load(), "revision", s.Guard.Revision())
		case gdguard.ReportAccepted, gdguard.ReportHeld:
			t, ev := gdhop.Accepted, gdlog.FlowAccepted
			if a.Verb == gdguard.ReportHeld {
				t, ev = gdhop.Held, gdlog.FlowFound
			}
			d.out.Queue(gdhop.AppendFlowNotice(d.out.Buffer(), t, a.Key, s.Guard.Load()), a.Entry.WithPort(s.HopAddress.Port()).AddrPort())
			s.seen.event(now, s.Log, ev, "flow", a.Key, "entry", a.Entry, "load", s.Guard.Load())
		}
	}
}

// say answers a question about flows.
func (d *sender) say(now time.Time, entry gdflow.Address, m gdhop.Message) {
	b := gdhop.AppendQueryReply(d.out.Buffer(), d.s.Guard.Revision())
	for _, k := range m.Keys {
		h := d.s.Guard.Holding(now, m.Header.Service, k)
		d.s.seen.says[h].Inc(1)
		b = gdhop.AppendHolding(b, k, h)
	}
	d.out.Queue(b, entry.WithPort(d.s.HopAddress.Port()).AddrPort())
}

func (d *sender) flush() {
	if lost := d.out.Flush(); lost > 0 {
		d.s.seen.failedWrites.Inc(int64(lost))
	}
}
