package gdfabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// idleTimeout is the time without datagrams after which a caller is removed.
const idleTimeout = 3 * time.Minute

// service is the socket of one service address, with the callers of the service.
type service struct {
	fabric *Fabric
	name   string
	addr   netip.AddrPort
	conn   *net.UDPConn
	rng    *rand.Rand // only used by run

	mu      sync.Mutex
	wg      sync.WaitGroup
	closed  bool
	callers map[netip.AddrPort]*caller
}

// caller is one caller's address with its socket on the balancers' side.
type caller struct {
	service *service
	addr    netip.AddrPort
	domain  string
	conn    *net.UDPConn
	rng     *rand.Rand // only used by run
	// blackholed is set if the caller is cut off from all balancers, and blackholedAt
	// is the one balancer that it is cut off from.
	blackholed   atomic.Bool
	blackholedAt atomic.Pointer[netip.Addr]
	lastActive   atomic.Int64 // Unix time of the last datagram, in nanoseconds
}

func newService(f *Fabric, name string, conn *net.UDPConn, n uint64) *service {
	return &service{
		fabric:  f,
		name:    name,
		addr:    conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		conn:    conn,
		rng:     rand.New(rand.NewPCG(f.Seed, n)),
		callers: make(map[netip.AddrPort]*caller),
	}
}

// run forwards the callers' datagrams until ctx ends, then waits for the callers'
// goroutines.
func (s *service) run(ctx context.Context) {
	for ctx.Err() == nil {
		buf := newBuffer()
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			freeBuffer(buf)
			continue
		}
		s.spray(buf[:n], from)
	}
	s.wg.Wait()
}

// spray forwards a caller's datagram to a balancer chosen at random.
func (s *service) spray(buf []byte, from netip.AddrPort) {
	r := s.fabric.route.Load()
	c := s.caller(from)
	p := packet{buf: buf}
	if c == nil || len(r.balancers) == 0 {
		s.fabric.drop(p)
		return
	}
	b := r.balancers[s.rng.IntN(len(r.balancers))]
	if r.disconnected[b.Host] || c.cutOff(b.Host) {
		s.fabric.drop(p)
		return
	}
	c.touch()
	s.fabric.counters.sprayed.Add(1)
	p.from = c.conn
	p.to = netip.AddrPortFrom(b.Host, s.addr.Port())
	s.fabric.forward(p, s.fabric.delay(c.domain, b.Domain), s.rng)
}

// caller returns the caller with the given address and creates it if necessary. It
// returns nil if the service is closed or no socket can be opened.
func (s *service) caller(addr netip.AddrPort) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[addr]; ok || s.closed {
		return c
	}
	var domain string
	if n := len(s.fabric.Domains); n > 0 {
		domain = s.fabric.Domains[len(s.callers)%n]
	}
	c, err := s.openCaller(addr, domain)
	if err != nil {
		return nil
	}
	s.callers[addr] = c
	return c
}

// openCaller creates a caller with a socket on the balancers' side. s.mu must be held.
func (s *service) openCaller(addr netip.AddrPort, domain string) (*caller, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	c := &caller{
		service: s,
		addr:    addr,
		domain:  domain,
		conn:    conn,
		rng:     rand.New(rand.NewPCG(s.fabric.Seed, uint64(addr.Port()))),
	}
	c.touch()
	s.wg.Go(c.run)
	return c, nil
}

func (s *service) callerAddrs() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]netip.AddrPort, 0, len(s.callers))
	for addr := range s.callers {
		all = append(all, addr)
	}
	return all
}

// blackhole cuts the caller off from all balancers.
func (s *service) blackhole(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[addr]; ok {
		c.blackholed.Store(true)
	}
}

// rebind replaces the caller by one with a new socket. It closes the old socket, so
// that answers to the old address are lost.
func (s *service) rebind(addr netip.AddrPort) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.callers[addr]
	if !ok || s.closed {
		return nil
	}
	c, err := s.openCaller(addr, old.domain)
	if err != nil {
		return errors.Wrap(err, "rebind caller "+addr.String())
	}
	s.callers[addr] = c
	_ = old.conn.Close()
	return nil
}

// blackholeAt cuts the caller off from one balancer.
func (s *service) blackholeAt(addr netip.AddrPort, balancer netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[addr]; ok {
		c.blackholedAt.Store(&balancer)
	}
}

// cutOff reports whether datagrams between the caller and the balancer are dropped.
func (c *caller) cutOff(balancer netip.Addr) bool {
	at := c.blackholedAt.Load()
	return c.blackholed.Load() || at != nil && *at == balancer
}

// remove deletes a caller whose goroutine ends, unless rebind has replaced it.
func (s *service) remove(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers[c.addr] == c {
		delete(s.callers, c.addr)
	}
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.conn.Close()
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
}

// touch marks the caller as active now.
func (c *caller) touch() { c.lastActive.Store(time.Now().UnixNano()) }

func (c *caller) idle() bool {
	return time.Since(time.Unix(0, c.lastActive.Load())) >= idleTimeout
}

// run forwards the balancers' answers to the caller until the caller is idle or its
// socket is closed.
func (c *caller) run() {
	defer c.service.remove(c)
	defer c.conn.Close()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		buf := newBuffer()
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err == nil {
			c.forwardAnswer(buf[:n], from.Addr())
			continue
		}
		freeBuffer(buf)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idle() {
			return
		}
	}
}

// forwardAnswer forwards a balancer's datagram to the caller.
func (c *caller) forwardAnswer(buf []byte, from netip.Addr) {
	f := c.service.fabric
	p := packet{buf: buf, from: c.service.conn, to: c.addr}
	r := f.route.Load()
	if c.cutOff(from) || r.disconnected[from] {
		f.drop(p)
		return
	}
	c.touch()
	f.counters.answered.Add(1)
	f.forward(p, f.delay(c.domain, r.domain(from)), c.rng)
}

// domain returns the failure domain of the balancer on the host, or "" if the
// balancer has been removed.
func (r *routing) domain(host netip.Addr) string {
	for _, b := range r.balancers {
		if b.Host == host {
			return b.Domain
		}
	}
	return ""
}

// delay returns the one-way delay between a caller and a balancer in the given
// failure domains. If the balancer's domain is unknown, it adds no domain delay.
func (f *Fabric) delay(caller, balancer string) time.Duration {
	if caller == balancer || balancer == "" {
		return f.CallerDelay
	}
	return f.CallerDelay + f.DomainDelay
}
