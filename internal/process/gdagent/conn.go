package gdagent

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdpath"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
)

// ringSize is the number of datagrams that can wait between the packet filter and the
// QUIC transport.
const ringSize = 4096

// inboundDatagram is an accepted datagram that waits for the transport.
type inboundDatagram struct {
	buf    *gdnode.Buffer
	data   []byte
	caller *net.UDPAddr
}

// callerConn is the net.PacketConn of the QUIC transport. It hides the balancers: to
// the transport, each caller seems to send to the agent directly. It must not embed
// *net.UDPConn, because the transport would then read the socket in batches and
// bypass ReadFrom.
type callerConn struct {
	node     *net.UDPConn
	service  func() (gdconf.ServiceID, gdconf.Version, bool)
	counters *gdnode.Counters
	ring     chan inboundDatagram
	closed   chan struct{}
	once     sync.Once
	deadline deadline

	mu     sync.Mutex
	sealer *gdenvelope.Sealer
	// paths holds the paths to callers with a flow, handshakePaths those to callers
	// whose packets have carried no route token yet. Such packets are easily forged,
	// and their paths must not evict the others.
	paths          gdpath.Table
	handshakePaths gdpath.Table
	out            gdnode.Buffer
	// recording means that sent datagrams are also appended to recorded, to be resent.
	recording bool
	recorded  []closeDatagram
}

// closeDatagram is a datagram that closes a flow.
type closeDatagram struct {
	caller netip.AddrPort
	data   []byte
}

// maxRecorded is the maximum number of datagrams that are recorded to be resent.
const maxRecorded = 16384

func newCallerConn(node *net.UDPConn, sealer *gdenvelope.Sealer, callers int, seed uint64) *callerConn {
	rnd := rand.New(rand.NewPCG(seed, seed))
	return &callerConn{
		node:           node,
		sealer:         sealer,
		ring:           make(chan inboundDatagram, ringSize),
		closed:         make(chan struct{}),
		paths:          gdpath.Table{MaxCallers: callers, Rand: rnd},
		handshakePaths: gdpath.Table{MaxCallers: callers, Rand: rnd},
	}
}

// deliver passes a datagram to the transport and takes ownership of the buffer.
// established means that the datagram carried a route token.
func (c *callerConn) deliver(now time.Time, e gdenvelope.Envelope, buf *gdnode.Buffer, established bool) {
	c.mu.Lock()
	if established {
		c.paths.Received(now, e.Caller, e.Balancer)
	} else {
		c.handshakePaths.Received(now, e.Caller, e.Balancer)
	}
	c.mu.Unlock()
	d := inboundDatagram{buf: buf, data: e.Payload, caller: net.UDPAddrFromAddrPort(e.Caller)}
	select {
	case c.ring <- d:
	default:
		c.counters.AddRingFull()
		gdnode.PutBuffer(buf)
	}
}

// ReadFrom returns the next accepted datagram.
func (c *callerConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.ring:
		n := copy(p, d.data)
		gdnode.PutBuffer(d.buf)
		return n, d.caller, nil
	case <-c.deadline.wait():
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram to the caller through a balancer.
func (c *callerConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	to, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, errors.Errorf("send to caller %s: address is not a UDP address", addr)
	}
	ap := to.AddrPort()
	return len(p), c.send(time.Now(), netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), p)
}

func (c *callerConn) send(now time.Time, caller netip.AddrPort, p []byte) error {
	service, version, ok := c.service()
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording && len(c.recorded) < maxRecorded {
		c.recorded = append(c.recorded, closeDatagram{caller: caller, data: append([]byte(nil), p...)})
	}
	via, ok := c.paths.PickBalancer(now, caller)
	if !ok {
		via, ok = c.handshakePaths.PickBalancer(now, caller)
	}
	if !ok {
		return nil
	}
	return c.sendVia(via, gdenvelope.Envelope{
		Kind: gdenvelope.ToCaller, Version: version, Service: service, Caller: caller, Payload: p,
	})
}

// sendVia sends through a balancer. The caller must hold the lock.
func (c *callerConn) sendVia(via netip.AddrPort, e gdenvelope.Envelope) error {
	wire, err := c.sealer.Seal(c.out[:0], e)
	if err != nil {
		return err
	}
	if _, err := c.node.WriteToUDPAddrPort(wire, via); err != nil {
		// An unreachable balancer is not an error of the flow: the path will change.
		c.counters.AddSendError()
	}
	return nil
}

// record runs f and returns the datagrams that were sent meanwhile.
func (c *callerConn) record(f func()) []closeDatagram {
	c.mu.Lock()
	c.recording = true
	c.mu.Unlock()
	f()
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := c.recorded
	c.recording, c.recorded = false, nil
	return recorded
}

// resend sends the datagrams again, each through another balancer.
func (c *callerConn) resend(now time.Time, datagrams []closeDatagram) {
	service, version, ok := c.service()
	if !ok {
		return
	}
	for _, d := range datagrams {
		c.mu.Lock()
		if via, ok := c.paths.OtherBalancer(now, d.caller); ok {
			// It was sealed before, so it is not too large.
			_ = c.sendVia(via, gdenvelope.Envelope{
				Kind: gdenvelope.ToCaller, Version: version, Service: service, Caller: d.caller, Payload: d.data,
			})
		}
		c.mu.Unlock()
	}
}

// LocalAddr returns the agent's node address.
func (c *callerConn) LocalAddr() net.Addr { return c.node.LocalAddr() }

// Close unblocks ReadFrom. The node socket stays open.
func (c *callerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// SetDeadline sets the read deadline. Sends do not block.
func (c *callerConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing, because sends do not block.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the deadline of ReadFrom, also of one that is waiting.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.deadline.set(time.Now(), t)
	return nil
}

// SetReadBuffer does nothing: the size of the node socket's buffer is fixed.
func (c *callerConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing: the size of the node socket's buffer is fixed.
func (c *callerConn) SetWriteBuffer(int) error { return nil }
