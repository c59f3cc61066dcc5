package gdfabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// socketBuffer is the size asked for each service socket's buffers, in bytes.
	socketBuffer = 4 << 20
	// reorderDelay is added to a datagram that is to be overtaken.
	reorderDelay = 2 * time.Millisecond
)

// Balancer is one balancer as the fabric knows it.
type Balancer struct {
	// Name identifies the balancer for Cut.
	Name string
	// Domain is its failure domain.
	Domain string
	// Host is the IP address on which it listens at each service's port.
	Host netip.Addr
}

// Counts are the datagrams that the fabric has seen.
type Counts struct {
	Sprayed, Answered, Dropped, Duplicated, Reordered, Overflowed uint64
}

// Fabric is the stand-in. Set its exported fields before Listen or Run.
type Fabric struct {
	// Services are the names of the services; each gets an address.
	Services []string
	// Domains are the failure domains over which callers' entries are spread.
	Domains []string
	// CallerDelay is the one-way delay between callers and any balancer.
	CallerDelay time.Duration
	// DomainDelay is the further one-way delay to a balancer in another domain.
	DomainDelay time.Duration
	// Host is the IP address of the service addresses; empty means 127.0.0.1.
	Host string
	// Seed seeds the choice of balancers and the faults.
	Seed uint64

	lines    lines
	mu       sync.Mutex
	sockets  []*service
	route    atomic.Pointer[routing]
	faults   atomic.Pointer[faults]
	counters counters
}

// routing is what the fabric knows of the balancers. It is replaced as a whole.
type routing struct {
	live []Balancer
	cut  map[netip.Addr]bool
}

// faults are the shares of datagrams that are harmed. It is replaced as a whole.
type faults struct {
	drop, duplicate, reorder float64
}

type counters struct {
	sprayed, answered, dropped, duplicated, reordered atomic.Uint64
}

// Listen binds the service addresses. A second call does nothing.
func (f *Fabric) Listen() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sockets != nil {
		return nil
	}
	host := f.Host
	if host == "" {
		host = "127.0.0.1"
	}
	f.route.CompareAndSwap(nil, &routing{})
	f.faults.CompareAndSwap(nil, &faults{})
	for i, name := range f.Services {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			return errors.Wrap(err, "listen for service "+name)
		}
		_ = conn.SetReadBuffer(socketBuffer)
		_ = conn.SetWriteBuffer(socketBuffer)
		f.sockets = append(f.sockets, newService(f, name, conn, uint64(i)))
	}
	return nil
}

// Addr returns the service's address. It is valid after Listen; an unknown
// service has the zero address.
func (f *Fabric) Addr(name string) netip.AddrPort {
	if s := f.service(name); s != nil {
		return s.addr
	}
	return netip.AddrPort{}
}

// Callers returns the addresses of the service's callers.
func (f *Fabric) Callers(name string) []netip.AddrPort {
	if s := f.service(name); s != nil {
		return s.addresses()
	}
	return nil
}

// SetBalancers replaces the balancers over which datagrams are sprayed.
func (f *Fabric) SetBalancers(live []Balancer) {
	f.reroute(func(r *routing) { r.live = append([]Balancer{}, live...) })
}

// Disconnect loses each datagram to and from the balancer's host, until Mend.
func (f *Fabric) Disconnect(host netip.Addr) { f.reroute(func(r *routing) { r.cut[host] = true }) }

// Reconnect ends a cut.
func (f *Fabric) Reconnect(host netip.Addr) { f.reroute(func(r *routing) { delete(r.cut, host) }) }

// BlackholeCaller makes the fabric lose track of a caller: its datagrams and the answers
// to it vanish for good. A new socket of the same caller works.
func (f *Fabric) BlackholeCaller(caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sockets {
		s.forget(caller)
	}
}

// BlackholeCallerAt makes the fabric lose track of a caller at one balancer: datagrams
// between the two vanish for good, while the other balancers still work.
func (f *Fabric) BlackholeCallerAt(caller netip.AddrPort, balancer netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sockets {
		s.forgetAt(caller, balancer)
	}
}

// Rebind gives a caller another address towards the balancers, as a middlebox
// does that has renewed its mapping.
func (f *Fabric) Rebind(caller netip.AddrPort) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sockets {
		if err := s.rebind(caller); err != nil {
			return err
		}
	}
	return nil
}

// SetDropRate loses the given share of datagrams, between 0 and 1.
func (f *Fabric) SetDropRate(share float64) { f.harm(func(h *faults) { h.drop = share }) }

// SetDuplicateRate sends the given share of datagrams twice.
func (f *Fabric) SetDuplicateRate(share float64) { f.harm(func(h *faults) { h.duplicate = share }) }

// SetReorderRate lets the given share of datagrams be overtaken.
func (f *Fabric) SetReorderRate(share float64) { f.harm(func(h *faults) { h.reorder = share }) }

// Counts returns the datagrams seen so far.
func (f *Fabric) Counts() Counts {
	return Counts{
		Sprayed:    f.counters.sprayed.Load(),
		Answered:   f.counters.answered.Load(),
		Dropped:    f.counters.dropped.Load(),
		Duplicated: f.counters.duplicated.Load(),
		Reordered:  f.counters.reordered.Load(),
		Overflowed: f.lines.overflow.Load(),
	}
}

// Run carries datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	if err := f.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.lines.ctx = ctx
	var wg sync.WaitGroup
	for _, s := range f.sockets {
		wg.Go(func() { s.run(ctx) })
	}
	<-ctx.Done()
	for _, s := range f.sockets {
		s.close()
	}
	wg.Wait()
	f.lines.wg.Wait()
	return nil
}

func (f *Fabric) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sockets {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (f *Fabric) reroute(change func(*routing)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &routing{cut: make(map[netip.Addr]bool)}
	if old := f.route.Load(); old != nil {
		next.live = old.live
		for host := range old.cut {
			next.cut[host] = true
		}
	}
	change(next)
	f.route.Store(next)
}

func (f *Fabric) harm(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := faults{}
	if old := f.faults.Load(); old != nil {
		next = *old
	}
	change(&next)
	f.faults.Store(&next)
}

// carry sends a datagram after its delay, with the faults that are on.
func (f *Fabric) carry(p packet, delay time.Duration, rng *rand.Rand) {
	h := f.faults.Load()
	if h.drop > 0 && rng.Float64() < h.drop {
		f.lose(p)
		return
	}
	if h.duplicate > 0 && rng.Float64() < h.duplicate {
		f.counters.duplicated.Add(1)
		twin := p
		twin.buf = newBuffer()[:len(p.buf)]
		copy(twin.buf, p.buf)
		f.lines.put(twin, delay)
	}
	if h.reorder > 0 && rng.Float64() < h.reorder {
		f.counters.reordered.Add(1)
		delay += reorderDelay
	}
	f.lines.put(p, delay)
}

func (f *Fabric) lose(p packet) {
	f.counters.dropped.Add(1)
	freeBuffer(p.buf)
}
