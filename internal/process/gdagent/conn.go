package gdagent

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdpath"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
)

// ringSize is the number of datagrams that wait between the door and the QUIC
// transport.
const ringSize = 4096

// arrival is one accepted datagram on its way to the transport.
type arrival struct {
	buf    *gdnode.Buffer
	data   []byte
	caller *net.UDPAddr
}

// callerConn is the packet connection that the QUIC transport sees. To it, each
// caller seems to send directly to the agent. It must not embed *net.UDPConn:
// the transport would then read the socket with batch calls of its own and pass
// by ReadFrom.
type callerConn struct {
	node     *net.UDPConn
	service  func() (gdconf.ServiceID, gdconf.Version, bool)
	counters *gdnode.Counters
	ring     chan arrival
	closed   chan struct{}
	once     sync.Once
	deadline atomic.Int64

	mu     sync.Mutex
	sealer *gdenvelope.Sealer
	// paths are those of callers with a flow. Opening are those of callers whose
	// packets carried no token yet: anyone can make such packets up, and their
	// paths must not push out the others.
	paths   gdpath.Table
	opening gdpath.Table
	out     gdnode.Buffer
	// keeping says that what is sent is kept as well, to be repeated.
	keeping bool
	kept    []parting
}

// parting is a datagram that closes a flow.
type parting struct {
	caller netip.AddrPort
	data   []byte
}

// maxKept bounds the datagrams that are kept to be repeated.
const maxKept = 16384

func newCallerConn(node *net.UDPConn, sealer *gdenvelope.Sealer, callers int, seed uint64) *callerConn {
	rnd := rand.New(rand.NewPCG(seed, seed))
	return &callerConn{
		node:    node,
		sealer:  sealer,
		ring:    make(chan arrival, ringSize),
		closed:  make(chan struct{}),
		paths:   gdpath.Table{MaxCallers: callers, Rand: rnd},
		opening: gdpath.Table{MaxCallers: callers, Rand: rnd},
	}
}

// deliver hands a datagram to the transport. It takes over the buffer. Established
// says that the datagram carried a route token.
func (c *callerConn) deliver(now time.Time, e gdenvelope.Envelope, buf *gdnode.Buffer, established bool) {
	c.mu.Lock()
	if established {
		c.paths.Received(now, e.Caller, e.Balancer)
	} else {
		c.opening.Received(now, e.Caller, e.Balancer)
	}
	c.mu.Unlock()
	a := arrival{buf: buf, data: e.Payload, caller: net.UDPAddrFromAddrPort(e.Caller)}
	select {
	case c.ring <- a:
	default:
		c.counters.AddRingFull()
		gdnode.PutBuffer(buf)
	}
}

// ReadFrom returns the next accepted datagram.
func (c *callerConn) ReadFrom(p []byte) (int, net.Addr, error) {
	var expired <-chan time.Time
	if d := c.deadline.Load(); d != 0 {
		t := time.NewTimer(time.Until(time.Unix(0, d)))
		defer t.Stop()
		expired = t.C
	}
	select {
	case a := <-c.ring:
		n := copy(p, a.data)
		gdnode.PutBuffer(a.buf)
		return n, a.caller, nil
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram to the caller through a balancer.
func (c *callerConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	to, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, errors.Errorf("send to caller %s: not a UDP address", addr)
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
	if c.keeping && len(c.kept) < maxKept {
		c.kept = append(c.kept, parting{caller: caller, data: append([]byte(nil), p...)})
	}
	via, ok := c.paths.PickBalancer(now, caller)
	if !ok {
		via, ok = c.opening.PickBalancer(now, caller)
	}
	if !ok {
		return nil
	}
	return c.sendVia(via, gdenvelope.Envelope{
		Kind: gdenvelope.ToCaller, Version: version, Service: service, Caller: caller, Payload: p,
	})
}

// sendVia sends through a balancer. It is called with the lock held.
func (c *callerConn) sendVia(via netip.AddrPort, e gdenvelope.Envelope) error {
	wire, err := c.sealer.Seal(c.out[:0], e)
	if err != nil {
		return err
	}
	if _, err := c.node.WriteToUDPAddrPort(wire, via); err != nil {
		// A balancer that is gone is no error of the flow: the path changes.
		c.counters.AddSendError()
	}
	return nil
}

// keep runs f and returns what was sent meanwhile.
func (c *callerConn) keep(f func()) []parting {
	c.mu.Lock()
	c.keeping = true
	c.mu.Unlock()
	f()
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.kept
	c.keeping, c.kept = false, nil
	return kept
}

// repeat sends the datagrams once more, each through another balancer.
func (c *callerConn) repeat(now time.Time, partings []parting) {
	service, version, ok := c.service()
	if !ok {
		return
	}
	for _, p := range partings {
		c.mu.Lock()
		if via, ok := c.paths.OtherBalancer(now, p.caller); ok {
			// It was sealed once, so it is not too large.
			_ = c.sendVia(via, gdenvelope.Envelope{
				Kind: gdenvelope.ToCaller, Version: version, Service: service, Caller: p.caller, Payload: p.data,
			})
		}
		c.mu.Unlock()
	}
}

// LocalAddr returns the agent's node address.
func (c *callerConn) LocalAddr() net.Addr { return c.node.LocalAddr() }

// Close ends ReadFrom. The node socket stays open.
func (c *callerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// SetDeadline sets the read deadline; sends do not block.
func (c *callerConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing: sends do not block.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline applies to the next ReadFrom, and ends one that waits when the
// deadline has passed already.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(0)
		return nil
	}
	c.deadline.Store(t.UnixNano())
	if !time.Now().Before(t) {
		return c.Close()
	}
	return nil
}

// SetReadBuffer is called by the transport; the node socket has its size.
func (c *callerConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer is called by the transport; the node socket has its size.
func (c *callerConn) SetWriteBuffer(int) error { return nil }
