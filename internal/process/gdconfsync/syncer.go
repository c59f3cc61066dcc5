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
	// heartbeat is the longest time between two rounds of the core's goroutine.
	heartbeat = 100 * time.Millisecond
	// PauseThreshold is the gap between two rounds that counts as a pause of the
	// process.
	PauseThreshold = time.Second

	// inboxSize bounds the events that wait for the core.
	inboxSize = 256
	// versionPace is the least time between two versions of messages that are
	// handed to the core. Thousands of packets may carry the same old version.
	versionPace = 5 * time.Millisecond
	// callQueue bounds the calls that wait for a worker.
	callQueue = 256
	// peerWorkers is the number of calls to peers at the same time.
	peerWorkers = 8
	// peerTimeout bounds one call to a peer.
	peerTimeout = 2 * time.Second
)

// Syncer keeps the configuration of one process in agreement with the fleet's.
// Set the exported fields before Run. Its methods are safe for concurrent use.
type Syncer struct {
	// Name is the process's name in the fleet.
	Name string
	// Seed is the seed of the core's random source.
	Seed uint64
	// Seeds are peers known from the process's settings.
	Seeds []gdsync.Member
	// ReadsPerSecond is the fleet's total rate of platform calls; zero means the
	// core's default.
	ReadsPerSecond float64
	// Platform is the platform to read.
	Platform Platform
	// Peers carries calls to other processes; nil means that there are none.
	Peers Peers
	// OnChange, if set, is told of each InForce and Rejected action by the core's
	// goroutine. It must not block.
	OnChange func(gdsync.Action)

	once          sync.Once
	core          *gdsync.Core
	inbox         chan event
	platforms     chan gdsync.Action
	peers         chan gdsync.Action
	now           atomic.Pointer[snapshot]
	dropped       atomic.Int64
	born          time.Time
	lastVersion   atomic.Int64 // nanoseconds since born
	pauses        atomic.Int64
	peerErrors    atomic.Int64
	lastPeerError atomic.Pointer[error]
}

// event is one thing for the core to take in.
type event func(now time.Time) []gdsync.Action

// snapshot is what other goroutines see of the core. It is immutable.
type snapshot struct {
	state *gdsync.State
	beat  time.Time
	may   bool
	stats gdsync.Status
}

func (s *Syncer) init() {
	s.once.Do(func() {
		s.core = &gdsync.Core{
			Self: s.Name, Rand: rand.New(rand.NewPCG(s.Seed, 0)),
			Seeds: s.Seeds, ReadsPerSecond: s.ReadsPerSecond,
		}
		s.born = time.Now().Add(-versionPace) // so that the first version passes
		s.inbox = make(chan event, inboxSize)
		s.platforms = make(chan gdsync.Action, callQueue)
		s.peers = make(chan gdsync.Action, callQueue)
	})
}

// Run works until the context ends and all its goroutines have returned.
func (s *Syncer) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.work(ctx, s.platforms) })
	for range peerWorkers {
		wg.Go(func() { s.work(ctx, s.peers) })
	}
	s.loop(ctx)
	wg.Wait()
}

// loop owns the core.
func (s *Syncer) loop(ctx context.Context) {
	last := time.Now()
	s.do(s.core.Start(last))
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
		s.round(now, now.Sub(last), e)
		last = now
	}
}

// round takes in one event and does what is due. A pause goes first, so that
// nothing is decided on the beliefs from before it.
func (s *Syncer) round(now time.Time, gap time.Duration, e event) {
	if gap >= PauseThreshold {
		s.pauses.Add(1)
		s.do(s.core.Resumed(now, gap))
	}
	if e != nil {
		s.do(e(now))
	}
	s.do(s.core.Tick(now))
	s.publish(now)
}

func (s *Syncer) untilNext(now time.Time) time.Duration {
	d := s.core.NextTick().Sub(now)
	return max(0, min(d, heartbeat))
}

func (s *Syncer) publish(now time.Time) {
	s.now.Store(&snapshot{
		state: s.core.State(), beat: now, may: s.core.MayDecide(now), stats: s.core.Status(now),
	})
}

// send puts an event into the inbox, or drops and counts it.
func (s *Syncer) send(e event) {
	s.init()
	select {
	case s.inbox <- e:
	default:
		s.dropped.Add(1)
	}
}

// wait puts an event into the inbox, as soon as there is room. What the platform
// answered must not be lost: its next answer may be that nothing is new.
func (s *Syncer) wait(ctx context.Context, e event) {
	select {
	case s.inbox <- e:
	case <-ctx.Done():
	}
}

// Pushed takes in an update that a peer sent unasked.
func (s *Syncer) HandleUpdate(from string, u gdsync.Update) {
	s.send(func(now time.Time) []gdsync.Action { return s.core.UpdateReceived(now, from, u) })
}

// PeerVersion takes in the version that a message from a peer carries. The peer
// is known by its name or its control address. It costs no allocation while the
// versions agree, and while they do not, only some are handed on.
func (s *Syncer) ObservePeerVersion(from string, v gdconf.Version) {
	if s.Version() == v {
		return
	}
	s.init()
	now, last := int64(time.Since(s.born)), s.lastVersion.Load()
	if now-last < int64(versionPace) || !s.lastVersion.CompareAndSwap(last, now) {
		return
	}
	s.send(func(now time.Time) []gdsync.Action { return s.core.VersionReceived(now, from, v) })
}

// Digested takes in a digest from a peer.
func (s *Syncer) HandleDigest(from gdsync.Member, v gdconf.Version) {
	if s.Version().Compare(v) >= 0 {
		return
	}
	s.send(func(now time.Time) []gdsync.Action { return s.core.DigestReceived(now, from, v) })
}

// Leased takes in a lease to read the platform that a peer told of.
func (s *Syncer) HandleLease(from string, l gdsync.Lease) {
	s.send(func(now time.Time) []gdsync.Action { return s.core.LeaseReceived(now, from, l) })
}

// Answer returns what a peer that has the version needs, and false when there
// is nothing newer here.
func (s *Syncer) UpdateSince(ctx context.Context, have gdconf.Version) (gdsync.Update, bool, error) {
	type reply struct {
		update gdsync.Update
		ok     bool
	}
	ch := make(chan reply, 1)
	s.send(func(time.Time) []gdsync.Action {
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
		return gdsync.Update{}, false, errors.Wrap(ctx.Err(), "answer a peer's fetch")
	}
}

// View returns the configuration in force, nil before there is one.
func (s *Syncer) View() *gdconf.View {
	p := s.now.Load()
	if p == nil || p.state == nil {
		return nil
	}
	return p.state.View()
}

// Version returns the version in force, zero before there is one.
func (s *Syncer) Version() gdconf.Version {
	p := s.now.Load()
	if p == nil {
		return gdconf.Version{}
	}
	return p.state.Version()
}

// Ready reports whether a configuration is in force.
func (s *Syncer) Ready() bool { return s.View() != nil }

// MayDecide reports whether the process may decide by its configuration now. It
// is false before there is one, and after a pause until a peer has confirmed
// the version or the bounded wait for that is over.
func (s *Syncer) MayDecide(now time.Time) bool {
	p := s.now.Load()
	return p != nil && p.may && now.Sub(p.beat) < PauseThreshold
}
