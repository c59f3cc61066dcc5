package gdbalancer

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// readAgents sends the agents' datagrams to the callers until the node socket
// is closed.
func (b *Balancer) readAgents() {
	opener := gdenvelope.NewOpener(b.Fleet)
	var buf gdnode.Buffer
	for {
		n, from, err := b.node.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		e, err := opener.Open(buf[:n])
		if err != nil {
			b.Counters.Unfit(err)
			continue
		}
		b.answer(from, e)
	}
}

// answer sends one datagram to its caller from the service's address, if the
// sender is an agent of that service.
func (b *Balancer) answer(from netip.AddrPort, e gdenvelope.Envelope) {
	v := b.Config.View()
	if v == nil || e.Kind != gdenvelope.ToCaller {
		b.Counters.Decided(gdroute.NotReady)
		return
	}
	if e.Version != v.Version() {
		b.Config.PeerVersion(from.String(), e.Version)
	}
	u, ok := v.AgentAt(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	if !ok {
		b.Counters.Decided(gdroute.UnknownUpstream)
		return
	}
	if u.Service().ID() != e.Service {
		b.Counters.Decided(gdroute.WrongService)
		return
	}
	conn := b.socket(e.Service)
	if conn == nil {
		b.Counters.Decided(gdroute.UnknownService)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(e.Payload, e.Caller); err != nil {
		b.Counters.SendError()
	}
}
