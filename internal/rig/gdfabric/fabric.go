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
	// socketBufferBytes is the requested size of each service socket's buffers.
	socketBufferBytes = 4 << 20
	// reorderDelay is the extra delay of a reordered datagram, so that later ones
	// overtake it.
	reorderDelay = 2 * time.Millisecond
)

// Balancer is one balancer to which the fabric forwards datagrams.
type Balancer struct {
	// Name is the balancer's name. The fabric itself identifies a balancer by Host.
	Name string
	// Domain is its failure domain.
	Domain string
	// Host is the IP address on which it listens on each service's port.
	Host netip.Addr
}

// Counts counts the datagrams that the fabric has received. Sprayed ones were
// accepted for a balancer and Answered ones for a caller; the drop rate may still drop
// them. Overflowed ones were dropped because their delay line was full; they are not
// counted in Dropped.
type Counts struct {
	Sprayed, Answered, Dropped, Duplicated, Reordered, Overflowed uint64
}

// Fabric is the simulator. Set its exported fields before Listen or Run.
type Fabric struct {
	// Services are the names of the services; each gets an address.
	Services []string
	// Domains are the failure domains to which callers are assigned in turn.
	Domains []string
	// CallerDelay is the one-way delay between callers and any balancer.
	CallerDelay time.Duration
	// DomainDelay is the additional one-way delay to a balancer in another domain.
	DomainDelay time.Duration
	// Host is the IP address of the service addresses; empty means 127.0.0.1.
	Host string
	// Seed seeds the choice of balancers and the faults.
	Seed uint64

	lines    delayLines
	mu       sync.Mutex
	sockets  []*service
	route    atomic.Pointer[routing]
	faults   atomic.Pointer[faults]
	counters counters
}

// routing is an immutable snapshot of the balancers and of the hosts that Disconnect
// has cut off.
type routing struct {
	balancers    []Balancer
	disconnected map[netip.Addr]bool
}

// faults is an immutable snapshot of the shares of datagrams that are dropped,
// duplicated and reordered, each between 0 and 1.
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
		_ = conn.SetReadBuffer(socketBufferBytes)
		_ = conn.SetWriteBuffer(socketBufferBytes)
		f.sockets = append(f.sockets, newService(f, name, conn, uint64(i)))
	}
	return nil
}

// Addr returns the service's address, or the zero address if the service is unknown.
// It is valid after Listen.
func (f *Fabric) Addr(name string) netip.AddrPort {
	if s := f.service(name); s != nil {
		return s.addr
	}
	return netip.AddrPort{}
}

// Callers returns the addresses of the service's callers.
func (f *Fabric) Callers(name string) []netip.AddrPort {
	if s := f.service(name); s != nil {
		return s.callerAddrs()
	}
	return nil
}

// SetBalancers replaces the balancers to which datagrams are forwarded.
func (f *Fabric) SetBalancers(balancers []Balancer) {
	f.updateRouting(func(r *routing) { r.balancers = append([]Balancer{}, balancers...) })
}

// Disconnect drops all datagrams to and from the balancer's host until Reconnect.
func (f *Fabric) Disconnect(host netip.Addr) {
	f.updateRouting(func(r *routing) { r.disconnected[host] = true })
}

// Reconnect ends the effect of Disconnect.
func (f *Fabric) Reconnect(host netip.Addr) {
	f.updateRouting(func(r *routing) { delete(r.disconnected, host) })
}

// BlackholeCaller drops all further datagrams from and to the caller's address. A new
// socket of the same caller is not affected.
func (f *Fabric) BlackholeCaller(caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sockets {
		s.blackhole(caller)
	}
}

// BlackholeCallerAt drops all further datagrams between the caller's address and one
// balancer. Datagrams to and from the other balancers are not affected.
func (f *Fabric) BlackholeCallerAt(caller netip.AddrPort, balancer netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sockets {
		s.blackholeAt(caller, balancer)
	}
}

// Rebind gives a caller another address on the balancers' side, as a middlebox (a
// NAT) does when it renews the caller's mapping.
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

// SetDropRate sets the share of datagrams that are dropped, between 0 and 1.
func (f *Fabric) SetDropRate(rate float64) { f.updateFaults(func(next *faults) { next.drop = rate }) }

// SetDuplicateRate sets the share of datagrams that are sent twice, between 0 and 1.
func (f *Fabric) SetDuplicateRate(rate float64) {
	f.updateFaults(func(next *faults) { next.duplicate = rate })
}

// SetReorderRate sets the share of datagrams that are delayed further, so that later
// ones overtake them, between 0 and 1.
func (f *Fabric) SetReorderRate(rate float64) {
	f.updateFaults(func(next *faults) { next.reorder = rate })
}

// Counts returns the numbers of datagrams so far.
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

// Run forwards datagrams until ctx ends. It calls Listen if necessary.
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

// updateRouting applies change to a copy of the routing and installs the copy.
func (f *Fabric) updateRouting(change func(*routing)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &routing{disconnected: make(map[netip.Addr]bool)}
	if old := f.route.Load(); old != nil {
		next.balancers = old.balancers
		for host := range old.disconnected {
			next.disconnected[host] = true
		}
	}
	change(next)
	f.route.Store(next)
}

// updateFaults applies change to a copy of the faults and installs the copy.
func (f *Fabric) updateFaults(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := faults{}
	if old := f.faults.Load(); old != nil {
		next = *old
	}
	change(&next)
	f.faults.Store(&next)
}

// forward sends a datagram after its delay and applies the faults that are set.
func (f *Fabric) forward(p packet, delay time.Duration, rng *rand.Rand) {
	rates := f.faults.Load()
	if rates.drop > 0 && rng.Float64() < rates.drop {
		f.drop(p)
		return
	}
	if rates.duplicate > 0 && rng.Float64() < rates.duplicate {
		f.counters.duplicated.Add(1)
		duplicate := p
		duplicate.buf = newBuffer()[:len(p.buf)]
		copy(duplicate.buf, p.buf)
		f.lines.enqueue(duplicate, delay)
	}
	if rates.reorder > 0 && rng.Float64() < rates.reorder {
		f.counters.reordered.Add(1)
		delay += reorderDelay
	}
	f.lines.enqueue(p, delay)
}

// drop counts the datagram as dropped and frees its buffer.
func (f *Fabric) drop(p packet) {
	f.counters.dropped.Add(1)
	freeBuffer(p.buf)
}
