// Package gdentry runs an entry host: it receives the callers' packets and sends each
// to the agent of its flow's upstream.
//
// # Usage
//
//	e := &gdentry.EntryHost{
//		CallerAddress: callers, HopAddress: hop, FeedAddress: feed,
//		Codec: codec, Source: store, Log: log, Scope: scope, Grace: 6 * time.Second,
//	}
//	err := e.Run(ctx)
//
// Run returns some time after the context is cancelled: only then do the routers
// notice that the host is shutting down, and packets that they still send are
// forwarded.
//
// There is one goroutine for each socket, one that follows the source, and one for
// the timeouts of lookups. They share the dispatcher, which is guarded by a mutex.
package gdentry

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

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdpacer"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdshutdown"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
)

const (
	// minDrainTime is how long routers may take to notice that a host is shutting down:
	// two of their probes, which are sent twice a second, and one as a margin.
	minDrainTime = 1500 * time.Millisecond
	// quietPeriod is the time without packets after which a draining host stops.
	quietPeriod = 500 * time.Millisecond
	// pacedShare is the share of the link's bandwidth that forwarded packets may use. The
	// rest is left to the link's other traffic and its headers.
	pacedShare = 0.8
	// minTickInterval is the minimum interval between two checks of the lookups.
	minTickInterval = 5 * time.Millisecond
)

// Codec decodes and encodes the callers' packets.
type Codec interface {
	// FromCaller decodes a packet that a caller sent.
	FromCaller(b []byte) (gdflow.Packet, error)
	// ClearReserved clears the header fields that a caller must not set.
	ClearReserved(b []byte)
	// AppendReset appends a packet that resets the flow at the caller.
	AppendReset(b []byte, k gdflow.Key, seq uint32) []byte
}

// EntryHost is the entry host process. Its exported fields must be set before Run.
type EntryHost struct {
	// CallerAddress is where the callers' packets arrive. The callers receive theirs at
	// the same port.
	CallerAddress netip.AddrPort
	// HopAddress is where agents' messages arrive. Agents receive theirs at the same
	// port.
	HopAddress netip.AddrPort
	// FeedAddress is where other entry hosts' beacons arrive and where they fetch
	// updates. All entry hosts use the same port.
	FeedAddress netip.AddrPort
	// Seeds are entry hosts from which others can be learnt.
	Seeds []netip.Addr
	// Domain is the failure domain of the host.
	Domain string
	// Rank orders the hosts that may read the source, the lowest first.
	Rank uint32
	// LinkBytesPerSecond is the bandwidth of the host's link, or 0 if it is unknown.
	LinkBytesPerSecond float64
	// MaxFlowAge is the age that a flow reaches at most, or 0 for gddiscovery.DefaultMaxFlowAge.
	MaxFlowAge time.Duration
	// Codec decodes and encodes packets.
	Codec Codec
	// Source provides the state of the deployment.
	Source Source
	Log    gdlog.Logger
	Scope  tally.Scope
	// Grace is how long the process may continue after the context is cancelled.
	Grace time.Duration

	mu           sync.Mutex
	dispatcher   gddispatch.Dispatcher
	pacer        gdpacer.Pacer
	paced        chan struct{} // wakes sendPaced
	state        gddiscovery.State
	election     gdreaders.Election
	history      gddiscovery.History // for the changes in beacons
	wake         chan struct{}
	becameReader chan struct{}
	behind       chan gdflow.Address
	probes       chan probeRequest
	verify       chan struct{}
	feed         *net.UDPConn
	updates      net.Listener
	callers      *net.UDPConn
	hop          *net.UDPConn
	viewSender   *sender      // for the actions after a change of the view; guarded by mu
	lastPacket   atomic.Int64 // time of the last caller's packet, in Unix nanoseconds
	leaving      atomic.Bool
	ready        atomic.Bool
	cutOff       atomic.Bool
	metrics      counters
}

// Ready reports whether the routers may send packets: the host has a configuration,
// reaches agents, and is not shutting down.
func (e *EntryHost) Ready() bool { return e.ready.Load() && !e.leaving.Load() && !e.cutOff.Load() }

// Reload updates the settings that may change while the process runs: the seeds, the
// source, and the grace period.
func (e *EntryHost) Reload(seeds []netip.Addr, source Source, grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Seeds, e.Source, e.Grace = seeds, source, grace
	e.election.Seeds = e.seedAddresses()
}

func (e *EntryHost) source() Source {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Source
}

func (e *EntryHost) grace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Grace
}

// Run forwards packets until the context is cancelled and the host is drained.
func (e *EntryHost) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.viewSender = e.newSender()
	e.dispatcher.OnSuspect, e.dispatcher.OnUnreachable = e.onSuspect, e.onUnreachable
	e.wake, e.becameReader = make(chan struct{}, 1), make(chan struct{}, 1)
	e.behind = make(chan gdflow.Address, 1)
	e.probes, e.verify = make(chan probeRequest, maxProbes), make(chan struct{}, 1)
	e.dispatcher.LinkBytesPerSecond, e.dispatcher.StartedAt, e.dispatcher.Domain = e.LinkBytesPerSecond, time.Now(), e.Domain
	e.pacer.BytesPerSecond, e.paced = pacedShare*e.LinkBytesPerSecond, make(chan struct{}, 1)
	e.initState()
	e.history.Repeats = changeRepeats
	e.metrics.init(e.Scope)
	e.dispatcher.OnResolved = e.metrics.lookupTime.RecordDuration
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return e.readCallers(work) })
	g.Go(func() error { return e.readAgents(work) })
	g.Go(func() error { e.follow(work); return nil })
	g.Go(func() error { return e.readBeacons(work) })
	g.Go(func() error { return e.serveUpdates(work) })
	g.Go(func() error { e.fetchUpdates(work); return nil })
	g.Go(func() error { e.runBeacons(work); return nil })
	g.Go(func() error { e.runProbes(work); return nil })
	g.Go(func() error { e.verifyViews(work); return nil })
	g.Go(func() error { e.tick(work); return nil })
	g.Go(func() error { e.sendPaced(work); return nil })
	g.Go(func() error {
		defer stop()
		e.drain(ctx, work)
		return gdsocket.Close(e.callers, e.hop, e.feed, e.updates)
	})
	return g.Wait()
}

func (e *EntryHost) listen() error {
	var err error
	if e.callers, err = gdsocket.Listen("callers", e.CallerAddress); err != nil {
		return err
	}
	if e.hop, err = gdsocket.Listen("agents", e.HopAddress); err != nil {
		return err
	}
	if e.feed, err = gdsocket.Listen("entry hosts", e.FeedAddress); err != nil {
		return err
	}
	if e.updates, err = net.Listen("tcp4", e.FeedAddress.String()); err != nil {
		return errors.Wrapf(err, "listen for entry hosts at %s", e.FeedAddress)
	}
	return nil
}

// drain waits until the context is cancelled, and then until no more packets arrive or
// the grace period is nearly over.
func (e *EntryHost) drain(ctx, work context.Context) {
	var quiet time.Duration
	passed, ok := gdshutdown.Drain{
		Grace: e.grace, PollInterval: quietPeriod / 5, Start: e.startDrain,
		Done: func(now time.Time, passed time.Duration) bool {
			quiet = passed // no packet has ever come
			if last := e.lastPacket.Load(); last != 0 {
				quiet = now.Sub(time.Unix(0, last))
			}
			return passed > minDrainTime && quiet > quietPeriod
		},
	}.Wait(ctx, work)
	if ok {
		e.Log.Event(gdlog.DrainEnded, "after", passed.String(), "quiet", quiet.String())
	}
}

func (e *EntryHost) startDrain() {
	e.leaving.Store(true)
	e.mu.Lock()
	e.election.Leave()
	flows := e.dispatcher.Flows()
	e.mu.Unlock()
	e.Log.Event(gdlog.DrainStarted, "flows", flows)
}

// onSuspect logs that an agent's host has stopped responding, or responds again. It is
// called with mu locked.
func (e *EntryHost) onSuspect(host gdflow.Address, suspect bool) {
	ev := gdlog.HostResponsive
	if suspect {
		ev = gdlog.HostUnresponsive
	}
	e.metrics.event(time.Now(), e.Log, ev, "host", host, "revision", e.state.Revision())
}
