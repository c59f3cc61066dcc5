package gdentry_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/process/gdentry"
	"godwitdrift.example/godwitdrift/internal/process/gdpacketagent"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// eventTimeout is the timeout for events that normally happen within milliseconds.
const eventTimeout = 20 * time.Second

// source is an in-memory store.
type source struct {
	mu      sync.Mutex
	changes []gddiscovery.Change
	lost    bool // the next watch returns ErrHistoryLost
	loads   int
	added   chan struct{}
}

func (s *source) update(after gddiscovery.Revision) gddiscovery.Update {
	u := gddiscovery.Update{}
	for _, c := range s.changes {
		u.Revision = max(u.Revision, c.Revision)
		if c.Revision > after {
			u.Changes = append(u.Changes, c)
		}
	}
	return u
}

func (s *source) Load(context.Context) (gddiscovery.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return s.update(0), nil
}

func (s *source) Watch(ctx context.Context, after gddiscovery.Revision, wait time.Duration) (gddiscovery.Update, error) {
	s.mu.Lock()
	u, lost := s.update(after), s.lost
	s.lost = false
	s.mu.Unlock()
	if lost {
		return gddiscovery.Update{}, gddiscovery.ErrHistoryLost
	}
	if len(u.Changes) > 0 {
		return u, nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return u, ctx.Err()
	case <-t.C:
	case <-s.added:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(after), nil
}

func (s *source) add(c gddiscovery.Change) {
	s.mu.Lock()
	s.changes = append(s.changes, c)
	s.mu.Unlock()
	select {
	case s.added <- struct{}{}:
	default:
	}
}

// deployment is an entry host and an agent, with sockets of the test for the upstream
// and the caller.
type deployment struct {
	t        *testing.T
	network  *gdlisten.Network
	source   *source
	entry    *gdentry.EntryHost
	upstream *net.UDPConn
	caller   *net.UDPConn
	outbound netip.AddrPort
	key      gdflow.Key
	stop     context.CancelFunc
	ended    chan error
}

// claimNetwork returns a part of the loopback network that the test has for itself.
func claimNetwork(t *testing.T) *gdlisten.Network {
	t.Helper()
	n, err := gdlisten.ClaimNetwork()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	return n
}

func listen(t *testing.T, ip netip.Addr, port uint16) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func portOf(c *net.UDPConn) uint16 { return c.LocalAddr().(*net.UDPAddr).AddrPort().Port() }

// freePort returns a currently unused port.
func freePort(t *testing.T) uint16 {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	return portOf(c)
}

func config(revision gddiscovery.Revision, address gdflow.Address) gddiscovery.Change {
	return gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Configuration}, Revision: revision,
		Config: &gddiscovery.Config{
			Version: uint64(revision), IdleTimeout: 15 * time.Second,
			Routes:   []gddiscovery.Route{{Name: "r", Address: address, Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}}}},
			Services: []gddiscovery.Service{{Name: "booking"}},
		},
	}
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	network := claimNetwork(t)
	entryIP, agentIP, callerIP := network.Addr(1, 1), network.Addr(1, 2), network.Addr(1, 3)
	d := &deployment{t: t, network: network, source: &source{added: make(chan struct{}, 1)}, ended: make(chan error, 1)}
	d.caller, d.upstream = listen(t, callerIP, 0), listen(t, agentIP, 0)
	callers, hop, feed, outbound := portOf(d.caller), freePort(t), freePort(t), freePort(t)
	d.outbound = netip.AddrPortFrom(agentIP, outbound)
	service := gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443)
	d.key = gdflow.NewKey(gdflow.AddressFrom(callerIP.As4(), 40001), service)
	upstream, ok := gdflow.AddressFromAddrPort(netip.AddrPortFrom(agentIP, portOf(d.upstream)))
	require.True(t, ok)
	d.source.changes = []gddiscovery.Change{config(1, service), {
		Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: "u1"}, Revision: 2,
		Upstream: &gddiscovery.Upstream{ID: "u1", Service: "booking", Domain: "a", Address: upstream, Slots: 3},
	}}
	d.entry = &gdentry.EntryHost{
		CallerAddress: netip.AddrPortFrom(entryIP, callers), HopAddress: netip.AddrPortFrom(entryIP, hop),
		FeedAddress: netip.AddrPortFrom(entryIP, feed), Codec: platform.Codec{}, Source: d.source, Scope: tally.NoopScope,
		Grace: 3 * time.Second,
	}
	agent := &gdpacketagent.Agent{
		Guard: gdguard.Guard{Service: "booking", ObservedFromStart: true}, HopAddress: netip.AddrPortFrom(agentIP, hop),
		UpstreamAddress: netip.AddrPortFrom(agentIP, portOf(d.upstream)), OutboundAddress: d.outbound, CallerPort: callers,
		Codec: platform.Codec{}, Scope: tally.NoopScope, Grace: 3 * time.Second,
	}
	ctx, stop := context.WithCancel(t.Context())
	d.stop = stop
	var g errgroup.Group
	g.Go(func() error { return d.entry.Run(ctx) })
	g.Go(func() error { return agent.Run(ctx) })
	go func() { d.ended <- g.Wait() }()
	// Packets that arrive before a socket is open are lost, and this caller does not
	// retransmit.
	require.Eventually(t, func() bool { return d.entry.Ready() && agent.Ready() }, eventTimeout, time.Millisecond)
	return d
}

// packet returns a packet between the flow's ends, in the platform's encoding.
func (d *deployment) packet(toService bool, flags platformsim.Flags, seq, ack uint32, data string) []byte {
	p := platformsim.Packet{From: d.key.Caller(), To: d.key.Service(), Seq: seq, Ack: ack, Flags: flags, Data: []byte(data)}
	if !toService {
		p.From, p.To = p.To, p.From
	}
	return p.Append(nil)
}

func (d *deployment) read(c *net.UDPConn) []byte {
	d.t.Helper()
	require.NoError(d.t, c.SetReadDeadline(time.Now().Add(eventTimeout)))
	buf := make([]byte, 2000)
	n, err := c.Read(buf)
	require.NoError(d.t, err)
	return buf[:n]
}

func (d *deployment) callerSends(b []byte) {
	d.t.Helper()
	_, err := d.caller.WriteToUDPAddrPort(b, d.entry.CallerAddress)
	require.NoError(d.t, err)
}

func (d *deployment) upstreamSends(b []byte) {
	d.t.Helper()
	_, err := d.upstream.WriteToUDPAddrPort(b, d.outbound)
	require.NoError(d.t, err)
}

const (
	syn = 1
	ack = 64
	rst = 128
)

// openFlow opens the flow and returns when the upstream has received the first request.
func (d *deployment) openFlow() {
	d.t.Helper()
	d.callerSends(d.packet(true, syn, 10, 0, ""))
	require.Equal(d.t, d.packet(true, syn, 10, 0, ""), d.read(d.upstream))
	d.upstreamSends(d.packet(false, syn|ack, 1000, 11, ""))
	require.Equal(d.t, d.packet(false, syn|ack, 1000, 11, ""), d.read(d.caller))
	d.callerSends(d.packet(true, ack, 11, 1001, "request"))
	require.Equal(d.t, d.packet(true, ack, 11, 1001, "request"), d.read(d.upstream))
}

// TestFlowEndToEnd: both ends receive what the other one sent, byte for byte.
func TestFlowEndToEnd(t *testing.T) {
	d := deploy(t)
	d.openFlow()
	d.upstreamSends(d.packet(false, ack, 1001, 18, "answer"))
	require.Equal(t, d.packet(false, ack, 1001, 18, "answer"), d.read(d.caller))
	d.stop()
	require.NoError(t, <-d.ended)
}

// TestNoRouteIsResetAtOnce: a flow whose route was removed is reset at its next packet.
// The test also checks that a configuration becomes active as soon as the source has it.
func TestNoRouteIsResetAtOnce(t *testing.T) {
	d := deploy(t)
	d.openFlow()
	d.source.add(config(3, gdflow.AddressFrom([4]byte{198, 18, 0, 9}, 443)))
	require.Eventually(t, func() bool {
		d.callerSends(d.packet(true, ack, 18, 1001, ""))
		require.NoError(t, d.caller.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		buf := make([]byte, 2000)
		n, err := d.caller.Read(buf)
		return err == nil && n == platform.HeaderSize && buf[30] == rst
	}, eventTimeout, time.Millisecond)
	d.stop()
	require.NoError(t, <-d.ended)
}

// TestLostHistoryIsLoadedAgain: after a watch that returns ErrHistoryLost, the full state
// is loaded again, and nothing reverts.
func TestLostHistoryIsLoadedAgain(t *testing.T) {
	d := deploy(t)
	d.source.mu.Lock()
	d.source.lost = true
	d.source.mu.Unlock()
	require.Eventually(t, func() bool {
		d.source.mu.Lock()
		defer d.source.mu.Unlock()
		return d.source.loads >= 2
	}, eventTimeout, 10*time.Millisecond)
	d.openFlow()
	d.stop()
	require.NoError(t, <-d.ended)
}

// lateSource changes while its state is loaded, and its watch returns the change at once.
type lateSource struct {
	*source
	waits chan time.Duration
}

func (s lateSource) Load(ctx context.Context) (gddiscovery.Update, error) {
	u, err := s.source.Load(ctx)
	s.source.mu.Lock()
	s.source.changes = append(s.source.changes, config(9, gdflow.AddressFrom([4]byte{198, 18, 0, 9}, 443)))
	s.source.mu.Unlock()
	return u, err
}

func (s lateSource) Watch(ctx context.Context, after gddiscovery.Revision, wait time.Duration) (gddiscovery.Update, error) {
	select {
	case s.waits <- wait:
	default:
	}
	return s.source.Watch(ctx, after, wait)
}

// TestChangesDuringLoadAreReceived: changes during a load are known right after it,
// even to a host that is not a reader.
func TestChangesDuringLoadAreReceived(t *testing.T) {
	s := lateSource{source: &source{added: make(chan struct{}, 1)}, waits: make(chan time.Duration, 1)}
	s.source.changes = []gddiscovery.Change{config(1, gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))}
	at := netip.AddrPortFrom(claimNetwork(t).Addr(1, 1), 0)
	e := &gdentry.EntryHost{
		CallerAddress: at, HopAddress: at, FeedAddress: netip.AddrPortFrom(at.Addr(), freePort(t)),
		Codec: platform.Codec{}, Source: s, Scope: tally.NoopScope,
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	require.Less(t, <-s.waits, 10*time.Millisecond, "the watch does not wait for more")
	require.Eventually(t, func() bool { return e.State(time.Now()).Version == 9 }, eventTimeout, time.Millisecond)
	stop()
	require.NoError(t, <-ended)
}

// unresponsiveSource is a store that does not respond.
type unresponsiveSource struct{}

func (unresponsiveSource) Load(ctx context.Context) (gddiscovery.Update, error) {
	<-ctx.Done()
	return gddiscovery.Update{}, ctx.Err()
}

func (unresponsiveSource) Watch(ctx context.Context, _ gddiscovery.Revision, _ time.Duration) (gddiscovery.Update, error) {
	<-ctx.Done()
	return gddiscovery.Update{}, ctx.Err()
}

// TestHostStartsWhileTheStoreIsDown: the host gets the state from another entry host.
func TestHostStartsWhileTheStoreIsDown(t *testing.T) {
	d := deploy(t)
	d.openFlow()
	at := func(a netip.AddrPort) netip.AddrPort {
		return netip.AddrPortFrom(d.network.Addr(1, 4), a.Port())
	}
	second := &gdentry.EntryHost{
		CallerAddress: at(d.entry.CallerAddress), HopAddress: at(d.entry.HopAddress), FeedAddress: at(d.entry.FeedAddress),
		Seeds: []netip.Addr{d.entry.FeedAddress.Addr()}, Codec: platform.Codec{}, Source: unresponsiveSource{}, Scope: tally.NoopScope,
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- second.Run(ctx) }()
	require.Eventually(t, second.Ready, eventTimeout, time.Millisecond)
	_, err := d.caller.WriteToUDPAddrPort(d.packet(true, ack, 18, 1001, "more"), second.CallerAddress)
	require.NoError(t, err)
	require.Equal(t, d.packet(true, ack, 18, 1001, "more"), d.read(d.upstream))
	stop()
	require.NoError(t, <-ended)
	d.stop()
	require.NoError(t, <-d.ended)
}

// TestReloadWhileStarting: settings may be reloaded before the host runs. The race
// detector reports an access without the mutex.
func TestReloadWhileStarting(t *testing.T) {
	at := netip.AddrPortFrom(claimNetwork(t).Addr(1, 1), 0)
	e := &gdentry.EntryHost{
		CallerAddress: at, HopAddress: at, FeedAddress: netip.AddrPortFrom(at.Addr(), freePort(t)),
		Codec: platform.Codec{}, Source: unresponsiveSource{}, Scope: tally.NoopScope,
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	for until := time.Now().Add(100 * time.Millisecond); time.Now().Before(until); {
		e.Reload(nil, unresponsiveSource{}, 0)
	}
	stop()
	require.NoError(t, <-ended)
}

// TestLeavingHostStillForwards: after the context is cancelled the host is not ready, and
// packets that still arrive are forwarded.
func TestLeavingHostStillForwards(t *testing.T) {
	d := deploy(t)
	d.openFlow()
	d.stop()
	require.Eventually(t, func() bool { return !d.entry.Ready() }, eventTimeout, time.Millisecond)
	d.callerSends(d.packet(true, ack, 18, 1001, "more"))
	require.Equal(t, d.packet(true, ack, 18, 1001, "more"), d.read(d.upstream))
	d.upstreamSends(d.packet(false, ack, 1001, 22, "answer"))
	require.Equal(t, d.packet(false, ack, 1001, 22, "answer"), d.read(d.caller))
	require.NoError(t, <-d.ended)
}

// TestExitedUpstreamResetsItsFlows: flows are reset when nothing listens on their
// upstream's port any more.
func TestExitedUpstreamResetsItsFlows(t *testing.T) {
	d := deploy(t)
	d.openFlow()
	require.NoError(t, d.upstream.Close())
	d.callerSends(d.packet(true, ack, 18, 1001, "more"))
	b := d.read(d.caller)
	require.Equal(t, byte(rst), b[30])
	require.Equal(t, uint32(1001), binary.BigEndian.Uint32(b), "within the caller's window")
	d.stop()
	require.NoError(t, <-d.ended)
}
