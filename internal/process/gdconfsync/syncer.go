package gdconfsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
)

const (
	// heartbeatInterval is the maximum time between two steps of the core's goroutine.
	heartbeatInterval = 100 * time.Millisecond
	// PauseThreshold is the time between two steps from which on the process counts
	// as paused.
	PauseThreshold = time.Second

	// inboxSize is the maximum number of events that wait for the core.
	inboxSize = 256
	// versionInterval is the minimum time between two versions of messages that are
	// passed to the core. Thousands of packets may carry the same old version.
	versionInterval = 5 * time.Millisecond
	// callQueueSize is the maximum number of calls that wait for a worker.
	callQueueSize = 256
	// peerWorkers is the number of concurrent calls to peers.
	peerWorkers = 8
	// peerTimeout bounds one call to a peer.
	peerTimeout = 2 * time.Second
)

// Syncer keeps the configuration of one process in agreement with the fleet's.
// Set the exported fields before Run. Its methods are safe for concurrent use.
type Syncer struct {
	// Name is the name of the process in the fleet.
	Name string
	// Seed is the seed of the core's random source.
	Seed uint64
	// Seeds are the peers in the settings of the process.
	Seeds []gdsync.Member
	// ReadsPerSecond is the fleet's total rate of platform calls. Zero means the
	// default of the core.
	ReadsPerSecond float64
	// Platform reads from the platform.
	Platform Platform
	// Peers calls other processes. Nil means that there are none.
	Peers Peers
	// OnChange, if set, is called with each Activated and Rejected action in the
	// core's goroutine. It must not block.
	OnChange func(gdsync.Action)

	once          sync.Once
	core          *gdsync.Core
	inbox         chan event
	platformCalls chan gdsync.Action
	peerCalls     chan gdsync.Action
	current       atomic.Pointer[snapshot]
	dropped       atomic.Int64
	started       time.Time
	lastVersion   atomic.Int64 // nanoseconds since started
	pauses        atomic.Int64
	peerErrors    atomic.Int64
	lastPeerError atomic.Pointer[error]
}

// event calls the core and returns its actions.
type event func(now time.Time) []gdsync.Action

// snapshot is the state of the core for other goroutines. It is immutable.
type snapshot struct {
	state     *gdsync.State
	heartbeat time.Time
	mayDecide bool
	status    gdsync.Status
}

func (s *Syncer) init() {
	s.once.Do(func() {
		s.core = &gdsync.Core{
			Self: s.Name, Rand: rand.New(rand.NewPCG(s.Seed, 0)),
			Seeds: s.Seeds, ReadsPerSecond: s.ReadsPerSecond,
		}
		s.started = time.Now().Add(-versionInterval) // accepts the first version at once
		s.inbox = make(chan event, inboxSize)
		s.platformCalls = make(chan gdsync.Action, callQueueSize)
		s.peerCalls = make(chan gdsync.Action, callQueueSize)
	})
}

// Run runs until the context ends and all its goroutines have returned.
func (s *Syncer) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.runCalls(ctx, s.platformCalls) })
	for range peerWorkers {
		wg.Go(func() { s.runCalls(ctx, s.peerCalls) })
	}
	s.loop(ctx)
	wg.Wait()
}

// loop owns the core.
func (s *Syncer) loop(ctx context.Context) {
	last := time.Now()
	s.dispatch(s.core.Start(last))
	s.publish(last)
	for {
		timer := time.NewTimer(s.untilNext(time.Now()))
		var e event
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case e = <-s.inbox:
			timer.Stop()
		case <-timer.C:
		}
		now := time.Now()
		s.step(now, now.Sub(last), e)
		last = now
	}
}

// step handles an event and what is due at the current time. A pause is handled
// first, so that nothing is decided on the state from before it.
func (s *Syncer) step(now time.Time, gap time.Duration, e event) {
	if gap >= PauseThreshold {
		s.pauses.Add(1)
		s.dispatch(s.core.Resumed(now, gap))
	}
	if e != nil {
		s.dispatch(e(now))
	}
	s.dispatch(s.core.Tick(now))
	s.publish(now)
}

func (s *Syncer) untilNext(now time.Time) time.Duration {
	d := s.core.NextTick().Sub(now)
	return max(0, min(d, heartbeatInterval))
}

func (s *Syncer) publish(now time.Time) {
	s.current.Store(&snapshot{
		state: s.core.State(), heartbeat: now, mayDecide: s.core.MayDecide(now), status: s.core.Status(now),
	})
}

// tryPost puts an event into the inbox, or drops and counts it.
func (s *Syncer) tryPost(e event) {
	s.init()
	select {
	case s.inbox <- e:
	default:
		s.dropped.Add(1)
	}
}

// post puts an event into the inbox and waits while it is full. Responses of the
// platform must not be lost, because the next one may say that nothing has changed.
func (s *Syncer) post(ctx context.Context, e event) {
	select {
	case s.inbox <- e:
	case <-ctx.Done():
	}
}

// HandleUpdate handles an update that a peer has pushed.
func (s *Syncer) HandleUpdate(from string, u gdsync.Update) {
	s.tryPost(func(now time.Time) []gdsync.Action { return s.core.UpdateReceived(now, from, u) })
}

// ObservePeerVersion handles the version in a message from a peer, which is given by
// its name or its control address. It does not allocate while the versions agree. If
// they differ, the rate at which versions are passed to the core is limited.
func (s *Syncer) ObservePeerVersion(from string, v gdconf.Version) {
	if s.Version() == v {
		return
	}
	s.init()
	now, last := int64(time.Since(s.started)), s.lastVersion.Load()
	if now-last < int64(versionInterval) || !s.lastVersion.CompareAndSwap(last, now) {
		return
	}
	s.tryPost(func(now time.Time) []gdsync.Action { return s.core.VersionReceived(now, from, v) })
}

// HandleDigest handles a digest from a peer.
func (s *Syncer) HandleDigest(from gdsync.Member, v gdconf.Version) {
	if s.Version().Compare(v) >= 0 {
		return
	}
	s.tryPost(func(now time.Time) []gdsync.Action { return s.core.DigestReceived(now, from, v) })
}

// HandleLease handles a lease to read the platform that a peer has announced.
func (s *Syncer) HandleLease(from string, l gdsync.Lease) {
	s.tryPost(func(now time.Time) []gdsync.Action { return s.core.LeaseReceived(now, from, l) })
}

// UpdateSince returns an update for a peer that has the given version, and false if
// this process has no newer one.
func (s *Syncer) UpdateSince(ctx context.Context, have gdconf.Version) (gdsync.Update, bool, error) {
	type reply struct {
		update gdsync.Update
		ok     bool
	}
	ch := make(chan reply, 1)
	s.tryPost(func(time.Time) []gdsync.Action {
		u, ok := s.core.UpdateSince(have)
		ch <- reply{update: u, ok: ok}
		return nil
	})
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	select {
	case r := <-ch:
		return r.update, r.ok, nil
	case <-ctx.Done():
		return gdsync.Update{}, false, errors.Wrap(ctx.Err(), "prepare update for a peer")
	}
}

// View returns the active configuration, or nil before there is one.
func (s *Syncer) View() *gdconf.View {
	p := s.current.Load()
	if p == nil || p.state == nil {
		return nil
	}
	return p.state.View()
}

// Version returns the active version, or the zero version before there is one.
func (s *Syncer) Version() gdconf.Version {
	p := s.current.Load()
	if p == nil {
		return gdconf.Version{}
	}
	return p.state.Version()
}

// Ready reports whether a configuration is active.
func (s *Syncer) Ready() bool { return s.View() != nil }

// MayDecide reports whether the process may act on its configuration. It returns
// false before there is one, and after a pause until a peer has confirmed the version
// or the wait for the confirmation has timed out.
func (s *Syncer) MayDecide(now time.Time) bool {
	p := s.current.Load()
	return p != nil && p.mayDecide && now.Sub(p.heartbeat) < PauseThreshold
}
