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

// door reads envelopes and lets in the datagrams that belong here.
type door struct {
	a       *Agent
	conn    *callerConn
	watcher gdnode.Watcher
	core    gdroute.PacketFilter
	opener  *gdenvelope.Opener
	sealer  *gdenvelope.Sealer
	tokens  *gdtoken.Opener
	out     gdnode.Buffer
	// recorder keeps decisions for the explain command.
	recorder gdnode.Recorder
}

// handshakeHold is how long the door remembers the first packets of a flow, so
// that all parts of one handshake meet the same agent.
const handshakeHold = 10 * time.Second

func newDoor(a *Agent, conn *callerConn) (*door, error) {
	sealer, err := gdenvelope.NewSealer(a.Fleet)
	if err != nil {
		return nil, err
	}
	return &door{
		a: a, conn: conn, sealer: sealer,
		opener:   gdenvelope.NewOpener(a.Fleet),
		watcher:  gdnode.Watcher{Fleet: a.Fleet, Config: a.Config},
		recorder: gdnode.Recorder{OnDecision: a.OnDecision, Self: a.Name},
		core: gdroute.PacketFilter{
			Self: a.Upstream, Incarnation: a.Incarnation, MaxFlows: a.MaxFlows, IdleTimeout: handshakeHold,
		},
	}, nil
}

// run reads until the node socket is closed.
func (d *door) run() {
	for {
		buf := gdnode.GetBuffer()
		n, from, err := d.a.node.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			gdnode.PutBuffer(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !d.receive(time.Now(), from, buf, n) {
			gdnode.PutBuffer(buf)
		}
	}
}

// receive handles one envelope. It reports whether the buffer was handed on.
func (d *door) receive(now time.Time, from netip.AddrPort, buf *gdnode.Buffer, n int) bool {
	e, err := d.opener.Open(buf[:n])
	if err != nil {
		d.a.Counters.AddEnvelopeError(err)
		return false
	}
	d.look(now)
	if v := d.core.View(); v != nil && e.Version != v.Version() {
		d.a.Config.ObservePeerVersion(from.String(), e.Version)
	}
	p, ok := d.packet(e)
	if !ok {
		d.a.Counters.AddNoHeader()
		return false
	}
	dec := d.core.Check(now, p)
	d.a.Counters.AddDecision(dec.Reason())
	d.recorder.Record(now, e.Caller, p, dec)
	switch dec.Verdict() {
	case gdroute.Accept, gdroute.Reset:
		// The transport answers a packet of an unknown flow with a stateless
		// reset, which is what Reset asks for.
		_, established := p.Token()
		d.conn.deliver(now, e, buf, established)
		return true
	case gdroute.Forward:
		d.pass(e, dec.Upstream())
	}
	return false
}

// look takes a new view over and tells the core the agent's state.
func (d *door) look(now time.Time) {
	if v, ring, changed := d.watcher.Poll(); changed {
		d.core.SetView(v)
		d.tokens = gdtoken.NewOpener(ring)
	}
	if d.a.Config.MayDecide(now) {
		d.core.Unblock()
	} else {
		d.core.Block()
	}
	d.core.SetFull(d.a.flows.count() >= d.a.MaxFlows)
	d.core.SetBusy(!d.a.Requests.AcceptsFlow())
	if d.a.stopping.Load() {
		d.core.SetStopping()
	}
}

// packet tells the core what it needs to know of the envelope.
func (d *door) packet(e gdenvelope.Envelope) (gdroute.Packet, bool) {
	h, ok := gdquic.Parse(e.Payload, gdtoken.Size)
	if !ok || e.Kind != gdenvelope.ToAgent || d.tokens == nil {
		return gdroute.Packet{}, false
	}
	if t, ok := d.tokens.Open(h.ConnectionID()); ok {
		return gdroute.NewPacket(e.Service, 0).WithToken(t).WithHops(e.Hops).WithAddress(e.ServiceAddress), true
	}
	key := gdroute.NewFlowKey(e.Caller, h.ConnectionID())
	p := gdroute.NewPacket(e.Service, key).WithHops(e.Hops).WithAddress(e.ServiceAddress)
	if h.MayOpen() {
		p = p.Opening()
	}
	return p, true
}

// pass sends the datagram on to another agent of the service.
func (d *door) pass(e gdenvelope.Envelope, to *gdconf.Upstream) {
	e.Hops++
	e.Version = d.core.View().Version()
	wire, err := d.sealer.Seal(d.out[:0], e)
	if err != nil {
		d.a.Counters.AddEnvelopeError(err)
		return
	}
	if _, err := d.a.node.WriteToUDPAddrPort(wire, to.AgentAddress()); err != nil {
		d.a.Counters.AddSendError()
	}
}
