package gdconfsync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

func deployment(revision uint64) config.Deployment {
	return config.Deployment{
		Name: "rejilla-norte", Revision: revision,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
		Domains:   []config.Domain{{Name: "bilbao"}},
		Services: []config.Service{{
			Name: "booking", ID: 1, Address: "192.0.2.10:443", Priority: 1,
			Upstreams: []config.Upstream{
				{Name: "booking-1", ID: 101, Domain: "bilbao", Agent: "192.0.2.21:7000", Slots: 3},
				{Name: "booking-2", ID: 102, Domain: "bilbao", Agent: "192.0.2.22:7000", Slots: 3},
			},
		}},
	}
}

// fakePlatform serves one deployment, or fails while there is none.
type fakePlatform struct {
	current atomic.Pointer[config.Deployment]
}

func (p *fakePlatform) publish(d config.Deployment) { p.current.Store(&d) }

func (p *fakePlatform) ReadValue(_ context.Context, key string) (gdplatform.Value, error) {
	d := p.current.Load()
	if d == nil {
		return gdplatform.Value{}, errors.New("read value: platform down")
	}
	values, err := config.Split(*d)
	for _, v := range values {
		if v.Key() == key {
			return gdplatform.NewValue(v.Data()), err
		}
	}
	return gdplatform.Value{}, err
}

func (p *fakePlatform) Hosts(context.Context) ([]gdplatform.Host, error) {
	if p.current.Load() == nil {
		return nil, errors.New("read hosts: platform down")
	}
	return nil, nil
}

// fakePeers connects syncers in one process. Each call is delayed.
type fakePeers struct {
	self   string
	fleet  map[string]*Syncer
	delay  time.Duration
	silent atomic.Bool
}

func (p *fakePeers) call(ctx context.Context, to gdsync.Member) (*Syncer, error) {
	if p.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(p.delay)
	return p.fleet[to.Name()], nil
}

func (p *fakePeers) Push(ctx context.Context, to gdsync.Member, u gdsync.Update) error {
	s, err := p.call(ctx, to)
	if err == nil {
		s.HandleUpdate(p.self, u)
	}
	return err
}

func (p *fakePeers) Fetch(ctx context.Context, from gdsync.Member, have gdconf.Version) (gdsync.Update, bool, error) {
	s, err := p.call(ctx, from)
	if err != nil {
		return gdsync.Update{}, false, err
	}
	return s.UpdateSince(ctx, have)
}

func (p *fakePeers) Announce(ctx context.Context, to gdsync.Member, l gdsync.Lease) error {
	s, err := p.call(ctx, to)
	if err == nil {
		s.HandleLease(p.self, l)
	}
	return err
}

func (p *fakePeers) ExchangeDigest(ctx context.Context, to gdsync.Member, v gdconf.Version) (gdconf.Version, error) {
	s, err := p.call(ctx, to)
	if err != nil {
		return gdconf.Version{}, err
	}
	s.HandleDigest(gdsync.NewMember(p.self, ""), v)
	return s.Version(), nil
}

// pair runs two syncers inside the synctest bubble until the test ends.
func pair(t *testing.T, platforms [2]Platform) (a, b *Syncer, peers *fakePeers) {
	fleet := map[string]*Syncer{}
	var list [2]*Syncer
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for i, name := range []string{"booking-1", "booking-2"} {
		p := &fakePeers{self: name, fleet: fleet, delay: 100 * time.Millisecond}
		if i == 0 {
			peers = p
		}
		seeds := []gdsync.Member{gdsync.NewMember("booking-1", "192.0.2.21:7000"), gdsync.NewMember("booking-2", "192.0.2.22:7000")}
		list[i] = &Syncer{Name: name, Seed: uint64(i), Platform: platforms[i], Peers: p, Seeds: seeds}
		fleet[name] = list[i]
	}
	for _, s := range list {
		wg.Go(func() { s.Run(ctx) })
	}
	return list[0], list[1], peers
}

func TestProcessWithoutPlatformLearnsFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up, down := &fakePlatform{}, &fakePlatform{}
		up.publish(deployment(1))
		a, b, _ := pair(t, [2]Platform{up, down})
		time.Sleep(3 * time.Second)
		require.True(t, a.MayDecide(time.Now()))
		require.Equal(t, a.Version(), b.Version())
		up.publish(deployment(2))
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 2, b.Version().Revision())
		require.EqualValues(t, 2, b.Status().Revision)
		require.Contains(t, b.Status().PlatformError, "platform down")
	})
}

// block blocks the core's goroutine, as a pause of the process does.
func block(s *Syncer, d time.Duration) {
	s.tryPost(func(time.Time) []gdsync.Action {
		time.Sleep(d)
		return nil
	})
}

func TestPausedProcessConfirmsBeforeItDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakePlatform{}
		up.publish(deployment(1))
		a, b, peers := pair(t, [2]Platform{&fakePlatform{}, up})
		time.Sleep(3 * time.Second)
		require.True(t, a.MayDecide(time.Now()))

		peers.silent.Store(true)
		block(a, 4*time.Second)
		up.publish(deployment(2))
		time.Sleep(PauseThreshold + heartbeatInterval)
		require.False(t, a.MayDecide(time.Now()), "during the pause")
		time.Sleep(4*time.Second - PauseThreshold)
		require.EqualValues(t, 2, b.Version().Revision())
		require.False(t, a.MayDecide(time.Now()), "after the pause, before a peer has responded")
		require.EqualValues(t, 1, a.Status().Pauses)
		time.Sleep(gdsync.DefaultConfirmTimeout)
		require.True(t, a.MayDecide(time.Now()), "the wait for a peer is bounded")

		peers.silent.Store(false)
		time.Sleep(3 * time.Second)
		block(a, 4*time.Second)
		time.Sleep(4*time.Second + heartbeatInterval/2) // detected at the next heartbeat at the latest
		require.False(t, a.MayDecide(time.Now()))
		time.Sleep(peers.delay + heartbeatInterval)
		require.True(t, a.MayDecide(time.Now()), "a peer has confirmed")
		require.EqualValues(t, 2, a.Version().Revision())
	})
}

func TestPacketsWithAnotherVersionLeaveRoomInTheInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Syncer{Name: "booking-1", Platform: &fakePlatform{}}
		for range 10 * inboxSize {
			s.ObservePeerVersion("booking-2", gdconf.NewVersion(1, 1))
		}
		require.Len(t, s.inbox, 1)
		time.Sleep(versionInterval)
		s.ObservePeerVersion("booking-2", gdconf.NewVersion(1, 1))
		require.Len(t, s.inbox, 2)
		require.Zero(t, s.Status().Dropped)
	})
}

func TestFullInboxDropsAndCounts(t *testing.T) {
	s := &Syncer{Name: "booking-1", Platform: &fakePlatform{}}
	for range inboxSize + 3 {
		s.HandleUpdate("booking-2", gdsync.Update{})
	}
	require.EqualValues(t, 3, s.Status().Dropped)
}
