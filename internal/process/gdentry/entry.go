// Package gdentry runs an entry host: it takes the callers' packets and sends each
// to the agent beside the upstream of its flow.
//
// # Usage
//
//	e := &gdentry.Entry{
//		Callers: callers, Hop: hop, Codec: codec, Source: store,
//		Log: log, Scope: scope, Grace: 6 * time.Second,
//	}
//	err := e.Run(ctx)
//
// Run returns some time after the context has ended: the routers notice only then
// that the host leaves, and what they still send is forwarded.
//
// One goroutine reads each socket, one follows the source, one looks after the
// searches' time limits. They share the core under a lock.
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
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdshutdown"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
)

const (
	// noticeTime is how long routers may take to notice that a host leaves: two
	// probes of twice a second, and one more for good measure.
	noticeTime = 1500 * time.Millisecond
	// quietTime is how long no packet comes before a leaving host ends.
	quietTime = 500 * time.Millisecond
	// tickTime is the shortest time between two looks at the searches.
	tickTime = 5 * time.Millisecond
)

// Codec reads and writes the callers' packets.
type Codec interface {
	// FromCaller decodes a packet that a caller sent.
	FromCaller(b []byte) (gdflow.Packet, error)
	// ClearReserved clears what a caller has no say in.
	ClearReserved(b []byte)
	// AppendReset appends a packet that ends the flow at the caller.
	AppendReset(b []byte, k gdflow.Key, seq uint32) []byte
}

// EntryHost is an entry host's process. Its exported fields are set before Run.
type EntryHost struct {
	// CallerAddress is where the callers' packets arrive; the callers take theirs at the
	// same port.
	CallerAddress netip.AddrPort
	// HopAddress is where agents' messages arrive; agents take theirs at the same port.
	HopAddress netip.AddrPort
	// FeedAddress is where other entry hosts' beacons arrive, and where they fetch updates;
	// they have the same port.
	FeedAddress netip.AddrPort
	// Seeds are entry hosts that may know others.
	Seeds []netip.Addr
	// Rank orders the hosts that may read the source, the lowest first.
	Rank uint32
	// Codec reads and writes packets.
	Codec Codec
	// Source has the state of the deployment.
	Source Source
	Log    gdlog.Logger
	Scope  tally.Scope
	// Grace is how long the process may go on after the context has ended.
	Grace time.Duration

	mu       sync.Mutex
	core     gddispatch.Dispatcher
	book     gddiscovery.State
	peers    gdreaders.Election
	history  []revisionAt
	wake     chan struct{}
	turn     chan struct{}
	behind   chan gdflow.Address
	feed     *net.UDPConn
	updates  net.Listener
	callers  *net.UDPConn
	hop      *net.UDPConn
	views    *sender      // of what a new view brings about; used with the lock held
	lastSeen atomic.Int64 // Unix nanoseconds of the last caller's packet
	leaving  atomic.Bool
	ready    atomic.Bool
	cutOff   atomic.Bool
	seen     counters
}

// Ready reports whether the routers may send packets: the host knows the deployment,
// reaches agents, and does not shut down.
func (e *EntryHost) Ready() bool { return e.ready.Load() && !e.leaving.Load() && !e.cutOff.Load() }

// Reload takes over what may change while the process runs: the seeds, the source,
// and the grace period.
func (e *EntryHost) Reload(seeds []netip.Addr, source Source, grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Seeds, e.Source, e.Grace = seeds, source, grace
	e.peers.Seeds = e.seedAddresses()
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

// Run forwards packets until some time after the context has ended.
func (e *EntryHost) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.views = e.newSender()
	e.core.OnSuspect = e.suspected
	e.wake, e.turn = make(chan struct{}, 1), make(chan struct{}, 1)
	e.behind = make(chan gdflow.Address, 1)
	e.joinPeers()
	e.seen.init(e.Scope)
	e.core.OnResolved = e.seen.settleTime.RecordDuration
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return e.readCallers(work) })
	g.Go(func() error { return e.readAgents(work) })
	g.Go(func() error { e.follow(work); return nil })
	g.Go(func() error { return e.hearPeers(work) })
	g.Go(func() error { return e.serveUpdates(work) })
	g.Go(func() error { e.fetchUpdates(work); return nil })
	g.Go(func() error { e.beat(work); return nil })
	g.Go(func() error { e.tick(work); return nil })
	g.Go(func() error {
		defer stop()
		e.leave(ctx, work)
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

// leave waits for the end of the context, and then until no more packets come or
// the grace period is nearly over.
func (e *EntryHost) leave(ctx, work context.Context) {
	var quiet time.Duration
	passed, ok := gdshutdown.Drain{
		Grace: e.grace, PollInterval: quietTime / 5, Start: e.beginLeaving,
		Done: func(now time.Time, passed time.Duration) bool {
			quiet = now.Sub(time.Unix(0, e.lastSeen.Load()))
			return passed > noticeTime && quiet > quietTime
		},
	}.Wait(ctx, work)
	if ok {
		e.Log.Event(gdlog.DrainEnded, "after", passed.String(), "quiet", quiet.String())
	}
}

func (e *EntryHost) beginLeaving() {
	e.leaving.Store(true)
	e.mu.Lock()
	e.peers.Leave()
	flows := e.core.Flows()
	e.mu.Unlock()
	e.Log.Event(gdlog.DrainStarted, "flows", flows)
}

// suspected notes that an agent's host has stopped answering, or answers again. The
// lock is held.
func (e *EntryHost) suspected(host gdflow.Address, suspect bool) {
	ev := gdlog.HostResponsive
	if suspect {
		ev = gdlog.HostUnresponsive
	}
	e.seen.event(time.Now(), e.Log, ev, "host", host, "revision", e.book.Revision())
}
