package gdroute_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

var start = time.Unix(1_800_000_000, 0)

const keys = 20_000

// setState returns the next revision of the deployment, with the state of one
// upstream changed.
func setState(d config.Deployment, upstream int, s config.State) config.Deployment {
	d.Revision++
	svc := d.Services[0]
	svc.Upstreams = append([]config.Upstream(nil), svc.Upstreams...)
	svc.Upstreams[upstream].State = s
	d.Services = append([]config.Service{svc}, d.Services[1:]...)
	return d
}

// setDomain returns the next revision of the deployment, with the state of one
// failure domain changed.
func setDomain(d config.Deployment, i int, s config.State) config.Deployment {
	d.Revision++
	d.Domains = append([]config.Domain(nil), d.Domains...)
	d.Domains[i].State = s
	return d
}

func balancer(v *gdconf.View) *gdroute.Balancer {
	var b gdroute.Balancer
	b.SetView(start, v)
	return &b
}

func TestPlacementFollowsWeights(t *testing.T) {
	d := gdfixture.Deployment(1, 7)
	d.Services[0].Upstreams[0].Weight = 2
	b := balancer(gdfixture.View(d))
	got := map[gdconf.UpstreamID]int{}
	for k := range gdroute.FlowKey(keys) {
		got[b.Route(start, gdroute.NewPacket(1, k).Opening()).Upstream().ID()]++
	}
	const shares = 8
	require.InEpsilon(t, 2*keys/shares, got[101], 0.1)
	require.InEpsilon(t, keys/shares, got[102], 0.1)
}

func TestLeavingMovesOnlyItsOwnNewFlows(t *testing.T) {
	d := gdfixture.Deployment(1, 7)
	before, after := balancer(gdfixture.View(d)), balancer(gdfixture.View(setState(d, 0, config.StateLeaving)))
	for k := range gdroute.FlowKey(keys) {
		p := gdroute.NewPacket(1, k)
		was := before.Route(start, p.Opening()).Upstream()
		is := after.Route(start, p.Opening()).Upstream()
		require.NotEqual(t, gdconf.UpstreamID(101), is.ID())
		if was.ID() != 101 {
			require.Equal(t, was.ID(), is.ID())
		}
		require.Equal(t, was.ID(), after.Route(start, p).Upstream().ID(), "a packet in the middle of a flow keeps its route")
	}
}

func TestReturningDomainRampsUp(t *testing.T) {
	d := gdfixture.Deployment(1, 8)
	b := balancer(gdfixture.View(setDomain(d, 0, config.StateOut)))
	back := d
	back.Revision += 2
	b.SetView(start, gdfixture.View(back))
	ramp := time.Duration(config.DefaultRampSeconds) * time.Second
	for _, share := range []float64{0.1, 0.5, 1} {
		now := start.Add(time.Duration(share * float64(ramp)))
		n := 0
		for k := range gdroute.FlowKey(keys) {
			if b.Route(now, gdroute.NewPacket(1, k).Opening()).Upstream().Domain() == gdfixture.DomainName(0) {
				n++
			}
		}
		require.InDelta(t, share/4, float64(n)/keys, 0.02, "at %v of the ramp", share)
	}
}

func TestTokenIsCheckedByBalancerAndPacketFilter(t *testing.T) {
	d := gdfixture.Deployment(2, 3)
	out := setDomain(d, 0, config.StateOut)
	tests := []struct {
		name     string
		d        config.Deployment
		service  gdconf.ServiceID
		token    gdtoken.Token
		balancer gdroute.Reason
		filter   gdroute.Reason
		accepted bool
	}{
		{"valid", d, 1, gdtoken.New(1, 101, 7, 1), gdroute.ByToken, gdroute.ByToken, true},
		{"old incarnation", d, 1, gdtoken.New(1, 101, 6, 1), gdroute.ByToken, gdroute.OldIncarnation, false},
		{"other service's address", d, 2, gdtoken.New(1, 101, 7, 1), gdroute.WrongService, gdroute.WrongService, false},
		{"token names a service that is not its upstream's", d, 1, gdtoken.New(1, 201, 7, 1), gdroute.WrongService, gdroute.WrongService, false},
		{"unknown upstream", d, 1, gdtoken.New(1, 999, 7, 1), gdroute.UnknownUpstream, gdroute.UnknownUpstream, false},
		{"domain out", out, 1, gdtoken.New(1, 101, 7, 1), gdroute.DomainOut, gdroute.DomainOut, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := gdfixture.View(tt.d)
			p := gdroute.NewPacket(tt.service, 0).WithToken(tt.token)
			require.Equal(t, tt.balancer, balancer(v).Route(start, p).Reason())
			filter := gdroute.PacketFilter{Self: 101, Incarnation: 7, MaxFlows: 10, IdleTimeout: time.Minute}
			filter.SetView(v)
			got := filter.Check(start, p)
			require.Equal(t, tt.filter, got.Reason())
			require.Equal(t, tt.accepted, got.Verdict() == gdroute.Accept)
		})
	}
}

// TestReassignedAddressIsNotMisrouted assigns the address of one service to another
// while a balancer still has the old view. The agents of the address's former
// service must not accept its packets.
func TestReassignedAddressIsNotMisrouted(t *testing.T) {
	before := gdfixture.Deployment(2, 3)
	after := before
	after.Revision++
	after.Services = append([]config.Service(nil), before.Services...)
	moved := before.Services[0].Address
	after.Services[0].Address = "10.9.9.9:443"
	after.Services[1].Address = moved
	d := balancer(gdfixture.View(before)).Route(start, gdroute.NewPacket(1, 7).Opening())
	require.Equal(t, gdroute.Forward, d.Verdict())
	filter := gdroute.PacketFilter{Self: d.Upstream().ID(), Incarnation: 7, MaxFlows: 10, IdleTimeout: time.Minute}
	filter.SetView(gdfixture.View(after))
	p := gdroute.NewPacket(1, 7).Opening().WithAddress(netip.MustParseAddrPort(moved))
	require.Equal(t, gdroute.WrongService, filter.Check(start, p).Reason())
	require.Equal(t, gdroute.Accept, filter.Check(start, p.WithAddress(netip.MustParseAddrPort("10.9.9.9:443"))).Verdict())
}

// TestBusyAgentForwardsNewFlowsOnce checks that a fleet of busy agents still accepts
// every flow, and that later packets of the flow reach the agent that holds it.
func TestBusyAgentForwardsNewFlowsOnce(t *testing.T) {
	d := gdfixture.Deployment(1, 4)
	f := newFleet(d)
	v := gdfixture.View(d)
	f.balancer.SetView(start, v)
	for _, filter := range f.filters {
		filter.SetView(v)
		filter.SetBusy(true)
	}
	for k := range gdroute.FlowKey(200) {
		home := f.deliver(gdroute.NewPacket(1, k).Opening())
		require.NotZero(t, home)
		require.NotEqual(t, gdroute.Rank(serviceOne(v), k)[0].ID(), home)
		require.Equal(t, home, f.deliver(gdroute.NewPacket(1, k)))
	}
	f.filters[101].SetBusy(false)
	require.Equal(t, gdroute.Accept, f.filters[101].Check(start, gdroute.NewPacket(1, 9999).Opening()).Verdict())
}

func serviceOne(v *gdconf.View) *gdconf.Service {
	s, _ := v.Service(1)
	return s
}

// fleet is one balancer and the packet filters of one service, each with a view that
// may be older than the others'.
type fleet struct {
	balancer gdroute.Balancer
	filters  map[gdconf.UpstreamID]*gdroute.PacketFilter
}

func newFleet(d config.Deployment) *fleet {
	f := &fleet{filters: map[gdconf.UpstreamID]*gdroute.PacketFilter{}}
	for _, u := range d.Services[0].Upstreams {
		id := gdconf.UpstreamID(u.ID)
		f.filters[id] = &gdroute.PacketFilter{Self: id, Incarnation: 1, MaxFlows: 1000, IdleTimeout: time.Hour}
	}
	return f
}

// deliver passes a packet from process to process and returns the upstream of the
// agent that accepted it, or 0.
func (f *fleet) deliver(p gdroute.Packet) gdconf.UpstreamID {
	d := f.balancer.Route(start, p)
	for hops := uint8(0); d.Verdict() == gdroute.Forward; hops++ {
		id := d.Upstream().ID()
		d = f.filters[id].Check(start, p.WithHops(hops))
		if d.Verdict() == gdroute.Accept {
			return id
		}
	}
	return 0
}

// TestFlowWithoutTokenKeepsItsAgentWhenViewsDiffer opens flows, changes the states of two
// upstreams, and applies the change to a random part of the fleet. Every later packet
// of a flow must still reach the agent that holds the flow.
func TestFlowWithoutTokenKeepsItsAgentWhenViewsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := gdfixture.Deployment(1, 7)
		f := newFleet(d)
		states := rapid.SliceOfN(rapid.SampledFrom([]config.State{config.StateIn, config.StateLeaving}), 7, 7)
		applied := rapid.SliceOfN(rapid.Bool(), 8, 8)
		apply := func(d config.Deployment, who []bool) {
			v := gdfixture.View(d)
			if who[7] {
				f.balancer.SetView(start, v)
			}
			for i, u := range d.Services[0].Upstreams {
				if who[i] {
					f.filters[gdconf.UpstreamID(u.ID)].SetView(v)
				}
			}
		}
		apply(d, []bool{true, true, true, true, true, true, true, true})
		homes := map[gdroute.FlowKey]gdconf.UpstreamID{}
		for round := range 3 {
			for k := range gdroute.FlowKey(50) {
				key := k + gdroute.FlowKey(round*50)
				if home := f.deliver(gdroute.NewPacket(1, key).Opening()); home != 0 {
					homes[key] = home
				}
			}
			two := states.Draw(t, "states")
			next := d
			for i := range 2 {
				next = setState(next, (round*2+i)%7, two[i])
			}
			next.Revision = uint64(round) + 2
			apply(next, applied.Draw(t, "applied"))
			for key, home := range homes {
				if got := f.deliver(gdroute.NewPacket(1, key)); got != home {
					t.Fatalf("flow %d, held by %d, arrived at %d", key, home, got)
				}
			}
		}
	})
}

// TestNewFlowsDoNotEvictEstablishedOnes checks that a packet filter that holds its
// maximum of flows without token forwards new ones. Flows of which only the opening
// packet has arrived are not established, so a flood of those fills no filter.
func TestNewFlowsDoNotEvictEstablishedOnes(t *testing.T) {
	const flows = 4
	filter := gdroute.PacketFilter{Self: 101, Incarnation: 1, MaxFlows: flows, IdleTimeout: time.Minute}
	filter.SetView(gdfixture.View(gdfixture.Deployment(1, 2)))
	packet := func(key gdroute.FlowKey) gdroute.Packet { return gdroute.NewPacket(1, key) }
	open := func(now time.Time, key gdroute.FlowKey) gdroute.Verdict {
		return filter.Check(now, packet(key).Opening()).Verdict()
	}
	for key := range gdroute.FlowKey(100) {
		require.Equal(t, gdroute.Accept, open(start, key), "a flood of opening packets")
	}
	for key := range gdroute.FlowKey(flows) {
		require.Equal(t, gdroute.Accept, open(start, key))
		require.Equal(t, gdroute.Accept, filter.Check(start, packet(key)).Verdict())
	}
	for key := gdroute.FlowKey(200); key < 300; key++ {
		require.Equal(t, gdroute.Forward, open(start, key))
	}
	later := start.Add(50 * time.Second)
	for key := range gdroute.FlowKey(flows) {
		require.Equal(t, gdroute.Accept, filter.Check(later, packet(key)).Verdict(), "flow %d", key)
	}
	require.Equal(t, gdroute.Accept, open(later.Add(2*time.Minute), 400), "idle flows are removed for new ones")
}

// TestUnknownFlowHopsAreBounded checks that a packet of an unknown flow is forwarded
// at most twice along the ranking and once for each upstream.
func TestUnknownFlowHopsAreBounded(t *testing.T) {
	for _, n := range []int{1, 2, 4, 7, 8} {
		d := gdfixture.Deployment(1, n)
		f := newFleet(d)
		v := gdfixture.View(d)
		f.balancer.SetView(start, v)
		for _, filter := range f.filters {
			filter.SetView(v)
		}
		for key := range gdroute.FlowKey(100) {
			p := gdroute.NewPacket(1, key)
			dec, hops := f.balancer.Route(start, p), uint8(0)
			for dec = f.filters[dec.Upstream().ID()].Check(start, p); dec.Verdict() == gdroute.Forward; hops++ {
				dec = f.filters[dec.Upstream().ID()].Check(start, p.WithHops(hops+1))
			}
			require.Equal(t, gdroute.Drop, dec.Verdict())
			require.LessOrEqual(t, int(hops), min(2+n, gdroute.MaxHops), "%d upstreams", n)
		}
	}
}

func BenchmarkRouteToken(b *testing.B) {
	core := balancer(gdfixture.View(gdfixture.Deployment(2, 7)))
	p := gdroute.NewPacket(1, 0).WithToken(gdtoken.New(1, 101, 7, 1))
	b.ReportAllocs()
	for b.Loop() {
		core.Route(start, p)
	}
}

func BenchmarkRouteOpening(b *testing.B) {
	core := balancer(gdfixture.View(gdfixture.Deployment(2, 7)))
	key := gdroute.FlowKey(0)
	b.ReportAllocs()
	for b.Loop() {
		key++
		core.Route(start, gdroute.NewPacket(1, key).Opening())
	}
}

// TestFullAgentDropsWithReason: an agent that can't hold another flow forwards it, and drops
// it if no other agent accepts it. The reason then says what is missing.
func TestFullAgentDropsWithReason(t *testing.T) {
	for upstreams, want := range map[int]gdroute.Reason{1: gdroute.Full, 3: gdroute.PassedOn} {
		filter := gdroute.PacketFilter{Self: 101, MaxFlows: 10, IdleTimeout: time.Minute}
		filter.SetView(gdfixture.View(gdfixture.Deployment(1, upstreams)))
		filter.SetFull(true)
		require.Equal(t, want, filter.Check(start, gdroute.NewPacket(1, 7).Opening()).Reason(), "%d upstreams", upstreams)
	}
}

func TestUnknownValuesHaveAText(t *testing.T) {
	require.Equal(t, "unknown", gdroute.Verdict(200).String())
	require.Equal(t, "unknown", gdroute.Reason(200).String())
}
