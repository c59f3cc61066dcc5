package gdbalancer

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// agentReader reads the agents' envelopes and sends their datagrams to the callers.
type agentReader struct {
	b      *Balancer
	opener *gdenvelope.Opener
	in     *gdbatch.Reader
	// out holds the writers of the service sockets. Writers of closed sockets are
	// removed when a writer is added.
	out map[*net.UDPConn]*gdbatch.Writer
}

func newAgentReader(b *Balancer) *agentReader {
	return &agentReader{
		b:      b,
		opener: gdenvelope.NewOpener(b.Fleet),
		in:     gdbatch.NewReader(b.node, gdenvelope.MaxSize+1),
		out:    make(map[*net.UDPConn]*gdbatch.Writer),
	}
}

// run reads until the node socket is closed.
func (a *agentReader) run() {
	for {
		n, err := a.in.Read()
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		for i := range n {
			wire, from := a.in.At(i)
			a.receive(from, wire)
		}
		for _, w := range a.out {
			a.b.Counters.AddSendErrors(w.Flush())
		}
	}
}

func (a *agentReader) receive(from netip.AddrPort, wire []byte) {
	e, err := a.opener.Open(wire)
	if err != nil {
		a.b.Counters.AddEnvelopeError(err)
		return
	}
	conn, reason := a.b.replySocket(from, e)
	if conn == nil {
		a.b.Counters.AddDecision(reason)
		return
	}
	w, ok := a.out[conn]
	if !ok {
		w = gdbatch.NewWriter(conn, gdenvelope.MaxPayload)
		a.removeClosed()
		a.out[conn] = w
	}
	w.Queue(append(w.Buffer(), e.Payload...), e.Caller)
}

// removeClosed removes the writers of closed sockets.
func (a *agentReader) removeClosed() {
	a.b.mu.RLock()
	defer a.b.mu.RUnlock()
	open := make(map[*net.UDPConn]bool, len(a.b.callers))
	for _, c := range a.b.callers {
		open[c.conns[0]] = true
	}
	for conn := range a.out {
		if !open[conn] {
			delete(a.out, conn)
		}
	}
}

// replySocket returns the socket through which the datagram goes to its caller. If the
// sender is not an agent of the service, it returns nil and a reason.
func (b *Balancer) replySocket(from netip.AddrPort, e gdenvelope.Envelope) (*net.UDPConn, gdroute.Reason) {
	v := b.Config.View()
	if v == nil || e.Kind != gdenvelope.ToCaller {
		return nil, gdroute.NotReady
	}
	if e.Version != v.Version() {
		b.Config.ObservePeerVersion(from.String(), e.Version)
	}
	u, ok := v.UpstreamByAgent(from)
	if !ok {
		return nil, gdroute.UnknownUpstream
	}
	if u.Service().ID() != e.Service {
		return nil, gdroute.WrongService
	}
	return b.socket(e.Service), gdroute.UnknownService
}
