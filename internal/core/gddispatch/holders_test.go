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
	// splitUpstreams is the number of upstreams in a splitFleet: the first half is of the
	// service booking, the rest of gallery.
	splitUpstreams = 12
	splitFlows     = 60
	// historyTime is longer than former routes are relevant.
	historyTime = 80 * time.Second
)

var (
	onlyBooking = []gddiscovery.Share{{Service: "booking", Weight: 1}}
	onlyGallery = []gddiscovery.Share{{Service: "gallery", Weight: 1}}
	both        = []gddiscovery.Share{{Service: "booking", Weight: 1}, {Service: "gallery", Weight: 1}}
)

// splitFleet is a fleet with two services, in which a route may be split. Entry host 0 opens
// the flows; entry host 1 has to look them up.
type splitFleet struct {
	*fleet
	state    gddiscovery.State // of all entry hosts, from the source
	revision gddiscovery.Revision
	version  uint64
}

func serviceOf(i int) string {
	if i < splitUpstreams/2 {
		return "booking"
	}
	return "gallery"
}

func splitUpdate(shares []gddiscovery.Share) gddiscovery.Update {
	u := update(splitUpstreams, 3, func(i int, up *gddiscovery.Upstream) { up.Service = serviceOf(i) })
	c := u.Changes[0].Config
	c.Routes[0].Shares, c.Services = shares, []gddiscovery.Service{{Name: "booking"}, {Name: "gallery"}}
	return u
}

func newSplitFleet(t *testing.T, shares []gddiscovery.Share) *splitFleet {
	f := &splitFleet{fleet: newFleet(t, 0, splitUpstreams, 3), revision: 100, version: 1}
	require.True(t, f.state.Load(f.now, splitUpdate(shares)))
	f.view = f.state.View()
	for i := range splitUpstreams {
		f.agents[upstreamAt(i)].guard.Service = serviceOf(i)
	}
	f.addEntry(0)
	f.addEntry(1)
	f.run(historyTime)
	return f
}

// config returns a new version of the configuration.
func (f *splitFleet) config(shares []gddiscovery.Share) gddiscovery.Change {
	f.revision++
	f.version++
	c := splitUpdate(shares).Changes[0]
	c.Revision, c.Config.Version = f.revision, f.version
	return c
}

// apply applies changes that all entry hosts get by a watch.
func (f *splitFleet) apply(changes ...gddiscovery.Change) {
	u := gddiscovery.Update{Revision: f.revision, Changes: changes, EachChange: true}
	require.True(f.t, f.state.Apply(f.now, u))
	f.setView()
}

func (f *splitFleet) setView() {
	f.view = f.state.View()
	for _, e := range f.entries {
		e.core.SetView(f.now, f.view)
	}
}

func (f *splitFleet) configure(shares []gddiscovery.Share) { f.apply(f.config(shares)) }

// openFlows opens the flows with the numbers.
func (f *splitFleet) openFlows(first, n int) {
	for i := range n {
		f.open(0, callerKey(first+i))
		f.run(5 * time.Millisecond)
	}
	f.run(100 * time.Millisecond)
	require.Empty(f.t, f.resets)
}

// heldBy returns how many flows the upstreams of the service hold.
func (f *splitFleet) heldBy(service string) int {
	n := 0
	for i := range splitUpstreams {
		if serviceOf(i) == service {
			n += len(f.agents[upstreamAt(i)].held)
		}
	}
	return n
}

// requireServed sends a request on each flow through the entry host. All must be served.
func (f *splitFleet) requireServed(entry, flows int) {
	f.t.Helper()
	before := f.served()
	for i := range flows {
		f.request(entry, callerKey(i))
		f.run(10 * time.Millisecond)
	}
	f.run(time.Second)
	require.Empty(f.t, f.resets)
	require.Equal(f.t, flows, f.served()-before)
	require.Zero(f.t, f.misdelivered())
}

// TestFlowsSurviveChangesOfTheirRoute: a route's services change while its flows are open,
// and callers' packets move to a host that has to look the flows up.
func TestFlowsSurviveChangesOfTheirRoute(t *testing.T) {
	tests := []struct {
		name   string
		first  []gddiscovery.Share
		change func(f *splitFleet)
	}{
		{"the weights change", both, func(f *splitFleet) {
			f.configure([]gddiscovery.Share{{Service: "booking", Weight: 1}, {Service: "gallery", Weight: 0}})
		}},
		{"a service leaves the split", both, func(f *splitFleet) { f.configure(onlyBooking) }},
		{"a service leaves the split and comes back", both, func(f *splitFleet) {
			f.configure(onlyBooking)
			f.run(time.Second)
			f.configure(both)
		}},
		{"a service comes for a moment", onlyBooking, func(f *splitFleet) {
			f.configure(onlyGallery)
			f.openFlows(splitFlows/2, splitFlows/2)
			f.configure(onlyBooking)
		}},
		{"the route moves to another service", onlyBooking, func(f *splitFleet) { f.configure(onlyGallery) }},
		{"the route moves, and a long time passes", onlyBooking, func(f *splitFleet) {
			f.configure(onlyGallery)
			f.run(50 * time.Second)
		}},
		{"the host restarts", both, func(f *splitFleet) {
			f.configure(onlyBooking)
			u := splitUpdate(onlyBooking)
			u.Revision, u.Changes[0].Revision, u.Changes[0].Config.Version = f.revision, f.revision, f.version
			var fresh gddiscovery.State
			require.True(f.t, fresh.Load(f.now, u))
			f.addEntry(1).core.SetView(f.now, fresh.View())
		}},
		{"the host skips a version", onlyBooking, func(f *splitFleet) {
			f.config(onlyGallery) // another host opens flows by it
			f.openElsewhere(onlyGallery, splitFlows/2)
			c := f.config(onlyBooking)
			u := splitUpdate(onlyBooking)
			u.Revision, u.Changes[0] = f.revision, c
			require.True(f.t, f.state.Load(f.now, u))
			f.setView()
		}},
		{"a host has opened flows by the copy of a restored source", onlyGallery, func(f *splitFleet) {
			f.configure(onlyBooking)
			f.run(historyTime)
			f.openElsewhere(onlyGallery, splitFlows/2)
			u := splitUpdate(onlyGallery)
			u.Revision = gddiscovery.NewRevision(1, 100)
			for i := range u.Changes {
				u.Changes[i].Revision = gddiscovery.NewRevision(1, u.Changes[i].Revision.Number())
			}
			require.True(f.t, f.state.Load(f.now, u))
			f.setView()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSplitFleet(t, tt.first)
			f.openFlows(0, splitFlows/2)
			tt.change(f)
			flows := f.heldBy("booking") + f.heldBy("gallery")
			f.requireServed(1, flows)
		})
	}
}

// openElsewhere opens flows through a host that has another configuration.
func (f *splitFleet) openElsewhere(shares []gddiscovery.Share, first int) {
	var other gddiscovery.State
	require.True(f.t, other.Load(f.now, splitUpdate(shares)))
	const elsewhere = 2
	f.addEntry(elsewhere).core.SetView(f.now, other.View())
	for i := range splitFlows / 2 {
		f.open(elsewhere, callerKey(first+i))
		f.run(5 * time.Millisecond)
	}
	f.run(100 * time.Millisecond)
	require.Empty(f.t, f.resets)
	delete(f.entries, entryAt(elsewhere))
}

// TestKnownFlowsNeedNoLookup: the host that knows a flow forwards its packets to an upstream
// of a former service, also after the history of the route has lapsed.
func TestKnownFlowsNeedNoLookup(t *testing.T) {
	f := newSplitFleet(t, onlyGallery)
	f.openFlows(0, splitFlows)
	f.configure(onlyBooking)
	for range 8 {
		f.run(10 * time.Second)
		f.messages = 0
		f.requireServed(0, splitFlows)
		require.Equal(t, splitFlows, f.messages, "a packet each, and no query")
	}
}

// TestHoldersAreFoundSoon: a flow at a service that left the split costs at most twice the
// messages of before the change, since the services are queried by turns.
func TestHoldersAreFoundSoon(t *testing.T) {
	f := newSplitFleet(t, both)
	f.openFlows(0, splitFlows)
	const another = 2
	f.addEntry(another)
	f.messages = 0
	f.requireServed(another, splitFlows)
	before := f.messages
	f.configure(onlyBooking)
	f.messages = 0
	f.requireServed(1, splitFlows)
	require.LessOrEqual(t, f.messages, 2*before)
}

// TestGoneFlowsAreReset: a flow that no upstream holds is reset once each upstream that could
// hold it has answered, those of former services included, and not before.
func TestGoneFlowsAreReset(t *testing.T) {
	tests := []struct {
		name  string
		first []gddiscovery.Share
		down  int // an upstream that does not respond
		reset bool
		most  int // messages
	}{
		{"all answer", onlyGallery, -1, true, 2 * splitUpstreams},
		{"an upstream of the former service is silent", onlyGallery, splitUpstreams - 1, false, 100},
		{"an upstream of the present service is silent", onlyGallery, 0, false, 100},
		{"only the present service is asked", onlyBooking, splitUpstreams - 1, true, splitUpstreams},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSplitFleet(t, tt.first)
			f.configure(onlyBooking)
			if tt.down >= 0 {
				f.agents[upstreamAt(tt.down)].down = true
			}
			f.messages = 0
			f.request(1, callerKey(0))
			f.run(2 * time.Second)
			reason, reset := f.resets[callerKey(0)]
			require.Equal(t, tt.reset, reset)
			require.LessOrEqual(t, f.messages, tt.most)
			if reset {
				require.Equal(t, gddispatch.FlowGone, reason)
			}
		})
	}
}

// TestRemovedRouteEndsItsFlows: a new configuration that removes a route ends its flows.
func TestRemovedRouteEndsItsFlows(t *testing.T) {
	f := newSplitFleet(t, both)
	f.openFlows(0, 1)
	c := f.config(both)
	c.Config.Routes = nil
	f.apply(c)
	f.request(1, callerKey(0))
	f.run(10 * time.Millisecond)
	require.Equal(t, gddispatch.NoRoute, f.resets[callerKey(0)])
}

// TestAddressOfAnotherService: the address of a flow's upstream goes to another service, with
// or without that service being one of the route's former ones. Its new upstream gets no
// packet of the flow, from no host, and the flow is gone.
func TestAddressOfAnotherService(t *testing.T) {
	for _, first := range [][]gddiscovery.Share{onlyGallery, both} {
		f := newSplitFleet(t, first)
		f.openFlows(0, splitFlows)
		f.configure(onlyGallery)
		last := upstreamAt(splitUpstreams - 1)
		held := f.agents[last].held
		require.NotEmpty(t, held)
		ag := f.addAgent(splitUpstreams-1, true)
		ag.guard.Service = "booking"
		f.revision++
		f.apply(gddiscovery.Change{
			Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: "next"}, Revision: f.revision,
			Upstream: &gddiscovery.Upstream{ID: "next", Service: "booking", Address: last, Slots: 3},
		})
		for k := range held {
			f.request(0, k)
			f.request(1, k)
		}
		f.run(time.Second)
		require.Len(t, f.resets, len(held))
		require.Zero(t, f.misdelivered())
	}
}

// TestForeignRegistrationResetsNoFlow guards against resets of open flows after another writer has
// registered the address of each upstream with a service that is not configured, under a name of its own or
// under that of the upstream.
func TestForeignRegistrationResetsNoFlow(t *testing.T) {
	for _, own := range []bool{false, true} {
		f := newSplitFleet(t, both)
		f.openFlows(0, splitFlows)
		var foreign []gddiscovery.Change
		for _, c := range splitUpdate(both).Changes[1:] {
			u := *c.Upstream
			u.Service, u.StartUnixMilli = "parcels", u.StartUnixMilli+1000
			if !own {
				u.ID = "other-" + u.ID
			}
			f.revision++
			foreign = append(foreign, gddiscovery.Change{
				Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: u.ID}, Revision: f.revision, Upstream: &u,
			})
		}
		f.apply(foreign...)
		f.requireServed(0, splitFlows)
		f.requireServed(1, splitFlows)
	}
}

// TestRegistrationOfAnotherServiceProvesNothing: an entry with a configured service and the address
// of each upstream may be that of another writer. The agents say of which service they are. The
// upstreams' flows survive, those that they don't hold are reset, and no packet goes to the wrong one.
func TestRegistrationOfAnotherServiceProvesNothing(t *testing.T) {
	for _, shares := range [][]gddiscovery.Share{onlyBooking, both} {
		for _, tt := range []struct {
			own  bool // under the upstream's own ID
			port uint16
		}{{false, 8080}, {false, 9090}, {true, 8080}} {
			f := newSplitFleet(t, shares)
			f.openFlows(0, splitFlows)
			var foreign []gddiscovery.Change
			for i := range splitUpstreams {
				u := gddiscovery.Upstream{ID: fmt.Sprint("other-", i), Address: upstreamAt(i).WithPort(tt.port), Slots: 3, StartUnixMilli: 1 << 41}
				if tt.own {
					u.ID = upstreamAt(i).String()
				}
				u.Service = map[string]string{"booking": "gallery", "gallery": "booking"}[serviceOf(i)]
				f.revision++
				foreign = append(foreign, gddiscovery.Change{
					Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: u.ID}, Revision: f.revision, Upstream: &u,
				})
			}
			f.apply(foreign...)
			f.requireServed(0, splitFlows)
			f.requireServed(1, splitFlows)
			f.request(0, callerKey(splitFlows))
			f.request(1, callerKey(splitFlows))
			f.run(time.Second)
			require.Len(t, f.resets, 1)
			require.Zero(t, f.misdelivered())
		}
	}
}

// TestSilentHolderIsNoAnswer: the upstream that an unanswered query went to is of another
// service when the lookup ends. That proves nothing.
func TestSilentHolderIsNoAnswer(t *testing.T) {
	f := newSplitFleet(t, onlyGallery)
	last := upstreamAt(splitUpstreams - 1)
	f.agents[last].down = true
	f.request(1, callerKey(0))
	f.after(45*time.Millisecond, func() {
		f.revision++
		f.apply(gddiscovery.Change{
			Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: last.String()}, Revision: f.revision,
			Upstream: &gddiscovery.Upstream{ID: last.String(), Service: "booking", Address: last, Slots: 3},
		})
	})
	f.run(600 * time.Millisecond)
	require.Empty(t, f.resets)
}

// TestRetransmittedOpeningStaysInForce: a copy of an opening packet goes to no service that
// has left the route.
func TestRetransmittedOpeningStaysInForce(t *testing.T) {
	f := newSplitFleet(t, onlyGallery)
	f.openFlows(0, 1)
	f.configure(onlyBooking)
	p := gdflow.NewPacket(callerKey(0), gdflow.Open)
	p.Ack = 1
	for _, a := range f.entries[entryAt(0)].core.HandleCallerPacket(f.now, p, f.raw(p)) {
		require.NotEqual(t, gddispatch.Forward, a.Verb)
	}
}

// TestAgentOfAFormerServiceRestarts: only packets show which upstream holds a flow, also at
// a service that has left the route.
func TestAgentOfAFormerServiceRestarts(t *testing.T) {
	f := newSplitFleet(t, onlyGallery)
	f.openFlows(0, splitFlows)
	f.configure(onlyBooking)
	for i := splitUpstreams / 2; i < splitUpstreams; i++ {
		f.addAgent(i, false).guard.Service = "gallery"
	}
	before := f.served()
	for i := range splitFlows {
		f.request(1, callerKey(i))
		f.run(20 * time.Millisecond)
	}
	f.run(time.Second)
	require.Empty(t, f.resets)
	require.Equal(t, splitFlows, f.served()-before)
}

// TestNoPacketForAServiceOutsideTheRoute: all agents have restarted, so that only packets show
// which upstream holds a flow, and the host does not know which services the route had. A packet
// for booking reaches no upstream of gallery.
func TestNoPacketForAServiceOutsideTheRoute(t *testing.T) {
	f := &splitFleet{fleet: newFleet(t, 0, splitUpstreams, 3), revision: 100, version: 1}
	require.True(t, f.state.Load(f.now, splitUpdate(onlyBooking)))
	f.view = f.state.View()
	for i := range splitUpstreams {
		f.addAgent(i, false).guard.Service = serviceOf(i)
	}
	f.addEntry(0)
	for i := range splitFlows {
		f.request(0, callerKey(i))
		f.run(20 * time.Millisecond)
	}
	f.run(2 * time.Second)
	for i := splitUpstreams / 2; i < splitUpstreams; i++ {
		require.Empty(t, f.agents[upstreamAt(i)].misdelivered)
	}
	require.Empty(t, f.resets, "an agent of gallery that does not know proves nothing")
}
