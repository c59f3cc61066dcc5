package gdagent

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdquic"
)

// packetFilter reads envelopes and accepts the datagrams of the agent's flows.
type packetFilter struct {
	a       *Agent
	conn    *callerConn
	watcher gdnode.Watcher
	core    gdroute.PacketFilter
	opener  *gdenvelope.Opener
	sealer  *gdenvelope.Sealer
	tokens  *gdtoken.Opener
	out     gdnode.Buffer
	// recorder records decisions for the explain command.
	recorder gdnode.Recorder
}

// handshakeTTL is how long the packet filter keeps the state of a handshake, so that
// all of its packets reach the same agent.
const handshakeTTL = 10 * time.Second

func newPacketFilter(a *Agent, conn *callerConn) (*packetFilter, error) {
	sealer, err := gdenvelope.NewSealer(a.Fleet)
	if err != nil {
		return nil, err
	}
	return &packetFilter{
		a: a, conn: conn, sealer: sealer,
		opener:   gdenvelope.NewOpener(a.Fleet),
		watcher:  gdnode.Watcher{Fleet: a.Fleet, Config: a.Config},
		recorder: gdnode.Recorder{OnDecision: a.OnDecision, Self: a.Name},
		core: gdroute.PacketFilter{
			Self: a.Upstream, Incarnation: a.Incarnation, MaxFlows: a.MaxFlows, IdleTimeout: handshakeTTL,
		},
	}, nil
}

// run reads until the node socket is closed.
func (f *packetFilter) run() {
	for {
		buf := gdnode.GetBuffer()
		n, from, err := f.a.node.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			gdnode.PutBuffer(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !f.receive(time.Now(), from, buf, n) {
			gdnode.PutBuffer(buf)
		}
	}
}

// receive handles an envelope. It reports whether the transport now owns the buffer.
func (f *packetFilter) receive(now time.Time, from netip.AddrPort, buf *gdnode.Buffer, n int) bool {
	e, err := f.opener.Open(buf[:n])
	if err != nil {
		f.a.Counters.AddEnvelopeError(err)
		return false
	}
	f.updateState(now)
	if v := f.core.View(); v != nil && e.Version != v.Version() {
		f.a.Config.ObservePeerVersion(from.String(), e.Version)
	}
	p, ok := f.parsePacket(e)
	if !ok {
		f.a.Counters.AddNoHeader()
		return false
	}
	decision := f.core.Check(now, p)
	f.a.Counters.AddDecision(decision.Reason())
	f.recorder.Record(now, e.Caller, p, decision)
	switch decision.Verdict() {
	case gdroute.Accept, gdroute.Reset:
		// The transport responds to a packet of an unknown flow with a stateless
		// reset, as the verdict Reset requires.
		_, established := p.Token()
		f.conn.deliver(now, e, buf, established)
		return true
	case gdroute.Forward:
		f.forward(e, decision.Upstream())
	}
	return false
}

// updateState passes a new view and the agent's state to the core.
func (f *packetFilter) updateState(now time.Time) {
	if v, keyring, changed := f.watcher.Poll(); changed {
		f.core.SetView(v)
		f.tokens = gdtoken.NewOpener(keyring)
	}
	if f.a.Config.MayDecide(now) {
		f.core.Unblock()
	} else {
		f.core.Block()
	}
	f.core.SetFull(f.a.flows.count() >= f.a.MaxFlows)
	f.core.SetBusy(!f.a.Requests.AcceptsFlow())
	if f.a.stopping.Load() {
		f.core.SetStopping()
	}
}

// parsePacket returns the envelope's packet as the core needs it, and false if the
// envelope carries no QUIC packet for an agent.
func (f *packetFilter) parsePacket(e gdenvelope.Envelope) (gdroute.Packet, bool) {
	h, ok := gdquic.Parse(e.Payload, gdtoken.Size)
	if !ok || e.Kind != gdenvelope.ToAgent || f.tokens == nil {
		return gdroute.Packet{}, false
	}
	if t, ok := f.tokens.Open(h.ConnectionID()); ok {
		return gdroute.NewPacket(e.Service, 0).WithToken(t).WithHops(e.Hops).WithAddress(e.ServiceAddress), true
	}
	key := gdroute.NewFlowKey(e.Caller, h.ConnectionID())
	p := gdroute.NewPacket(e.Service, key).WithHops(e.Hops).WithAddress(e.ServiceAddress)
	if h.MayOpen() {
		p = p.Opening()
	}
	return p, true
}

// forward sends the datagram to another agent of the service.
func (f *packetFilter) forward(e gdenvelope.Envelope, to *gdconf.Upstream) {
	e.Hops++
	e.Version = f.core.View().Version()
	wire, err := f.sealer.Seal(f.out[:0], e)
	if err != nil {
		f.a.Counters.AddEnvelopeError(err)
		return
	}
	if _, err := f.a.node.WriteToUDPAddrPort(wire, to.AgentAddress()); err != nil {
		f.a.Counters.AddSendError()
	}
}
