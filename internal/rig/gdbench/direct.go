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

// directConn is a caller's packet connection directly to one agent. It replaces the
// balancer and only seals and opens envelopes. It does not embed *net.UDPConn, because
// the QUIC library would then bypass ReadFrom.
type directConn struct {
	socket  *net.UDPConn
	self    netip.AddrPort
	agent   netip.AddrPort
	service netip.AddrPort
	id      gdconf.ServiceID
	version gdconf.Version
	opener  *gdenvelope.Opener // used only by ReadFrom
	in      [gdenvelope.MaxSize + 1]byte

	mu     sync.Mutex
	sealer *gdenvelope.Sealer
	out    []byte
}

func newDirectConn(fleet gdkey.FleetKey, v gdconf.Version, s *gdconf.Service, u *gdconf.Upstream) (*directConn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open a socket for a direct connection")
	}
	sealer, err := gdenvelope.NewSealer(fleet)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return &directConn{
		socket: socket, sealer: sealer, opener: gdenvelope.NewOpener(fleet),
		self:  socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		agent: u.AgentAddress(), service: s.Address(), id: s.ID(), version: v,
		out: make([]byte, 0, gdenvelope.MaxSize),
	}, nil
}

// ReadFrom reads the next datagram from the agent and returns the service's address as
// its source.
func (c *directConn) ReadFrom(p []byte) (int, net.Addr, error) {
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

// WriteTo sends a datagram to the agent and ignores the address.
func (c *directConn) WriteTo(p []byte, _ net.Addr) (int, error) {
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
func (c *directConn) Close() error { return c.socket.Close() }

// LocalAddr returns the socket's address.
func (c *directConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline sets the socket's deadlines.
func (c *directConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline sets the socket's deadline for reads.
func (c *directConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline sets the socket's deadline for writes.
func (c *directConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }
