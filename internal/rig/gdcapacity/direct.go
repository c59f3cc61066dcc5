package gdcapacity

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// directConn is a caller's packet connection that reaches an agent without a
// fabric and a balancer: it seals and opens the envelopes itself. With it the
// path's share of a request's latency can be told.
type directConn struct {
	*udp
	agent   netip.AddrPort
	arrived netip.AddrPort
	service gdconf.ServiceID
	version gdconf.Version

	mu     sync.Mutex
	sealer *gdenvelope.Sealer
	opener *gdenvelope.Opener
	in     [gdenvelope.MaxSize]byte
}

// udp hides the batch calls of a UDP socket from the QUIC transport, which would
// otherwise pass by ReadFrom and WriteTo.
type udp struct{ conn *net.UDPConn }

// Close closes the socket.
func (u *udp) Close() error { return u.conn.Close() }

// LocalAddr returns the socket's address.
func (u *udp) LocalAddr() net.Addr { return u.conn.LocalAddr() }

// SetDeadline sets the read deadline.
func (u *udp) SetDeadline(t time.Time) error { return u.conn.SetDeadline(t) }

// SetReadDeadline sets the read deadline.
func (u *udp) SetReadDeadline(t time.Time) error { return u.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline.
func (u *udp) SetWriteDeadline(t time.Time) error { return u.conn.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the socket's buffer.
func (u *udp) SetReadBuffer(n int) error { return u.conn.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the socket's buffer.
func (u *udp) SetWriteBuffer(n int) error { return u.conn.SetWriteBuffer(n) }

// newDirectConn opens a connection to the agent of the service's only upstream.
func newDirectConn(v *gdconf.View, fleetKeyFile string) (*directConn, error) {
	text, err := os.ReadFile(fleetKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the fleet key")
	}
	fleet, err := gdkey.Parse(string(text))
	if err != nil {
		return nil, err
	}
	sealer, err := gdenvelope.NewSealer(fleet)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open a direct caller's socket")
	}
	s, _ := v.Service(1)
	return &directConn{
		udp: &udp{conn}, agent: s.Upstreams()[0].Agent(), arrived: s.Address(), service: s.ID(),
		version: v.Version(), sealer: sealer, opener: gdenvelope.NewOpener(fleet),
	}, nil
}

// WriteTo sends the datagram to the agent, whatever address the caller names.
func (c *directConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	wire, err := c.sealer.Seal(nil, gdenvelope.Envelope{
		Kind: gdenvelope.ToAgent, Version: c.version, Service: c.service,
		Caller: self, Balancer: self, Arrived: c.arrived, Payload: p,
	})
	if err != nil {
		return 0, err
	}
	_, err = c.conn.WriteToUDPAddrPort(wire, c.agent)
	return len(p), err
}

// ReadFrom returns the next datagram of the agent, as if it came from the
// service's address.
func (c *directConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(c.in[:])
		if err != nil {
			return 0, nil, err
		}
		e, err := c.opener.Open(c.in[:n])
		if err != nil {
			continue
		}
		return copy(p, e.Payload), net.UDPAddrFromAddrPort(c.arrived), nil
	}
}
