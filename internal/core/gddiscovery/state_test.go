package gddiscovery_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

var (
	start   = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	service = gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443)
)

func at(i int) gdflow.Address { return gdflow.AddressFrom([4]byte{10, 0, 0, byte(i)}, 8080) }

func config(revision gddiscovery.Revision, version uint64) gddiscovery.Change {
	return gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Configuration}, Revision: revision,
		Config: &gddiscovery.Config{
			Version: version,
			Routes: []gddiscovery.Route{{
				Name: "r", Address: service,
				Shares: []gddiscovery.Share{{Service: "booking", Weight: 9}, {Service: "gallery", Weight: 1}},
			}},
			Services: []gddiscovery.Service{{Name: "booking"}, {Name: "gallery"}},
		},
	}
}

func upstream(revision gddiscovery.Revision, id string, change func(*gddiscovery.Upstream)) gddiscovery.Change {
	u := &gddiscovery.Upstream{ID: id, Service: "booking", Domain: "a", Address: at(1), Slots: 3}
	if change != nil {
		change(u)
	}
	return gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: id}, Revision: revision, Upstream: u,
	}
}

func removal(revision gddiscovery.Revision, id string) gddiscovery.Change {
	return gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: id}, Revision: revision, Removed: true,
	}
}

func evacuation(revision gddiscovery.Revision, domain string, removed bool) gddiscovery.Change {
	return gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Evacuation, Name: domain}, Revision: revision, Removed: removed,
	}
}

func loaded(t *testing.T, changes ...gddiscovery.Change) *gddiscovery.State {
	t.Helper()
	s := &gddiscovery.State{}
	require.True(t, s.Load(start, gddiscovery.Update{Changes: changes, Revision: 10}))
	return s
}

func member(t *testing.T, s *gddiscovery.State, a gdflow.Address) *gddiscovery.Member {
	t.Helper()
	for _, m := range s.View().Upstreams() {
		if m.Address() == a {
			return m
		}
	}
	return nil
}

func TestUpdateBeforeFullStateIsIgnored(t *testing.T) {
	var s gddiscovery.State
	require.False(t, s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{config(3, 1)}, Revision: 3}))
	require.Nil(t, s.View())
}

func TestOlderChangesAreIgnored(t *testing.T) {
	s := loaded(t, config(5, 7), upstream(6, "u1", func(u *gddiscovery.Upstream) { u.Draining = true }))
	older := gddiscovery.Update{Revision: 4, Changes: []gddiscovery.Change{config(2, 3), upstream(3, "u1", nil)}}
	require.False(t, s.Apply(start, older))
	require.False(t, s.Load(start, older), "a stale read of the full state")
	require.Equal(t, uint64(7), s.View().Version())
	require.False(t, member(t, s, at(1)).AcceptsNew(start))
	require.Equal(t, gddiscovery.Revision(10), s.Revision())
}

// TestOrderDoesNotMatter: changes result in the same view, in whatever order and however
// often they arrive, from the store or from peers.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var changes []gddiscovery.Change
		for rev := gddiscovery.Revision(11); rev < 31; rev++ {
			id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(rt, "id")
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				changes = append(changes, removal(rev, id))
			case 1:
				changes = append(changes, config(rev, uint64(rev)))
			case 2:
				changes = append(changes, evacuation(rev, "a", rapid.Bool().Draw(rt, "gone")))
			default:
				n := int(id[1] - '0')
				changes = append(changes, upstream(rev, id, func(u *gddiscovery.Upstream) {
					u.Address, u.Slots = at(n), int(rev)
				}))
			}
		}
		inOrder := loaded(t, config(1, 1))
		inOrder.Apply(start, gddiscovery.Update{Changes: changes, Revision: 31})
		shuffled := loaded(t, config(1, 1))
		for _, i := range rapid.Permutation(indices(len(changes))).Draw(rt, "order") {
			shuffled.Apply(start, gddiscovery.Update{Changes: changes[i : i+1], Revision: changes[i].Revision})
			shuffled.Apply(start, gddiscovery.Update{Changes: changes[:i], Revision: changes[i].Revision})
		}
		require.Equal(rt, inOrder.View().Version(), shuffled.View().Version())
		require.Equal(rt, inOrder.View().DomainsOut(), shuffled.View().DomainsOut())
		for i := range 4 {
			x, y := member(t, inOrder, at(i)), member(t, shuffled, at(i))
			require.Equal(rt, x != nil && x.AcceptsNew(start), y != nil && y.AcceptsNew(start))
			if x != nil && x.AcceptsNew(start) {
				require.Equal(rt, x.Upstream().Slots, y.Upstream().Slots)
			}
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestExpiredRegistrationHasGracePeriod: a registration that expired while the store
// was down is used for two more seconds, in which a running upstream registers again.
func TestExpiredRegistrationHasGracePeriod(t *testing.T) {
	tests := []struct {
		name        string
		unconfirmed time.Duration // since the last confirmation
		after       time.Duration
		want        bool
	}{
		{"removed while the store responds", time.Second, 0, false},
		{"expired, at once", 5 * time.Second, 0, true},
		{"expired, within the grace period", 5 * time.Second, 1900 * time.Millisecond, true},
		{"expired, after the grace period", 5 * time.Second, 2100 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loaded(t, config(5, 7), upstream(6, "u1", nil))
			now := start.Add(tt.unconfirmed)
			require.True(t, s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{config(5, 7)}, Revision: 12}))
			require.Equal(t, tt.want, member(t, s, at(1)).AcceptsNew(now.Add(tt.after)))
		})
	}
}

// TestRemovedUpstreamIsStillKnown: its flows may continue, up to the maximum duration
// of a flow.
func TestRemovedUpstreamIsStillKnown(t *testing.T) {
	s := loaded(t, config(5, 7), upstream(6, "u1", nil))
	require.True(t, s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{removal(11, "u1")}, Revision: 11}))
	require.NotNil(t, member(t, s, at(1)))
	require.False(t, member(t, s, at(1)).AcceptsNew(start))
	s.Apply(start.Add(61*time.Second), gddiscovery.Update{Revision: 12})
	require.Nil(t, member(t, s, at(1)))
}

// TestMaximumFlowAgeIsASetting: a removed upstream is known, and a host that has missed
// configurations distrusts its history of routes, for as long as flows may be open.
func TestMaximumFlowAgeIsASetting(t *testing.T) {
	const age, configDelay = 2 * time.Minute, 15 * time.Second
	s := &gddiscovery.State{MaxFlowAge: age}
	require.Equal(t, age, s.Age(start))
	s.Load(start, gddiscovery.Update{Changes: []gddiscovery.Change{config(5, 7), upstream(6, "u1", nil)}, Revision: 10})
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{removal(11, "u1")}, Revision: 11})
	require.False(t, s.View().KnowsFormerRoutes(start.Add(age+configDelay-time.Second)))
	require.True(t, s.View().KnowsFormerRoutes(start.Add(age+configDelay)))
	s.Apply(start.Add(age-time.Second), gddiscovery.Update{Revision: 12})
	require.NotNil(t, member(t, s, at(1)))
	s.Apply(start.Add(age+time.Second), gddiscovery.Update{Revision: 13})
	require.Nil(t, member(t, s, at(1)))
}

// TestReusedAddressBelongsToLatestUpstream: the upstream that used an address last is
// the one in the view.
func TestReusedAddressBelongsToLatestUpstream(t *testing.T) {
	gallery := func(u *gddiscovery.Upstream) { u.Service = "gallery" }
	tests := []struct {
		name    string
		changes []gddiscovery.Change
	}{
		{"after the old one was removed", []gddiscovery.Change{upstream(6, "u1", nil), removal(7, "u1"), upstream(8, "u2", gallery)}},
		{"before the old one's registration expired", []gddiscovery.Change{upstream(6, "u1", nil), upstream(8, "u2", gallery)}},
		{"the old one's registration was written later", []gddiscovery.Change{
			upstream(9, "u1", func(u *gddiscovery.Upstream) { u.StartUnixMilli = 1000 }),
			upstream(8, "u2", func(u *gddiscovery.Upstream) { u.Service, u.StartUnixMilli = "gallery", 2000 }),
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loaded(t, append(tt.changes, config(5, 7))...)
			require.Equal(t, "gallery", member(t, s, at(1)).Upstream().Service)
			p, _ := s.View().Pool("booking")
			require.Empty(t, p.Members())
		})
	}
}

// TestForeignRegistrationHidesNoUpstream guards against flows that are reset because an entry of
// another writer took the place of their upstream's registration. Its service is not
// configured, so it names no upstream, and the one that is registered at its address still runs.
func TestForeignRegistrationHidesNoUpstream(t *testing.T) {
	parcels := func(u *gddiscovery.Upstream) { u.Service = "parcels" }
	for _, tt := range []struct {
		name    string
		own     func(*gddiscovery.Upstream)
		foreign gddiscovery.Change
		removed bool
		ignored int
	}{
		{"at the address", nil, upstream(8, "other", parcels), false, 1},
		{"started later", func(u *gddiscovery.Upstream) { u.StartUnixMilli = 1000 }, upstream(8, "other", func(u *gddiscovery.Upstream) {
			u.Service, u.StartUnixMilli = "parcels", 2000
		}), false, 1},
		{"without a service", nil, upstream(8, "other", func(u *gddiscovery.Upstream) { u.Service = "" }), false, 1},
		{"at another port of the host", nil, upstream(8, "other", func(u *gddiscovery.Upstream) {
			u.Service, u.Address = "parcels", at(1).WithPort(9090)
		}), false, 1},
		{"under the upstream's ID", nil, upstream(8, "u1", parcels), true, 0},
		{"under the upstream's ID, at another address", nil, upstream(8, "u1", func(u *gddiscovery.Upstream) {
			u.Service, u.Address = "parcels", at(2)
		}), true, 0},
		{"of the same service, without a start time", func(u *gddiscovery.Upstream) { u.StartUnixMilli = 1000 }, upstream(8, "other", nil), false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, first := range []bool{false, true} {
				own := upstream(6, "u1", tt.own)
				if first {
					own.Revision = 9
				}
				s := loaded(t, config(5, 7), own)
				s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{tt.foreign}, Revision: 11})
				require.Len(t, s.View().Upstreams(), 1)
				require.Equal(t, tt.ignored, s.View().Ignored())
				m := member(t, s, at(1))
				require.Equal(t, *own.Upstream, m.Upstream())
				_, removed := m.Removed()
				require.Equal(t, tt.removed && !first, removed)
				p, _ := s.View().Pool("booking")
				require.Equal(t, []*gddiscovery.Member{m}, p.Members())
			}
		})
	}
}

// TestRegistrationsUnderOneID: the services that were registered under an ID one after the other,
// and which upstreams of it may still run. A route names ledger, which is not among the services.
func TestRegistrationsUnderOneID(t *testing.T) {
	for _, tt := range []struct {
		services, displaced []string
		latest              string
	}{
		{[]string{"booking", "gallery"}, []string{"booking"}, "gallery"},
		{[]string{"ledger", "gallery"}, []string{"ledger"}, "gallery"},
		{[]string{"booking", "gallery", "booking"}, nil, "booking"},
		{[]string{"parcels", "booking"}, nil, "booking"},
		{[]string{"booking", "parcels", "booking"}, nil, "booking"},
		{[]string{"booking", "parcels", "gallery"}, []string{"booking"}, "gallery"},
		{[]string{"booking", "parcels"}, nil, "booking"},
		{[]string{"parcels", "others"}, nil, "others"},
	} {
		c := config(5, 7)
		c.Config.Routes[0].Shares = append(c.Config.Routes[0].Shares, gddiscovery.Share{Service: "ledger", Weight: 1})
		s := loaded(t, c)
		for i, service := range tt.services {
			r := gddiscovery.Revision(11 + i)
			s.Apply(start, gddiscovery.Update{Revision: r, Changes: []gddiscovery.Change{
				upstream(r, "u1", func(u *gddiscovery.Upstream) { u.Service = service }),
			}})
		}
		require.Equal(t, tt.latest, member(t, s, at(1)).Upstream().Service, "%v", tt.services)
		var displaced []string
		for _, m := range s.View().Displaced() {
			displaced = append(displaced, m.Upstream().Service)
			_, ok := s.View().Pool(m.Upstream().Service)
			require.True(t, ok, "lookups need its pool")
			require.False(t, m.AcceptsNew(start), "its agent is told so with each query")
			require.Equal(t, m, s.View().DisplacedAt(at(1), gddiscovery.ServiceHash(m.Upstream().Service)))
		}
		require.Equal(t, tt.displaced, displaced, "%v", tt.services)
		require.Equal(t, len(displaced) > 0, s.View().SharedHost(at(1)))
	}
}

// TestServiceIsConfiguredLater: an address has gone to a service that this host learns of later.
func TestServiceIsConfiguredLater(t *testing.T) {
	s := loaded(t, config(5, 7), upstream(6, "u1", nil), upstream(8, "u2", func(u *gddiscovery.Upstream) { u.Service = "parcels" }))
	require.Equal(t, "booking", member(t, s, at(1)).Upstream().Service)
	next := config(11, 8)
	next.Config.Services = append(next.Config.Services, gddiscovery.Service{Name: "parcels"})
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{next}, Revision: 11})
	require.Equal(t, "parcels", member(t, s, at(1)).Upstream().Service)
}

func TestDomainOutAndBack(t *testing.T) {
	s := loaded(t, config(5, 7), upstream(6, "u1", nil))
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(11, "a", false)}, Revision: 11})
	require.False(t, member(t, s, at(1)).AcceptsNew(start))
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(12, "a", true)}, Revision: 12})
	require.True(t, member(t, s, at(1)).AcceptsNew(start))
}

// TestInvalidConfigurationIsIgnored: the last valid configuration stays active.
func TestInvalidConfigurationIsIgnored(t *testing.T) {
	s := loaded(t, config(5, 7))
	bad := config(11, 8)
	bad.Config = nil
	require.False(t, s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{bad}, Revision: 11}))
	require.Equal(t, uint64(7), s.View().Version())
}

func TestPeerCatchesUp(t *testing.T) {
	peer := loaded(t, config(5, 7), upstream(6, "u1", nil))
	peer.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{removal(11, "u1"), upstream(12, "u2", func(u *gddiscovery.Upstream) {
		u.Address = at(2)
	})}, Revision: 12})
	s := loaded(t, config(5, 7), upstream(6, "u1", nil))
	now := start.Add(time.Second)
	s.Apply(now, peer.ChangesSince(now, s.Revision()))
	require.Equal(t, peer.Revision(), s.Revision())
	require.False(t, member(t, s, at(1)).AcceptsNew(now))
	require.True(t, member(t, s, at(2)).AcceptsNew(now))
	require.Equal(t, time.Second, s.Age(now), "the state is as old as the peer's")
}

// TestRemovalBeforeLoadNeedsFullUpdate: a host starts after a domain came back into
// service, so it has no record of the removal. A host that missed the change and
// catches up from it must still get the removal. Found by the soak test with seed 14.
func TestRemovalBeforeLoadNeedsFullUpdate(t *testing.T) {
	now := start
	old := loaded(t, config(1, 1), upstream(2, "u1", nil), evacuation(3, "a", false))
	require.Equal(t, 1, old.View().DomainsOut())
	var fresh gddiscovery.State // the domain came back at revision 14
	require.True(t, fresh.Load(now, gddiscovery.Update{Revision: 15, Changes: []gddiscovery.Change{config(1, 1), upstream(2, "u1", nil)}}))
	u := fresh.ChangesSince(now, old.Revision())
	require.True(t, u.Full, "removals before the load are unknown")
	require.True(t, old.Load(now, u))
	require.Equal(t, 0, old.View().DomainsOut())
	require.False(t, old.ChangesSince(now, 15).Full)
	require.True(t, old.ChangesSince(now, 14).Full, "the same holds for a host that caught up with a full update")
}

// TestExpiredRemovalNeedsFullUpdate: a host that was unreachable for longer than
// removals are retained gets the full state.
func TestExpiredRemovalNeedsFullUpdate(t *testing.T) {
	s := loaded(t, config(1, 1), upstream(2, "u1", nil), upstream(3, "u2", nil))
	away := loaded(t, config(1, 1), upstream(2, "u1", nil), upstream(3, "u2", nil))
	s.Apply(start, gddiscovery.Update{Revision: 11, Changes: []gddiscovery.Change{removal(11, "u2")}})
	require.False(t, s.ChangesSince(start, away.Revision()).Full)
	later := start.Add(2 * time.Minute)
	s.Apply(later, gddiscovery.Update{Revision: 12, Changes: []gddiscovery.Change{upstream(12, "u3", nil)}})
	u := s.ChangesSince(later, away.Revision())
	require.True(t, u.Full)
	require.True(t, away.Load(later, u))
	require.Len(t, u.Changes, 3, "without the removed upstream")
	require.Len(t, s.View().Upstreams(), len(away.View().Upstreams()))
}

// TestSharesFollowWeights: the choice for a flow is the same on all hosts.
func TestSharesFollowWeights(t *testing.T) {
	s := loaded(t, config(5, 7))
	r, ok := s.View().Route(service)
	require.True(t, ok)
	n := 0
	for i := range 20000 {
		k := gdflow.NewKey(gdflow.AddressFrom([4]byte{100, 64, byte(i >> 8), byte(i)}, 4000), service)
		require.Equal(t, r.PickService(k.Hash()), r.PickService(k.Hash()))
		if r.PickService(k.Hash()) == "gallery" {
			n++
		}
	}
	require.InDelta(t, 0.1, float64(n)/20000, 0.01)
	require.Empty(t, (&gddiscovery.Route{}).PickService(1))
}

func TestColdUpstream(t *testing.T) {
	s := loaded(t, config(5, 7), upstream(6, "u1", func(u *gddiscovery.Upstream) { u.ColdFor = 2 * time.Second }))
	m := member(t, s, at(1))
	require.Equal(t, 1500*time.Millisecond, m.ColdLeft(start.Add(500*time.Millisecond)))
	require.Zero(t, m.ColdLeft(start.Add(3*time.Second)))
}
