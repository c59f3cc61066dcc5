package gdbalancer

import (
	"net"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdquic"
)

// callerReader reads the datagrams of one service's callers and forwards them.
type callerReader struct {
	b *Balancer
	// address is the service's address in the configuration.
	address netip.AddrPort
	service gdconf.ServiceID
	watcher gdnode.Watcher
	core    gdroute.Balancer
	tokens  *gdtoken.Opener
	sealer  *gdenvelope.Sealer
	// recorder records decisions for the explain command.
	recorder gdnode.Recorder
	self     netip.AddrPort
	in       *gdbatch.Reader
	out      *gdbatch.Writer
}

func newCallerReader(b *Balancer, conn *net.UDPConn, address netip.AddrPort, s gdconf.ServiceID) (*callerReader, error) {
	sealer, err := gdenvelope.NewSealer(b.Fleet)
	if err != nil {
		return nil, err
	}
	return &callerReader{
		b: b, address: address, service: s, sealer: sealer,
		in:       gdbatch.NewReader(conn, gdenvelope.MaxPayload+1),
		out:      gdbatch.NewWriter(b.node, gdenvelope.MaxSize),
		watcher:  gdnode.Watcher{Fleet: b.Fleet, Config: b.Config},
		recorder: gdnode.Recorder{OnDecision: b.OnDecision},
		self:     b.node.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort(),
	}, nil
}

// run forwards until the socket is closed.
func (r *callerReader) run() {
	for {
		n, err := r.in.Read()
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		now := time.Now()
		r.updateView(now)
		for i := range n {
			datagram, caller := r.in.At(i)
			r.forward(now, caller, datagram)
		}
		r.b.Counters.AddSendErrors(r.out.Flush())
	}
}

// forward forwards a datagram to the chosen agent or drops it.
func (r *callerReader) forward(now time.Time, caller netip.AddrPort, datagram []byte) {
	p, ok := r.parsePacket(caller, datagram)
	if !ok {
		r.b.Counters.AddNoHeader()
		return
	}
	d := r.core.Route(now, p)
	r.b.Counters.AddDecision(d.Reason())
	r.recorder.Record(now, caller, p, d)
	if d.Verdict() == gdroute.Forward {
		r.send(caller, d.Upstream(), datagram)
	}
}

// updateView passes a new view to the core, and blocks all routing while the process
// can't tell whether its view is current.
func (r *callerReader) updateView(now time.Time) {
	if v, keyring, changed := r.watcher.Poll(); changed {
		r.core.SetView(now, v)
		r.tokens = gdtoken.NewOpener(keyring)
	}
	if r.b.Config.MayDecide(now) {
		r.core.Unblock()
	} else {
		r.core.Block()
	}
}

// parsePacket returns the packet as the core needs it, and false if the datagram is
// not a QUIC packet or too large to be forwarded.
func (r *callerReader) parsePacket(caller netip.AddrPort, datagram []byte) (gdroute.Packet, bool) {
	h, ok := gdquic.Parse(datagram, gdtoken.Size)
	if !ok || len(datagram) > gdenvelope.MaxPayload || r.tokens == nil {
		return gdroute.Packet{}, false
	}
	if t, ok := r.tokens.Open(h.ConnectionID()); ok {
		return gdroute.NewPacket(r.service, 0).WithToken(t), true
	}
	p := gdroute.NewPacket(r.service, gdroute.NewFlowKey(caller, h.ConnectionID()))
	if h.MayOpen() {
		p = p.Opening()
	}
	return p, true
}

func (r *callerReader) send(caller netip.AddrPort, to *gdconf.Upstream, datagram []byte) {
	wire, err := r.sealer.Seal(r.out.Buffer(), gdenvelope.Envelope{
		Kind:           gdenvelope.ToAgent,
		Version:        r.core.View().Version(),
		Service:        r.service,
		Caller:         caller,
		Balancer:       r.self,
		ServiceAddress: r.address,
		Payload:        datagram,
	})
	if err != nil {
		r.b.Counters.AddEnvelopeError(err)
		return
	}
	r.out.Queue(wire, to.AgentAddress())
}
