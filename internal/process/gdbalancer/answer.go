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

// answerer sends the agents' datagrams to the callers.
type answerer struct {
	b      *Balancer
	opener *gdenvelope.Opener
	in     *gdbatch.Reader
	// out holds the writer of each caller socket that was used. Writers of
	// sockets that were closed are dropped when their service is used again.
	out map[*net.UDPConn]*gdbatch.Writer
}

func newAnswerer(b *Balancer) *answerer {
	return &answerer{
		b:      b,
		opener: gdenvelope.NewOpener(b.Fleet),
		in:     gdbatch.NewReader(b.node, gdenvelope.MaxSize+1),
		out:    make(map[*net.UDPConn]*gdbatch.Writer),
	}
}

// run answers until the node socket is closed.
func (a *answerer) run() {
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

func (a *answerer) receive(from netip.AddrPort, wire []byte) {
	e, err := a.opener.Open(wire)
	if err != nil {
		a.b.Counters.AddEnvelopeError(err)
		return
	}
	conn, reason := a.b.admit(from, e)
	if conn == nil {
		a.b.Counters.AddDecision(reason)
		return
	}
	w, ok := a.out[conn]
	if !ok {
		w = gdbatch.NewWriter(conn, gdenvelope.MaxPayload)
		a.dropStale()
		a.out[conn] = w
	}
	w.Queue(append(w.Buffer(), e.Payload...), e.Caller)
}

// dropStale forgets the writers of sockets that are no longer open.
func (a *answerer) dropStale() {
	a.b.mu.RLock()
	defer a.b.mu.RUnlock()
	live := make(map[*net.UDPConn]bool, len(a.b.callers))
	for _, c := range a.b.callers {
		live[c.conns[0]] = true
	}
	for conn := range a.out {
		if !live[conn] {
			delete(a.out, conn)
		}
	}
}

// admit returns the socket through which the answer goes to its caller, if the
// sender is an agent of the service, or nil and the reason.
func (b *Balancer) admit(from netip.AddrPort, e gdenvelope.Envelope) (*net.UDPConn, gdroute.Reason) {
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
