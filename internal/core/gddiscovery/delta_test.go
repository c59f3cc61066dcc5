package gddiscovery_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// changedConfig returns the configuration with some routes added, removed and changed.
func changedConfig(rnd *rand.Rand, c gddiscovery.Change, revision gddiscovery.Revision) gddiscovery.Change {
	old := c.Config
	next := &gddiscovery.Config{Version: old.Version + 1 + rnd.Uint64N(3), Services: old.Services, IdleTimeout: old.IdleTimeout}
	for _, r := range old.Routes {
		switch rnd.IntN(20) {
		case 0:
			continue
		case 1:
			r.Timeout += time.Millisecond
		}
		next.Routes = append(next.Routes, r)
	}
	for range rnd.IntN(3) {
		n := rnd.IntN(1 << 16)
		a := gdflow.AddressFrom([4]byte{198, 18, byte(n >> 8), byte(n)}, 443)
		next.Routes = append(next.Routes, gddiscovery.Route{
			Name: fmt.Sprint("r", n), Address: a, Timeout: time.Second, Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}},
		})
	}
	return gddiscovery.Change{Subject: c.Subject, Revision: revision, Config: next}
}

func manyRoutes(revision gddiscovery.Revision) gddiscovery.Change {
	c := config(revision, 1)
	for i := range 120 {
		a := gdflow.AddressFrom([4]byte{198, 19, 0, byte(i)}, 443)
		c.Config.Routes = append(c.Config.Routes, gddiscovery.Route{Name: fmt.Sprint("idle", i), Address: a, Timeout: time.Second})
	}
	return c
}

// TestConfigurationTravelsAsItsDifferences plays a series of configurations. Followers
// that have missed different ones get each update as a delta, and have the same routes as
// the sender afterwards.
func TestConfigurationTravelsAsItsDifferences(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	first := manyRoutes(10)
	sender := loaded(t, first)
	followers := []*gddiscovery.State{loaded(t, first), loaded(t, first), loaded(t, first)}
	c := first
	for revision := gddiscovery.Revision(11); revision < 200; revision++ {
		c = changedConfig(rnd, c, revision)
		require.True(t, sender.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{c}, Revision: revision, EachChange: true}))
		for i, f := range followers {
			if rnd.IntN(i+1) > 0 {
				continue // the follower misses this one
			}
			u := sender.ChangesSince(start, f.Revision())
			require.Len(t, u.Changes, 1)
			if f.Revision()+4 > revision {
				require.NotNil(t, u.Changes[0].Delta, "revision %d after %d", revision, f.Revision())
				require.Less(t, len(u.Changes[0].Delta.Routes), 60)
			}
			require.True(t, f.Apply(start, u))
			require.Equal(t, revision, f.Revision())
			requireSameRoutes(t, sender.View(), f.View(), c.Config)
		}
	}
}

func requireSameRoutes(t *testing.T, want, got *gddiscovery.View, c *gddiscovery.Config) {
	t.Helper()
	require.Equal(t, want.Version(), got.Version())
	require.Equal(t, want.Routes(), got.Routes())
	for _, r := range c.Routes {
		w, _ := want.Route(r.Address)
		g, ok := got.Route(r.Address)
		require.True(t, ok)
		require.Equal(t, w, g)
	}
}

// TestDeltaOfAnotherHistoryIsNotApplied: the sender missed a configuration that the
// follower has, in which a route came and another one went for a while. The update must
// not apply, and not advance the follower's revision either: a host never acts on a
// configuration that nobody has set. The full state then applies.
func TestDeltaOfAnotherHistoryIsNotApplied(t *testing.T) {
	first := manyRoutes(10)
	sender, follower := loaded(t, first), loaded(t, first)
	between, last := first, first
	between.Revision, last.Revision = 11, 12
	a, b := *first.Config, *first.Config
	a.Version, b.Version = 2, 3
	guest := gddiscovery.Route{Name: "guest", Address: gdflow.AddressFrom([4]byte{198, 18, 9, 9}, 443)}
	a.Routes = append(append([]gddiscovery.Route{}, first.Config.Routes[2:]...), guest, guest)
	between.Config, last.Config = &a, &b
	require.True(t, follower.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{between}, Revision: 11}))
	require.True(t, sender.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{last}, Revision: 12, EachChange: true}))
	u := sender.ChangesSince(start, follower.Revision())
	require.NotNil(t, u.Changes[0].Delta)
	require.False(t, follower.Apply(start, u))
	require.EqualValues(t, 11, follower.Revision())
	require.EqualValues(t, 2, follower.View().Version())
	full := sender.ChangesSince(start, 0)
	require.True(t, full.Full)
	require.True(t, follower.Load(start, full))
	requireSameRoutes(t, sender.View(), follower.View(), &b)
}

// TestFullStateHasWholeConfiguration: a host that knows nothing can't apply a delta.
func TestFullStateHasWholeConfiguration(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	first := manyRoutes(10)
	s := loaded(t, first)
	next := changedConfig(rnd, first, 11)
	require.True(t, s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{next}, Revision: 11, EachChange: true}))
	require.NotNil(t, s.ChangesSince(start, 0).Changes[0].Config)
	require.NotNil(t, s.ChangesSince(start, 10).Changes[0].Delta)
}
