// Package gdpacketagent runs the agent of a packet upstream: it filters the packets to
// the upstream and sends the upstream's packets to the callers.
//
// # Usage
//
//	a := &gdpacketagent.Agent{
//		HopAddress: hop, UpstreamAddress: app, OutboundAddress: outbound, CallerPort: 8172,
//		Codec: codec, Log: log, Scope: scope, Grace: 6 * time.Second,
//	}
//	a.Guard.Service = "booking"
//	err := a.Run(ctx)
//
// Run returns some time after the context is cancelled: when the upstream has no request
// in progress, or when the grace period ends.
package gdpacketagent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdshutdown"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
)

const (
	// idleCheckInterval is the interval at which a draining agent checks whether the
	// upstream is idle.
	idleCheckInterval = 20 * time.Millisecond
	// probeTimeout is the timeout of a probe of the upstream's port, on the same host.
	probeTimeout = 200 * time.Millisecond
)

// Codec decodes and encodes the callers' packets.
type Codec interface {
	// FromCaller decodes a packet that a caller sent.
	FromCaller(b []byte) (gdflow.Packet, error)
	// FromUpstream decodes a packet that the upstream sent or returned.
	FromUpstream(b []byte) (gdflow.Packet, error)
	// AppendReset appends a packet that resets the flow at the caller.
	AppendReset(b []byte, k gdflow.Key, seq uint32) []byte
}

// Agent is the agent process. Its exported fields must be set before Run.
type Agent struct {
	// Guard is the packet filter. Its Service and ObservedFromStart must be set before
	// Run.
	Guard gdguard.Guard
	// HopAddress is where entry hosts' messages arrive. They receive theirs at the same
	// port.
	HopAddress netip.AddrPort
	// UpstreamAddress is where the upstream receives packets, and OutboundAddress where
	// it sends its own.
	UpstreamAddress, OutboundAddress netip.AddrPort
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	Codec      Codec
	Log        gdlog.Logger
	Scope      tally.Scope
	// Grace is how long the process may continue after the context is cancelled.
	Grace time.Duration

	mu           sync.Mutex
	hop          *net.UDPConn
	fromUpstream *net.UDPConn
	toUpstream   *net.UDPConn
	probe        chan struct{}
	wake         chan struct{} // something is due at the guard
	kept         packetStore
	serving      atomic.Bool // all sockets are open
	leaving      atomic.Bool
	metrics      counters
}

// Ready reports whether the agent accepts new flows: its sockets are open, and it is not
// shutting down.
func (a *Agent) Ready() bool { return a.serving.Load() && !a.leaving.Load() }

// Reload updates the setting that may change while the process runs: the grace period.
func (a *Agent) Reload(grace time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Grace = grace
}

func (a *Agent) grace() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Grace
}

// Run handles packets until the context is cancelled and the upstream is drained.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.listen(); err != nil {
		return err
	}
	a.metrics.init(a.Scope)
	if a.Guard.AgentStarted.IsZero() {
		a.Guard.AgentStarted = time.Now()
	}
	a.Guard.OnAnswer = a.metrics.answerTime.RecordDuration
	a.Guard.OnRelease = a.noteRelease
	a.Guard.OnEarlyAnswers = a.noteEarlyAnswers
	a.probe, a.wake = make(chan struct{}, 1), make(chan struct{}, 1)
	a.kept = make(packetStore)
	if !a.Guard.ObservedFromStart {
		a.requestProbe() // it may be down while the agent restarts
	}
	a.serving.Store(true)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return a.readEntries(work) })
	g.Go(func() error { return a.readUpstream(work) })
	g.Go(func() error { a.watchUpstream(work); return nil })
	g.Go(func() error { a.probeUpstream(work); return nil })
	g.Go(func() error { a.tick(work); return nil })
	g.Go(func() error {
		defer stop()
		a.drain(ctx, work)
		return gdsocket.Close(a.hop, a.fromUpstream, a.toUpstream)
	})
	return g.Wait()
}

func (a *Agent) listen() error {
	var err error
	if a.hop, err = gdsocket.Listen("entry hosts", a.HopAddress); err != nil {
		return err
	}
	if a.fromUpstream, err = gdsocket.Listen("the upstream", a.OutboundAddress); err != nil {
		return err
	}
	// A connected socket returns an error if nothing listens on the upstream's port.
	if a.toUpstream, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.UpstreamAddress)); err != nil {
		return errors.Wrapf(err, "open a socket to the upstream at %s", a.UpstreamAddress)
	}
	return nil
}

// drain waits until the context is cancelled, and then until the upstream is idle or
// the grace period is nearly over.
func (a *Agent) drain(ctx, work context.Context) {
	passed, ok := gdshutdown.Drain{
		Grace: a.grace, PollInterval: idleCheckInterval, Start: a.startDrain,
		Done: func(time.Time, time.Duration) bool { return a.load() == 0 },
	}.Wait(ctx, work)
	if ok {
		a.Log.Event(gdlog.DrainEnded, "after", passed.String(), "working", a.load())
	}
}

func (a *Agent) startDrain() {
	a.leaving.Store(true)
	a.mu.Lock()
	a.Guard.Leave()
	flows, kept := a.Guard.Flows(), a.Guard.Kept()
	out := a.newSender()
	now := time.Now()
	out.execute(now, gdflow.Packet{}, nil, a.Guard.Tick(now))
	a.mu.Unlock()
	out.flush()
	a.Log.Event(gdlog.DrainStarted, "flows", flows, "kept", kept)
}

func (a *Agent) load() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Guard.Load()
}
