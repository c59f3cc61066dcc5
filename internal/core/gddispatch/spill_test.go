package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// maxSpillMessages is how many messages spilling may add for a flow: three offers, and
// their answers.
const maxSpillMessages = 2 * 3

// split is a fleet whose route is split over two services, in a failure domain each.
type split struct {
	*fleet
	size  int // upstreams of each service
	slots int
	next  int // the number of the next flow
}

// newSplit returns a fleet with four entry hosts and as many upstreams of each service.
func newSplit(t *testing.T, size, slots int, shares ...gddiscovery.Share) *split {
	f := &split{fleet: newFleet(t, 4, 2*size, slots), size: size, slots: slots}
	for i := range size {
		f.gallery(i).guard.Service = "gallery"
	}
	f.requestOnOpen = true
	f.setView(f.viewOf(shares, nil), 0, 1, 2, 3)
	return f
}

func (f *split) booking(i int) *agent { return f.agents[upstreamAt(i)] }
func (f *split) gallery(i int) *agent { return f.agents[upstreamAt(f.size+i)] }

// viewOf returns a view with the shares of the route.
func (f *split) viewOf(shares []gddiscovery.Share, change func(*gddiscovery.Update)) *gddiscovery.View {
	u := update(2*f.size, f.slots, func(i int, up *gddiscovery.Upstream) {
		if i >= f.size {
			up.Service, up.Domain = "gallery", "b"
		}
	})
	u.Revision = f.view.Revision() + 1
	u.Changes[0].Config.Routes[0].Shares = shares
	u.Changes[0].Config.Services = append(u.Changes[0].Config.Services, gddiscovery.Service{Name: "gallery"})
	if change != nil {
		change(&u)
	}
	var state gddiscovery.State
	require.True(f.t, state.Load(f.now, u))
	return state.View()
}

func (f *split) setView(v *gddiscovery.View, entries ...int) {
	f.view = v
	for _, i := range entries {
		f.entries[entryAt(i)].core.SetView(f.now, v)
		f.entries[entryAt(i)].core.ConfirmView(f.now, time.Time{})
	}
}

// openChosen opens flows for which the service is chosen, one each millisecond, and
// returns them.
func (f *split) openChosen(entry, n int, service string) []gdflow.Key {
	r, ok := f.view.Route(serviceAt)
	require.True(f.t, ok)
	var keys []gdflow.Key
	for len(keys) < n {
		f.next++
		k := callerKey(f.next)
		if r.PickService(k.Hash()) == service {
			keys = append(keys, k)
			f.open(entry, k)
			f.run(time.Millisecond)
		}
	}
	return keys
}

// accepted returns how many flows the upstreams of each service have accepted.
func (f *split) accepted() (booking, gallery int) {
	for i := range f.size {
		booking += f.booking(i).opened
		gallery += f.gallery(i).opened
	}
	return booking, gallery
}

func bothServices(booking, gallery float64) []gddiscovery.Share {
	return []gddiscovery.Share{{Service: "booking", Weight: booking}, {Service: "gallery", Weight: gallery}}
}

func evacuate(domain string) func(*gddiscovery.Update) {
	return func(u *gddiscovery.Update) {
		u.Changes = append(u.Changes, gddiscovery.Change{
			Subject: gddiscovery.Subject{Kind: gddiscovery.Evacuation, Name: domain}, Revision: u.Revision,
		})
	}
}

// TestNoSpillWhileThereIsRoom: half of the slots are used. Each flow takes one offer, at the
// chosen service.
func TestNoSpillWhileThereIsRoom(t *testing.T) {
	f := newSplit(t, 8, 16, bothServices(1, 1)...)
	f.requestOnOpen = false
	f.openChosen(0, 32, "booking")
	f.openChosen(0, 32, "gallery")
	f.run(20 * time.Millisecond)
	booking, gallery := f.accepted()
	require.Equal(t, []int{32, 32}, []int{booking, gallery})
	require.Equal(t, 2*64, f.messages)
	require.Empty(t, f.spills)
}

// TestSpill: the chosen service can't serve more flows, and the other one has eight free slots.
// Eight flows and more are spilled, and take these slots but no more.
func TestSpill(t *testing.T) {
	cold := func(u *gddiscovery.Update) {
		u.Changes[0].Config.Services[0].ColdFlowsPerSecond = 1
		for _, c := range u.Changes {
			if c.Upstream != nil && c.Upstream.Service == "booking" {
				c.Upstream.ColdFor = time.Minute
			}
		}
	}
	tests := map[string]struct {
		change  func(*gddiscovery.Update)
		prepare func(*split)
		fill    int // flows that fill the chosen service
		cause   gddispatch.SpillCause
	}{
		"out":               {evacuate("a"), nil, 0, gddispatch.NoneAccepts},
		"busy":              {nil, nil, 12, gddispatch.NoFreeSlot},
		"cold at the limit": {cold, nil, 8, gddispatch.ColdLimit},
		"hosts without power": {nil, func(f *split) {
			for i := range f.size {
				f.booking(i).down = true
			}
		}, 0, gddispatch.NoneResponds},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSplit(t, 4, 2, bothServices(1, 1)...)
			f.work = time.Second
			f.setView(f.viewOf(bothServices(1, 1), tt.change), 0, 1, 2, 3)
			if tt.prepare != nil {
				tt.prepare(f)
			}
			f.openChosen(0, tt.fill, "booking")
			f.run(20 * time.Millisecond)
			f.openChosen(1, 8, "booking")
			f.run(200 * time.Millisecond)
			_, gallery := f.accepted()
			require.GreaterOrEqual(t, gallery, 7, "of eight slots")
			require.Positive(t, f.spills[tt.cause], f.spills)
			for i := range f.size {
				require.LessOrEqual(t, f.gallery(i).maxRunning, f.slots)
			}
			require.Zero(t, f.misdelivered())
		})
	}
}

// TestBothServicesFull: both services have four times the flows that they have slots for. No
// spilled flow gets in, flows end as those of a route with one service, and each costs at most
// the offers to the other service more.
func TestBothServicesFull(t *testing.T) {
	const flows = 32
	load := func(shares []gddiscovery.Share) *split {
		f := newSplit(t, 4, 1, bothServices(1, 1)...)
		f.work = 10 * time.Second
		f.openChosen(0, flows, "gallery")
		f.run(500 * time.Millisecond)
		r, _ := f.view.Route(serviceAt)
		var keys []gdflow.Key
		for len(keys) < flows {
			f.next++
			if k := callerKey(f.next); r.PickService(k.Hash()) == "booking" {
				keys = append(keys, k)
			}
		}
		f.setView(f.viewOf(shares, nil), 0, 1, 2, 3)
		f.messages, f.resets = 0, make(map[gdflow.Key]gddispatch.Reason)
		for _, k := range keys {
			f.open(0, k)
			f.run(time.Millisecond)
		}
		f.run(500 * time.Millisecond)
		return f
	}
	one, two := load([]gddiscovery.Share{{Service: "booking", Weight: 1}}), load(bothServices(1, 1))
	before, after := one.messages, two.messages
	require.Equal(t, len(one.resets), len(two.resets))
	require.LessOrEqual(t, after, before+flows*maxSpillMessages)
	require.Positive(t, two.spills[gddispatch.NoFreeSlot])
	_, first := one.accepted()
	_, second := two.accepted()
	require.Equal(t, first, second, "no spilled flow was accepted")
}

// TestSpilledFlowsAreFound: a second entry host that can't query all upstreams at once, because
// its view is old, finds spilled flows among the first upstreams it asks.
func TestSpilledFlowsAreFound(t *testing.T) {
	const flows = 6
	f := newSplit(t, 4, 4, bothServices(1, 1)...)
	f.requestOnOpen, f.unconfirmed = false, true
	f.setView(f.viewOf(bothServices(1, 1), evacuate("a")), 0, 1, 2, 3)
	keys := f.openChosen(0, flows, "booking")
	f.run(5 * time.Second)
	f.messages = 0
	for _, k := range keys {
		f.request(1, k)
		f.run(time.Millisecond)
	}
	f.run(time.Second)
	require.Equal(t, flows, f.served())
	require.Empty(t, f.resets)
	require.LessOrEqual(t, f.messages, 2*3*flows, "three upstreams are asked")
}

// TestWeightsChangeAtSomeHosts: the weights change from 9:1 to 5:5, and one entry host does not
// learn of it because the source is away. It finds the flows of the others, and they find its.
func TestWeightsChangeAtSomeHosts(t *testing.T) {
	const flows = 40
	f := newSplit(t, 4, 32, bothServices(9, 1)...)
	f.requestOnOpen, f.unconfirmed = false, true
	f.setView(f.viewOf(bothServices(5, 5), nil), 1, 2, 3)
	f.run(5 * time.Second)
	var keys []gdflow.Key
	for i := range flows {
		k := callerKey(i)
		keys = append(keys, k)
		f.open(i%2, k)
		f.run(time.Millisecond)
	}
	f.messages = 0
	for i, k := range keys {
		f.request(1-i%2, k)
		f.run(time.Millisecond)
	}
	f.run(time.Second)
	require.Equal(t, flows, f.served())
	require.Empty(t, f.resets)
	require.Zero(t, f.misdelivered())
	require.LessOrEqual(t, f.messages, 2*flows+4*flows/2, "only the flows that the change moves are asked for at three upstreams")
}

// TestWeightZero: a service loses its weight while its flows are open. They go on, also through
// another entry host, and it gets no new ones, although the other service is full.
func TestWeightZero(t *testing.T) {
	f := newSplit(t, 2, 2, bothServices(1, 1)...)
	f.requestOnOpen = false
	old := f.openChosen(0, 4, "booking")
	f.setView(f.viewOf(bothServices(0, 1), nil), 0, 1, 2, 3)
	f.requestOnOpen, f.work = true, time.Second
	f.openChosen(0, 20, "gallery")
	f.run(100 * time.Millisecond)
	booking, _ := f.accepted()
	require.Equal(t, len(old), booking)
	f.work = time.Millisecond
	served := f.booking(0).requests + f.booking(1).requests
	for i, k := range old {
		f.request(i%2, k)
	}
	f.run(50 * time.Millisecond)
	require.Equal(t, len(old), f.booking(0).requests+f.booking(1).requests-served)
	for _, k := range old {
		require.NotContains(t, f.resets, k)
	}
}

// TestUnknownService: the route names a service that is not configured and has no upstreams. The
// other one takes its share, also on busy upstreams, as if it were alone.
func TestUnknownService(t *testing.T) {
	f := newSplit(t, 2, 2, gddiscovery.Share{Service: "booking", Weight: 1}, gddiscovery.Share{Service: "none", Weight: 1})
	f.work = time.Second
	keys := f.openChosen(0, 8, "none")
	f.run(100 * time.Millisecond)
	booking, _ := f.accepted()
	require.Equal(t, len(keys), booking)
	require.Empty(t, f.spills)
}
