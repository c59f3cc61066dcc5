package gdbalancer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

const (
	// socketBuffer is the size in bytes that is asked for each UDP socket's
	// buffers. The host may grant less.
	socketBuffer = 4 << 20
	// lookInterval is how often the set of service sockets is compared with the
	// configuration.
	lookInterval = 100 * time.Millisecond
)

// Balancer is the process. Its exported fields are set before Run.
type Balancer struct {
	// NodeAddress is where agents send their envelopes.
	NodeAddress netip.AddrPort
	// ListenHost takes the place of each service's own host when it is valid.
	ListenHost netip.Addr
	// Sockets is the number of sockets for each service address, at least one.
	// The host spreads the callers over them, and each has a goroutine of its own.
	Sockets int
	// Fleet is the key that all processes share.
	Fleet gdkey.FleetKey
	// Config is the configuration in force.
	Config gdnode.ConfigSource
	// Counters counts decisions.
	Counters gdnode.Counters
	// OnDecision is called with the decisions on packets that open a flow and on
	// dropped ones, within a rate. It may be nil.
	OnDecision func(gdnode.Decision)
	// Log takes the events.
	Log gdlog.Logger

	node *net.UDPConn
	// failures belongs to the goroutine that watches the services.
	failures gdlog.RateLimit[string]
	mu       sync.RWMutex
	// callers holds the sockets of each service. Guarded by mu.
	callers map[gdconf.ServiceID]*callerSockets
}

// callerSockets are the sockets on which one service's callers are served.
type callerSockets struct {
	conns []*net.UDPConn
	// addr is where the sockets listen, and service the address in the
	// configuration. They differ when ListenHost is set.
	addr    netip.AddrPort
	service netip.AddrPort
	// readers ends when all sockets are closed.
	readers sync.WaitGroup
}

func (c *callerSockets) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
	c.readers.Wait()
}

// Run serves until the context ends. It returns an error when the node address
// can't be opened.
func (b *Balancer) Run(ctx context.Context) error {
	node, err := listen(b.NodeAddress, false)
	if err != nil {
		return errors.Wrap(err, "open the node address")
	}
	b.node = node
	b.mu.Lock() // State may be asked for already
	b.callers = make(map[gdconf.ServiceID]*callerSockets)
	b.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(newAnswerer(b).run)
	b.watchServices(ctx)
	b.closeAll()
	wg.Wait()
	return nil
}

// listen opens a UDP socket with large buffers. A shared one lets further
// sockets listen on the same address.
func listen(addr netip.AddrPort, shared bool) (*net.UDPConn, error) {
	var lc net.ListenConfig
	if shared {
		lc.Control = shareAddress
	}
	pc, err := lc.ListenPacket(context.Background(), "udp", addr.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, errors.Errorf("listen on %s: not a UDP socket", addr)
	}
	// A host that grants less than this still serves, with more drops in bursts.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

func shareAddress(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return set
}

// watchServices keeps sockets open for each configured service.
func (b *Balancer) watchServices(ctx context.Context) {
	t := time.NewTicker(lookInterval)
	defer t.Stop()
	var seen *gdconf.View
	b.failures.Interval = gdlog.DropInterval
	for {
		if v := b.Config.View(); v != seen && b.reconcile(v) {
			seen = v
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reconcile opens and closes sockets so that they match the view. It reports
// whether all could be opened; the caller tries again otherwise.
func (b *Balancer) reconcile(v *gdconf.View) bool {
	b.closeStale(v)
	ok := true
	for _, spec := range v.Deployment().Services {
		s, _ := v.Service(gdconf.ServiceID(spec.ID))
		if b.socket(s.ID()) != nil {
			continue
		}
		if err := b.open(s); err != nil {
			b.logOpen(s.Name(), err)
			ok = false
		}
	}
	return ok
}

// closeStale closes the sockets of services that are gone or have moved, before
// another service takes their address.
func (b *Balancer) closeStale(v *gdconf.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, c := range b.callers {
		s, ok := v.Service(id)
		if ok && b.listenAddress(s) == c.addr && s.Address() == c.service {
			continue
		}
		c.close()
		delete(b.callers, id)
	}
}

func (b *Balancer) listenAddress(s *gdconf.Service) netip.AddrPort {
	if !b.ListenHost.IsValid() {
		return s.Address()
	}
	return netip.AddrPortFrom(b.ListenHost, s.Address().Port())
}

func (b *Balancer) open(s *gdconf.Service) error {
	c := &callerSockets{addr: b.listenAddress(s), service: s.Address()}
	n := max(b.Sockets, 1)
	for range n {
		if err := b.addSocket(c, s.ID(), n > 1); err != nil {
			c.close()
			return errors.Wrapf(err, "open service %s at %s", s.Name(), c.addr)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callers[s.ID()] = c
	return nil
}

// addSocket opens one more socket with the goroutine that reads it.
func (b *Balancer) addSocket(c *callerSockets, id gdconf.ServiceID, shared bool) error {
	conn, err := listen(c.addr, shared)
	if err != nil {
		return err
	}
	c.conns = append(c.conns, conn)
	r, err := newReader(b, conn, c.service, id)
	if err != nil {
		return err
	}
	c.readers.Go(r.run)
	return nil
}

// logOpen logs that a service could not be opened. It is tried again soon, so that
// the log would be flooded otherwise.
func (b *Balancer) logOpen(service string, err error) {
	if n, due := b.failures.Add(time.Now(), service); due {
		b.Log.Failure(gdlog.ServiceListenFailed, err, "service", service, "count", n)
	}
}

// socket returns the socket through which a service's callers are answered, or
// nil.
func (b *Balancer) socket(id gdconf.ServiceID) *net.UDPConn {
	b.mu.RLock()
	defer b.mu.RUnlock()
	c, ok := b.callers[id]
	if !ok {
		return nil
	}
	return c.conns[0]
}

func (b *Balancer) closeAll() {
	b.node.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.callers {
		c.close()
	}
}

// State is the part of the dump that only balancers have.
type State struct {
	// Services are the addresses on which callers are served.
	Services []string `json:"services"`
}

// State returns the balancer's state for the dump.
func (b *Balancer) State() State {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var st State
	for _, c := range b.callers {
		st.Services = append(st.Services, c.addr.String())
	}
	slices.Sort(st.Services)
	return st
}
