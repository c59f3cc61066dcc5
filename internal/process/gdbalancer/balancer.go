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
	// socketBuffer is the requested size in bytes of each UDP socket's buffers. The
	// host may grant less.
	socketBuffer = 4 << 20
	// reconcileInterval is the interval at which the service sockets are compared with
	// the configuration.
	reconcileInterval = 100 * time.Millisecond
)

// Balancer is the balancer process. Its exported fields must be set before Run.
type Balancer struct {
	// NodeAddress is where agents send their envelopes.
	NodeAddress netip.AddrPort
	// ListenHost, if valid, replaces the host of each service address.
	ListenHost netip.Addr
	// Sockets is the number of sockets for each service address, at least one.
	// The host distributes the callers over them, and each has its own goroutine.
	Sockets int
	// Fleet is the key that all processes share.
	Fleet gdkey.FleetKey
	// Config provides the active configuration.
	Config gdnode.ConfigSource
	// Counters counts decisions.
	Counters gdnode.Counters
	// OnDecision, if set, is called with decisions on packets that open a flow and on
	// dropped packets. The rate of calls is limited.
	OnDecision func(gdnode.Decision)
	// Log receives the events.
	Log gdlog.Logger

	node *net.UDPConn
	// openFailures belongs to the goroutine that runs watchServices.
	openFailures gdlog.RateLimit[string]
	mu           sync.RWMutex
	// callers holds the sockets of each service. It is guarded by mu.
	callers map[gdconf.ServiceID]*callerSockets
}

// callerSockets are the sockets that receive the datagrams of one service's callers.
type callerSockets struct {
	conns []*net.UDPConn
	// addr is the listen address, and service the address in the configuration. They
	// differ if ListenHost is set.
	addr    netip.AddrPort
	service netip.AddrPort
	// readers waits for the goroutines that read the sockets.
	readers sync.WaitGroup
}

func (c *callerSockets) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
	c.readers.Wait()
}

// Run serves until the context ends. It returns an error if the node address can't be
// opened.
func (b *Balancer) Run(ctx context.Context) error {
	node, err := listen(b.NodeAddress, false)
	if err != nil {
		return errors.Wrap(err, "open node address")
	}
	b.node = node
	b.mu.Lock() // State may already be called
	b.callers = make(map[gdconf.ServiceID]*callerSockets)
	b.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(newAgentReader(b).run)
	b.watchServices(ctx)
	b.closeAll()
	wg.Wait()
	return nil
}

// listen opens a UDP socket with large buffers. If shared is set, further sockets can
// listen on the same address.
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
		return nil, errors.Errorf("listen on %s: socket is not a UDP socket", addr)
	}
	// With smaller buffers than requested, the balancer drops more packets in bursts.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

func shareAddress(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optErr
}

// watchServices keeps the service sockets in agreement with the configuration until
// the context ends.
func (b *Balancer) watchServices(ctx context.Context) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	var applied *gdconf.View
	b.openFailures.Interval = gdlog.DropInterval
	for {
		if v := b.Config.View(); v != applied && b.reconcile(v) {
			applied = v
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reconcile opens and closes sockets to match the view. It reports whether all
// sockets could be opened.
func (b *Balancer) reconcile(v *gdconf.View) bool {
	b.closeStale(v)
	ok := true
	for _, spec := range v.Deployment().Services {
		s, _ := v.Service(gdconf.ServiceID(spec.ID))
		if b.socket(s.ID()) != nil {
			continue
		}
		if err := b.open(s); err != nil {
			b.logOpenFailure(s.Name(), err)
			ok = false
		}
	}
	return ok
}

// closeStale closes the sockets of services that were removed or have a new address,
// so that another service can use their address.
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

// addSocket opens a socket and starts the goroutine that reads it.
func (b *Balancer) addSocket(c *callerSockets, id gdconf.ServiceID, shared bool) error {
	conn, err := listen(c.addr, shared)
	if err != nil {
		return err
	}
	c.conns = append(c.conns, conn)
	r, err := newCallerReader(b, conn, c.service, id)
	if err != nil {
		return err
	}
	c.readers.Go(r.run)
	return nil
}

// logOpenFailure logs that a service could not be opened. The rate of events is limited,
// because the balancer retries at each reconcileInterval.
func (b *Balancer) logOpenFailure(service string, err error) {
	if n, due := b.openFailures.Add(time.Now(), service); due {
		b.Log.Failure(gdlog.ServiceListenFailed, err, "service", service, "count", n)
	}
}

// socket returns the socket through which datagrams are sent to a service's callers,
// or nil.
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

// State is the part of a dump that is specific to balancers.
type State struct {
	// Services are the listen addresses of the services.
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
