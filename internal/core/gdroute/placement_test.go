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
	// burst is the number of flows that are placed between two reports of load.
	burst = 20
	// relayRoom is the load over the mean from which an agent moves a new flow.
	relayRoom = 1.05
)

// placement is one way to place flows. It is given the candidates in the key's
// ranking and the loads, live and as last reported.
type placement struct {
	name string
	// balancer places a packet by the ranking and the reported load.
	balancer func(rank []*gdconf.Upstream, reported loads) gdconf.UpstreamID
	// agent moves a new flow that reached home to a peer, or keeps it.
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
	{name: "two choices of the ranking by reported load", balancer: lighter},
	{name: "rendezvous, passed on once along the ranking", balancer: head, agent: passOn},
	{name: "rendezvous, relay to the lighter of two peers", balancer: head, agent: relayFlow},
}

func head(rank []*gdconf.Upstream, _ loads) gdconf.UpstreamID { return rank[0].ID() }

func lighter(rank []*gdconf.Upstream, reported loads) gdconf.UpstreamID {
	if reported[rank[1].ID()] < reported[rank[0].ID()] {
		return rank[1].ID()
	}
	return rank[0].ID()
}

// busy reports whether the agent holds more than relayRoom of the mean.
func busy(home gdconf.UpstreamID, rank []*gdconf.Upstream, live loads) bool {
	mean := float64(lo.Sum(lo.Values(live))) / float64(len(rank))
	return float64(live[home]) >= relayRoom*mean+1
}

func passOn(_ *rand.Rand, home gdconf.UpstreamID, rank []*gdconf.Upstream, live loads) gdconf.UpstreamID {
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

// result is what one way of placement gave.
type result struct {
	imbalance float64
	// astray counts the established flows whose packets, if they have no token,
	// come first to an agent that does not hold them: a balancer that knows
	// nothing of the flow places the packet by the ranking and the load.
	astray int
	// moved counts the flows that are placed elsewhere once one upstream leaves;
	// own counts those that the leaving upstream held.
	moved, own int
}

// TestPlacementTable compares ways of placement on the same keys, with few and
// with many flows. It prints the table in docs/design/routing.md.
func TestPlacementTable(t *testing.T) {
	for _, flows := range []int{140, 14_000} {
		results := make([]result, len(placements))
		for i, p := range placements {
			r := compare(p, flows)
			results[i] = r
			part := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(flows)) }
			t.Logf("| %s | %d | %.3f | %s | %s | %s |", p.name, flows, r.imbalance, part(r.astray), part(r.moved), part(r.own))
		}
		alone, two, passed, relay := results[0], results[1], results[2], results[3]
		require.Zero(t, alone.astray)
		require.Equal(t, alone.own, alone.moved, "a leaving upstream moves its own flows only")
		require.Less(t, passed.astray, two.astray)
		require.Less(t, relay.astray, two.astray)
	}
}

func compare(p placement, flows int) result {
	d := gdfixture.Deployment(1, placementUpstreams)
	before := fill(p, gdfixture.View(d), flows)
	after := fill(p, gdfixture.View(setState(d, 0, config.StateLeaving)), flows)
	out := result{own: before.live[101], astray: before.astray}
	for i, home := range before.homes {
		if after.homes[i] != home {
			out.moved++
		}
	}
	most := 0
	for _, n := range before.live {
		most = max(most, n)
	}
	out.imbalance = float64(most) * placementUpstreams / float64(flows)
	return out
}

// filled is what the placement of all flows led to.
type filled struct {
	live   loads
	homes  []gdconf.UpstreamID
	astray int
}

// fill places the flows in bursts. The same flow has the same key in each call.
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
			out.astray++
		}
	}
	return out
}
