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

// idleTimeout is the time after which a caller without datagrams is given up.
const idleTimeout = 3 * time.Minute

// service is one service address with its callers.
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

// caller is one caller's address with its socket towards the balancers.
type caller struct {
	service   *service
	addr      netip.AddrPort
	domain    string
	conn      *net.UDPConn
	rng       *rand.Rand // only used by run
	forgotten atomic.Bool
	// lostAt is the balancer at which the caller is not known.
	lostAt atomic.Pointer[netip.Addr]
	last   atomic.Int64 // time of the last datagram, in nanoseconds
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

// run sprays the callers' datagrams until the socket is closed.
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

func (s *service) spray(buf []byte, from netip.AddrPort) {
	r := s.fabric.route.Load()
	c := s.caller(from)
	p := packet{buf: buf}
	if c == nil || len(r.live) == 0 {
		s.fabric.lose(p)
		return
	}
	b := r.live[s.rng.IntN(len(r.live))]
	if r.cut[b.Host] || c.lost(b.Host) {
		s.fabric.lose(p)
		return
	}
	c.touch()
	s.fabric.counters.sprayed.Add(1)
	p.from = c.conn
	p.to = netip.AddrPortFrom(b.Host, s.addr.Port())
	s.fabric.carry(p, s.fabric.delay(c.domain, b.Domain), s.rng)
}

// caller returns the caller with the address, a new one if need be, or nil when
// no socket can be had.
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
	c, err := s.open(addr, domain)
	if err != nil {
		return nil
	}
	s.callers[addr] = c
	return c
}

// open opens a caller's socket towards the balancers. The caller holds the lock.
func (s *service) open(addr netip.AddrPort, domain string) (*caller, error) {
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

func (s *service) addresses() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]netip.AddrPort, 0, len(s.callers))
	for addr := range s.callers {
		all = append(all, addr)
	}
	return all
}

func (s *service) forget(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[addr]; ok {
		c.forgotten.Store(true)
	}
}

// rebind replaces the caller's entry. The old socket is closed, so that answers
// to the old address are lost.
func (s *service) rebind(addr netip.AddrPort) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.callers[addr]
	if !ok || s.closed {
		return nil
	}
	c, err := s.open(addr, old.domain)
	if err != nil {
		return errors.Wrap(err, "rebind caller "+addr.String())
	}
	s.callers[addr] = c
	_ = old.conn.Close()
	return nil
}

func (s *service) forgetAt(addr netip.AddrPort, balancer netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[addr]; ok {
		c.lostAt.Store(&balancer)
	}
}

// lost reports whether datagrams between caller and balancer vanish.
func (c *caller) lost(balancer netip.Addr) bool {
	at := c.lostAt.Load()
	return c.forgotten.Load() || at != nil && *at == balancer
}

// remove forgets a caller that has ended, unless another has taken its place.
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

func (c *caller) touch() { c.last.Store(time.Now().UnixNano()) }

func (c *caller) idle() bool {
	return time.Since(time.Unix(0, c.last.Load())) >= idleTimeout
}

// run carries the balancers' answers back until the caller is idle or the
// fabric stops.
func (c *caller) run() {
	defer c.service.remove(c)
	defer c.conn.Close()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		buf := newBuffer()
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err == nil {
			c.answer(buf[:n], from.Addr())
			continue
		}
		freeBuffer(buf)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idle() {
			return
		}
	}
}

func (c *caller) answer(buf []byte, from netip.Addr) {
	f := c.service.fabric
	p := packet{buf: buf, from: c.service.conn, to: c.addr}
	r := f.route.Load()
	if c.lost(from) || r.cut[from] {
		f.lose(p)
		return
	}
	c.touch()
	f.counters.answered.Add(1)
	f.carry(p, f.delay(c.domain, r.domain(from)), c.rng)
}

// domain returns the failure domain of the balancer with the host, or "" when
// the balancer is no longer live.
func (r *routing) domain(host netip.Addr) string {
	for _, b := range r.live {
		if b.Host == host {
			return b.Domain
		}
	}
	return ""
}

func (f *Fabric) delay(caller, balancer string) time.Duration {
	if caller == balancer || balancer == "" {
		return f.CallerDelay
	}
	return f.CallerDelay + f.DomainDelay
}
