package gdbench

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// straightConn is a caller's packet connection that leads straight to one agent.
// It stands where a balancer would be and does nothing but the envelope. It does
// not embed *net.UDPConn, because the QUIC library would then pass by ReadFrom.
type straightConn struct {
	socket  *net.UDPConn
	self    netip.AddrPort
	agent   netip.AddrPort
	service netip.AddrPort
	id      gdconf.ServiceID
	version gdconf.Version
	opener  *gdenvelope.Opener // only used by ReadFrom
	in      [gdenvelope.MaxSize + 1]byte

	mu     sync.Mutex
	sealer *gdenvelope.Sealer
	out    []byte
}

func newStraightConn(fleet gdkey.FleetKey, v gdconf.Version, s *gdconf.Service, u *gdconf.Upstream) (*straightConn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	sealer, err := gdenvelope.NewSealer(fleet)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return &straightConn{
		socket: socket, sealer: sealer, opener: gdenvelope.NewOpener(fleet),
		self:  socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		agent: u.AgentAddress(), service: s.Address(), id: s.ID(), version: v,
		out: make([]byte, 0, gdenvelope.MaxSize),
	}, nil
}

// ReadFrom returns the next datagram from the agent, as if from the service.
func (c *straightConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, err := c.socket.Read(c.in[:])
		if err != nil {
			return 0, nil, err
		}
		e, err := c.opener.Open(c.in[:n])
		if err == nil && e.Kind == gdenvelope.ToCaller {
			return copy(p, e.Payload), net.UDPAddrFromAddrPort(c.service), nil
		}
	}
}

// WriteTo sends a datagram to the agent, whatever the address is.
func (c *straightConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wire, err := c.sealer.Seal(c.out[:0], gdenvelope.Envelope{
		Kind: gdenvelope.ToAgent, Version: c.version, Service: c.id,
		Caller: c.self, Balancer: c.self, ServiceAddress: c.service, Payload: p,
	})
	if err != nil {
		return 0, err
	}
	if _, err := c.socket.WriteToUDPAddrPort(wire, c.agent); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the socket.
func (c *straightConn) Close() error { return c.socket.Close() }

// LocalAddr returns the socket's address.
func (c *straightConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline sets the socket's deadlines.
func (c *straightConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline sets the socket's deadline for reads.
func (c *straightConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline sets the socket's deadline for writes.
func (c *straightConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }
