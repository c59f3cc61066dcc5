// Package gdpacketagent runs the agent beside an upstream that speaks packets: it lets in
// what belongs to the upstream and sends the upstream's packets to the callers.
//
// # Usage
//
//	s := &gdpacketagent.Side{
//		Hop: hop, Upstream: app, FromUpstream: outbound, CallerPort: 8172,
//		Codec: codec, Log: log, Scope: scope, Grace: 6 * time.Second,
//	}
//	s.Guard.Service = "booking"
//	err := s.Run(ctx)
//
// Run returns some time after the context has ended, at a moment when the upstream
// works on nothing if there is one.
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
	// idleCheck is how often a leaving agent looks whether the upstream works on
	// nothing.
	idleCheck = 20 * time.Millisecond
	// probeTime bounds a look at the upstream's port, which is on the same host.
	probeTime = 200 * time.Millisecond
)

// Codec reads and writes the callers' packets.
type Codec interface {
	// FromCaller decodes a packet that a caller sent.
	FromCaller(b []byte) (gdflow.Packet, error)
	// FromUpstream decodes a packet that the upstream sent or returned.
	FromUpstream(b []byte) (gdflow.Packet, error)
	// AppendReset appends a packet that ends the flow at the caller.
	AppendReset(b []byte, k gdflow.Key, seq uint32) []byte
}

// Agent is an agent's process. Its exported fields are set before Run.
type Agent struct {
	// Guard decides. Its Service and Fresh are set before Run.
	Guard gdguard.Guard
	// HopAddress is where entry hosts' messages arrive; they take theirs at the same port.
	HopAddress netip.AddrPort
	// UpstreamAddress is where the upstream takes packets, OutboundAddress where it sends
	// its own.
	UpstreamAddress, OutboundAddress netip.AddrPort
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	Codec      Codec
	Log        gdlog.Logger
	Scope      tally.Scope
	// Grace is how long the process may go on after the context has ended.
	Grace time.Duration

	mu      sync.Mutex
	hop     *net.UDPConn
	from    *net.UDPConn
	to      *net.UDPConn
	doubt   chan struct{}
	serving atomic.Bool // all sockets are open
	leaving atomic.Bool
	seen    counters
}

// Ready reports whether the agent lets in new flows: its sockets are open, and it does
// not shut down.
func (s *Agent) Ready() bool { return s.serving.Load() && !s.leaving.Load() }

// Reload takes over what may change while the process runs: the grace period.
func (s *Agent) Reload(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Grace = grace
}

func (s *Agent) grace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Grace
}

// Run lets packets through until some time after the context has ended.
func (s *Agent) Run(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	s.seen.init(s.Scope)
	if s.Guard.AgentStarted.IsZero() {
		s.Guard.AgentStarted = time.Now()
	}
	s.Guard.OnAnswer = s.seen.answerTime.RecordDuration
	s.doubt = make(chan struct{}, 1)
	if !s.Guard.ObservedFromStart {
		s.lookAtUpstream() // it may be away while the agent starts again
	}
	s.serving.Store(true)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return s.readEntries(work) })
	g.Go(func() error { return s.readUpstream(work) })
	g.Go(func() error { s.watchUpstream(work); return nil })
	g.Go(func() error { s.probeUpstream(work); return nil })
	g.Go(func() error {
		defer stop()
		s.leave(ctx, work)
		return gdsocket.Close(s.hop, s.from, s.to)
	})
	return g.Wait()
}

func (s *Agent) listen() error {
	var err error
	if s.hop, err = gdsocket.Listen("entry hosts", s.HopAddress); err != nil {
		return err
	}
	if s.from, err = gdsocket.Listen("the upstream", s.OutboundAddress); err != nil {
		return err
	}
	// A connected socket learns when nothing listens at the upstream's port.
	if s.to, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.UpstreamAddress)); err != nil {
		return errors.Wrapf(err, "open a socket to the upstream at %s", s.UpstreamAddress)
	}
	return nil
}

// leave waits for the end of the context, and then until the upstream works on
// nothing or the grace period is nearly over.
func (s *Agent) leave(ctx, work context.Context) {
	passed, ok := gdshutdown.Drain{
		Grace: s.grace, PollInterval: idleCheck, Start: s.beginLeaving,
		Done: func(time.Time, time.Duration) bool { return s.load() == 0 },
	}.Wait(ctx, work)
	if ok {
		s.Log.Event(gdlog.DrainEnded, "after", passed.String(), "working", s.load())
	}
}

func (s *Agent) beginLeaving() {
	s.leaving.Store(true)
	s.mu.Lock()
	s.Guard.Leave()
	flows := s.Guard.Flows()
	s.mu.Unlock()
	s.Log.Event(gdlog.DrainStarted, "flows", flows)
}

func (s *Agent) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Guard.Load()
}
