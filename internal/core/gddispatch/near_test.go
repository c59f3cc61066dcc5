package gddispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	domains     = 3
	domainSize  = 6
	domainSlots = 4
)

func domainOf(i int) string { return string(rune('a' + i%domains)) }

// newDomains returns a fleet of three failure domains with an entry host and domainSize
// upstreams each. Messages between domains take the time.
func newDomains(t *testing.T, between time.Duration, aware bool) *fleet {
	f := newFleet(t, domains, domains*domainSize, domainSlots)
	f.way = func(i int, agent gdflow.Address) time.Duration {
		if f.domainAt(agent) == i%domains {
			return hop
		}
		return between
	}
	for i := range domains {
		e := &entry{}
		if aware {
			e.core = gddispatch.Dispatcher{Domain: domainOf(i)}
		}
		f.entries[entryAt(i)] = e
	}
	f.setDomains(nil)
	return f
}

// setDomains gives all entry hosts a view with the upstreams in their domains.
func (f *fleet) setDomains(change func(i int, up *gddiscovery.Upstream)) {
	u := update(domains*domainSize, domainSlots, func(i int, up *gddiscovery.Upstream) {
		up.Domain = domainOf(i)
		if change != nil {
			change(i, up)
		}
	})
	u.Revision = f.view.Revision() + 1
	var state gddiscovery.State
	require.True(f.t, state.Load(f.now, u))
	f.view = state.View()
	for _, e := range f.entries {
		e.core.SetView(f.now, f.view)
		e.core.ConfirmView(f.now, time.Time{})
	}
}

// domainAt returns the index of the agent's domain.
func (f *fleet) domainAt(agent gdflow.Address) int {
	for i := range domains * domainSize {
		if upstreamAt(i) == agent {
			return i % domains
		}
	}
	return -1
}

// flows opens flows through an entry host, one each interval, and lets them end.
func (f *fleet) flows(i, first, n int, interval time.Duration) {
	for j := range n {
		f.open(i, callerKey(first+j))
		f.run(interval)
	}
	f.run(200 * time.Millisecond)
}

// takeOpened returns how many flows the upstreams of each domain have accepted since the last call.
func (f *fleet) takeOpened() [domains]int {
	var n [domains]int
	for at, ag := range f.agents {
		n[f.domainAt(at)] += ag.opened
		ag.opened = 0
	}
	return n
}

// TestNearDomainsAreEqual: domains that are 1.6 ms farther than hosts make no difference to an
// objective of 120 ms. Each flow goes where it would without domains.
func TestNearDomainsAreEqual(t *testing.T) {
	const between = hop + 800*time.Microsecond
	aware, unaware := newDomains(t, between, true), newDomains(t, between, false)
	for i := range domains {
		aware.flows(i, 1000*i, 300, 5*time.Millisecond)
		unaware.flows(i, 1000*i, 300, 5*time.Millisecond)
	}
	for at, ag := range aware.agents {
		require.Equal(t, ag.opened, unaware.agents[at].opened, at)
	}
}

// TestFarDomains: the load is a third of the slots, then three times as much from the callers of
// one domain. They get its upstreams if the first of these has a free slot, else evenly the others'.
func TestFarDomains(t *testing.T) {
	const between = 5 * time.Millisecond
	f := newDomains(t, between, true)
	f.flows(0, 0, 100, 10*time.Millisecond) // the round trips become known
	f.takeOpened()
	f.flows(0, 1000, 200, 100*time.Millisecond/8)
	n := f.takeOpened()
	require.GreaterOrEqual(t, n[0], 190, "all but those whose first near upstream is full: %v", n)
	f.flows(0, 2000, 600, 100*time.Millisecond/48) // offered flows take a slot for 100 ms
	n = f.takeOpened()
	require.Equal(t, 600, n[0]+n[1]+n[2])
	require.Greater(t, n[0], 240, "%v", n)
	require.Greater(t, n[1], 90, "%v", n)
	require.InDelta(t, n[1], n[2], 0.35*float64(n[1]), "%v", n)
	require.Empty(t, f.resets)
}

// TestDomainLeaves: at the height of a domain's load its upstreams drain, one by one. All flows
// go to those of the others, evenly.
func TestDomainLeaves(t *testing.T) {
	f := newDomains(t, 5*time.Millisecond, true)
	f.flows(0, 0, 100, 10*time.Millisecond)
	for gone := range domainSize + 1 {
		f.takeOpened()
		f.setDomains(func(i int, up *gddiscovery.Upstream) {
			up.Draining = i%domains == 0 && i/domains < gone
		})
		f.flows(0, 1000*(gone+1), 200, 100*time.Millisecond/16)
		n := f.takeOpened()
		require.Equal(t, 200, n[0]+n[1]+n[2], "%d gone: %v", gone, n)
	}
	f.flows(0, 9000, 400, 100*time.Millisecond/16)
	n := f.takeOpened()
	require.Zero(t, n[0])
	require.InDelta(t, n[1], n[2], 0.3*float64(n[1]), "%v", n)
	require.Empty(t, f.resets)
}

// TestFlowsOfFarDomainsAreFound: flows that were opened through the entry host of one domain come
// to that of another one, whose callers they have become, or to one that has just started. Neither
// can query all upstreams at once, and each finds all flows.
func TestFlowsOfFarDomainsAreFound(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("round trips known ", known), func(t *testing.T) {
			f := newDomains(t, 5*time.Millisecond, true)
			f.flows(0, 0, 100, 10*time.Millisecond)
			if known {
				f.flows(1, 1000, 100, 10*time.Millisecond)
			}
			f.flows(0, 2000, 200, 20*time.Millisecond)
			f.unconfirmed = true
			f.run(5 * time.Second)
			f.messages = 0
			for i := range 200 {
				f.request(1, callerKey(2000+i))
				f.run(20 * time.Millisecond)
			}
			f.run(time.Second)
			require.Equal(t, 200, f.served())
			require.Empty(t, f.resets)
			require.LessOrEqual(t, f.messages, 200*2*3, "three upstreams are asked, one in each domain")
		})
	}
}

// TestDrainedUpstreamsAreSkipped: half of the upstreams of each domain drain when flows are opened.
// The entry host restarts, and finds the flows although it can't query all upstreams.
func TestDrainedUpstreamsAreSkipped(t *testing.T) {
	f := newDomains(t, 5*time.Millisecond, true)
	f.setDomains(func(i int, up *gddiscovery.Upstream) { up.Draining = i/domains < domainSize/2 })
	f.flows(0, 0, 200, 20*time.Millisecond)
	restarted := &entry{core: gddispatch.Dispatcher{Domain: domainOf(0)}}
	restarted.core.SetView(f.now, f.view)
	f.entries[entryAt(0)], f.unconfirmed = restarted, true
	f.run(5 * time.Second)
	for i := range 200 {
		f.request(0, callerKey(i))
		f.run(20 * time.Millisecond)
	}
	f.run(time.Second)
	require.Equal(t, 200, f.served())
	require.Empty(t, f.resets)
}
