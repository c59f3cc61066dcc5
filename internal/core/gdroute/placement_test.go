package gdroute_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
)

const (
	placementUpstreams = 7
	// burst is the number of flows that are placed between two load reports.
	burst = 20
	// busyFactor is the multiple of the mean load from which an agent moves a new
	// flow to a peer.
	busyFactor = 1.05
)

// placement is a strategy for placing flows. It gets the candidates in the order of
// the key's ranking, the live loads, and the loads as last reported.
type placement struct {
	name string
	// balancer places a packet by the ranking and the reported loads.
	balancer func(rank []*gdconf.Upstream, reported loads) gdconf.UpstreamID
	// agent moves a new flow from home to a peer, or keeps it. It may be nil.
	agent func(r *rand.Rand, home gdconf.UpstreamID, rank []*gdconf.Upstream, live loads) gdconf.UpstreamID
}

func (p placement) place(r *rand.Rand, rank []*gdconf.Upstream, live, reported loads) gdconf.UpstreamID {
	home := p.balancer(rank, reported)
	if p.agent == nil {
		return home
	}
	return p.agent(r, home, rank, live)
}

type loads = map[gdconf.UpstreamID]int

var placements = []placement{
	{name: "rendezvous alone", balancer: head},
	{name: "two choices of the ranking by reported load", balancer: lessLoaded},
	{name: "rendezvous, passed on once along the ranking", balancer: head, agent: forwardFlow},
	{name: "rendezvous, relay to the lighter of two peers", balancer: head, agent: relayFlow},
}

func head(rank []*gdconf.Upstream, _ loads) gdconf.UpstreamID { return rank[0].ID() }

func lessLoaded(rank []*gdconf.Upstream, reported loads) gdconf.UpstreamID {
	if reported[rank[1].ID()] < reported[rank[0].ID()] {
		return rank[1].ID()
	}
	return rank[0].ID()
}

// busy reports whether the agent holds at least one flow more than busyFactor times
// the mean.
func busy(home gdconf.UpstreamID, rank []*gdconf.Upstream, live loads) bool {
	mean := float64(lo.Sum(lo.Values(live))) / float64(len(rank))
	return float64(live[home]) >= busyFactor*mean+1
}

func forwardFlow(_ *rand.Rand, home gdconf.UpstreamID, rank []*gdconf.Upstream, live loads) gdconf.UpstreamID {
	if busy(home, rank, live) {
		return rank[1].ID()
	}
	return home
}

func relayFlow(r *rand.Rand, home gdconf.UpstreamID, rank []*gdconf.Upstream, live loads) gdconf.UpstreamID {
	if !busy(home, rank, live) {
		return home
	}
	best := home
	for range 2 {
		if peer := rank[1+r.IntN(len(rank)-1)].ID(); live[peer] < live[best] {
			best = peer
		}
	}
	return best
}

// result holds the measurements of one strategy.
type result struct {
	imbalance float64
	// misdirected counts the established flows whose packets, if they have no token,
	// reach first an agent that does not hold them: a balancer has no state of the
	// flow and places the packet by the ranking and the load.
	misdirected int
	// moved counts the flows that are placed elsewhere after one upstream leaves;
	// own counts those that the leaving upstream held.
	moved, own int
}

// TestPlacementTable compares placement strategies on the same keys, with few and
// with many flows. It prints the table in docs/design/routing.md.
func TestPlacementTable(t *testing.T) {
	for _, flows := range []int{140, 14_000} {
		results := make([]result, len(placements))
		for i, p := range placements {
			r := compare(p, flows)
			results[i] = r
			part := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(flows)) }
			t.Logf("| %s | %d | %.3f | %s | %s | %s |", p.name, flows, r.imbalance, part(r.misdirected), part(r.moved), part(r.own))
		}
		alone, two, passed, relay := results[0], results[1], results[2], results[3]
		require.Zero(t, alone.misdirected)
		require.Equal(t, alone.own, alone.moved, "a leaving upstream moves its own flows only")
		require.Less(t, passed.misdirected, two.misdirected)
		require.Less(t, relay.misdirected, two.misdirected)
	}
}

func compare(p placement, flows int) result {
	d := gdfixture.Deployment(1, placementUpstreams)
	before := fill(p, gdfixture.View(d), flows)
	after := fill(p, gdfixture.View(setState(d, 0, config.StateLeaving)), flows)
	out := result{own: before.live[101], misdirected: before.misdirected}
	for i, home := range before.homes {
		if after.homes[i] != home {
			out.moved++
		}
	}
	maxLoad := 0
	for _, n := range before.live {
		maxLoad = max(maxLoad, n)
	}
	out.imbalance = float64(maxLoad) * placementUpstreams / float64(flows)
	return out
}

// filled is the state after all flows were placed.
type filled struct {
	live        loads
	homes       []gdconf.UpstreamID
	misdirected int
}

// fill places the flows in bursts. A flow has the same key in each call.
func fill(p placement, v *gdconf.View, flows int) filled {
	s, _ := v.Service(1)
	keys, r := rand.New(rand.NewPCG(20261203, 1)), rand.New(rand.NewPCG(20261203, 2))
	out := filled{live: loads{}}
	reported := loads{}
	var ranks [][]*gdconf.Upstream
	for i := range flows {
		if i%burst == 0 {
			maps.Copy(reported, out.live)
		}
		rank := lo.Filter(gdroute.Rank(s, gdroute.FlowKey(keys.Uint64())), func(u *gdconf.Upstream, _ int) bool { return u.AcceptsNewFlows() })
		id := p.place(r, rank, out.live, reported)
		out.live[id]++
		out.homes = append(out.homes, id)
		ranks = append(ranks, rank)
	}
	for i, rank := range ranks {
		if p.balancer(rank, out.live) != out.homes[i] {
			out.misdirected++
		}
	}
	return out
}
