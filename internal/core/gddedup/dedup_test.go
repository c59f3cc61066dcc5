package gddedup

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// TestMain sets the number and the seed of the property checks, so that each
// run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "600", "rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.steps": "40"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// testViews are successive configurations of a service of 4 or 7 agents: one
// agent is replaced, then another one, then a failure domain goes out of
// service.
func testViews(large bool) []*gdconf.View {
	sets := [][]int{{1, 2, 3, 4}, {1, 2, 3, 5}, {1, 2, 6, 5}}
	if large {
		sets = [][]int{{1, 2, 3, 4, 5, 6, 7}, {1, 2, 3, 4, 5, 6, 8}, {1, 2, 3, 4, 5, 9, 8}}
	}
	return []*gdconf.View{
		testView(1, -1, sets[0]...), testView(2, -1, sets[1]...), testView(3, -1, sets[2]...), testView(4, 2, sets[2]...),
	}
}

// history drives a world by generated steps.
type history struct {
	*world
	keys    []string
	version int
}

func (h *history) agent(t *rapid.T) gdconf.UpstreamID {
	return rapid.SampledFrom(h.ids()).Draw(t, "agent")
}

func (h *history) fresh(t *rapid.T) {
	key := h.stamped()
	if rapid.Bool().Draw(t, "issued") {
		if p := h.procs[h.agent(t)]; !p.dead && !p.pausedUntil.After(h.now) {
			key = p.core.Issue(h.now, testService).String()
		}
	}
	h.keys = append(h.keys, key)
	h.attempt(key, h.agent(t))
	h.attempt(key, h.agent(t))
}

func (h *history) again(t *rapid.T) {
	if len(h.keys) > 0 {
		last := h.keys[max(0, len(h.keys)-4):]
		h.attempt(rapid.SampledFrom(last).Draw(t, "key"), h.agent(t))
	}
}

func (h *history) advance(t *rapid.T) {
	h.run(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
}

func (h *history) restart(t *rapid.T) {
	id := h.agent(t)
	h.procs[id].dead = true
	h.startProcess(id, h.views[h.version])
}

// replace starts a new process while its predecessor is paused and later
// resumes.
func (h *history) replace(t *rapid.T) {
	id := h.agent(t)
	h.procs[id].pausedUntil = h.now.Add(time.Duration(rapid.IntRange(3, 9).Draw(t, "s")) * time.Second)
	h.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
	h.startProcess(id, h.views[h.version])
}

func (h *history) pause(t *rapid.T) {
	h.procs[h.agent(t)].pausedUntil = h.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second)
}

func (h *history) partition(t *rapid.T) {
	for _, id := range h.ids() {
		h.side[id] = rapid.Bool().Draw(t, "side")
	}
}

// publish delivers the next configuration to some of the agents only.
func (h *history) publish(t *rapid.T) {
	h.version = min(h.version+1, len(h.views)-1)
	for _, id := range h.ids() {
		if p := h.procs[id]; !p.dead && rapid.Bool().Draw(t, "reached") {
			h.after(0, p, func() { h.act(p, p.core.SetView(h.now, h.views[h.version])) })
		}
	}
}

func (h *history) check(t *rapid.T) {
	if len(h.faults) > 0 {
		t.Fatalf("after %v: %v", h.now.Sub(epoch), h.faults)
	}
}

func TestKeyNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{world: newWorld(rapid.Uint64().Draw(t, "seed"), testViews(rapid.Bool().Draw(t, "large"))...)}
		t.Repeat(map[string]func(*rapid.T){
			"fresh": h.fresh, "fresh-2": h.fresh, "again": h.again, "again-2": h.again,
			"advance": h.advance, "advance-2": h.advance, "wait": func(*rapid.T) { h.run(4 * time.Second) },
			"kill":    func(t *rapid.T) { h.procs[h.agent(t)].dead = true },
			"restart": h.restart, "replace": h.replace, "pause": h.pause,
			"partition": h.partition, "heal": func(*rapid.T) { clear(h.side) }, "publish": h.publish, "": h.check,
		})
		h.run(20 * time.Second)
		h.check(t)
	})
}

// claimSucceeds makes an agent claim the key while it can reach the given peers
// only, and reports whether it would run the request.
func claimSucceeds(cores map[gdconf.UpstreamID]*Core, now time.Time, key string, self gdconf.UpstreamID, reached ...gdconf.UpstreamID) bool {
	c := cores[self]
	queue := c.Arrive(now, Request{ID: 1, Service: testService, Key: key, Relayed: true})
	for len(queue) > 0 {
		switch a := queue[0].(type) {
		case Run:
			return true
		case SendRelease:
			if slices.Contains(reached, a.Peer) {
				cores[a.Peer].ReleaseReceived(now, a.Query)
			}
		case SendQuery:
			reply := Reply{Verdict: PeerFailed}
			if slices.Contains(reached, a.Peer) {
				reply = cores[a.Peer].QueryReceived(now, a.Query)
			}
			queue = append(queue, c.ReplyReceived(now, a.ID, a.Peer, reply)...)
		}
		queue = queue[1:]
	}
	return false
}

// newCores starts one core for each agent, with the views that the agent has
// received.
func newCores(received map[gdconf.UpstreamID][]*gdconf.View) map[gdconf.UpstreamID]*Core {
	cores := map[gdconf.UpstreamID]*Core{}
	for id, views := range received {
		c := &Core{Self: id, Incarnation: uint32(id), Signer: NewSigner(nil), Rand: rand.New(rand.NewPCG(1, 1))}
		for _, v := range views {
			c.SetView(epoch, v)
		}
		for d := time.Duration(0); d < 10*time.Second; d += time.Second {
			c.Tick(epoch.Add(d))
		}
		cores[id] = c
	}
	return cores
}

// halfUpdatedViews returns the views of eight agents, half of which know that 8
// replaces 7.
func halfUpdatedViews() map[gdconf.UpstreamID][]*gdconf.View {
	seven, other := testView(1, -1, 1, 2, 3, 4, 5, 6, 7), testView(2, -1, 1, 2, 3, 4, 5, 6, 8)
	return map[gdconf.UpstreamID][]*gdconf.View{
		1: {seven}, 2: {seven}, 3: {seven}, 7: {seven}, 4: {other}, 5: {other}, 6: {other}, 8: {other},
	}
}

const stampedKey = "01a22ee6-cf40-7000-8000-000000000001" // created at 8 s

func TestTwoClaimants(t *testing.T) {
	now := epoch.Add(9 * time.Second)
	s1, s3 := testView(1, -1, 1, 2, 3, 4), testView(3, -1, 1, 2, 5, 6)
	t.Run("a configuration was skipped", func(t *testing.T) {
		cores := newCores(map[gdconf.UpstreamID][]*gdconf.View{1: {s1}, 2: {s1, s3}, 3: {s1}, 4: {s1}, 5: {s3}, 6: {s3}})
		require.True(t, claimSucceeds(cores, now, stampedKey, 3, 1, 4))
		require.False(t, claimSucceeds(cores, now, stampedKey, 5, 2, 6), "agent 2 sends agent 5 the set that it never received")
	})
	t.Run("one of seven agents was replaced", func(t *testing.T) {
		cores := newCores(halfUpdatedViews())
		first := claimSucceeds(cores, now, stampedKey, 1, 2, 3, 7)
		second := claimSucceeds(cores, now, stampedKey, 8, 4, 5, 6)
		require.False(t, first && second)
	})
	t.Run("the only agent was replaced", func(t *testing.T) {
		cores := newCores(map[gdconf.UpstreamID][]*gdconf.View{1: {testView(1, -1, 1)}, 2: {testView(2, -1, 2)}})
		require.False(t, claimSucceeds(cores, now, stampedKey, 1) && claimSucceeds(cores, now, stampedKey, 2))
	})
	t.Run("each claimant knows the set of the other", func(t *testing.T) {
		cores := newCores(map[gdconf.UpstreamID][]*gdconf.View{1: {s3, s1}, 2: {s1, s3}, 3: {s1}, 4: {s1}, 5: {s3}, 6: {s3}})
		require.True(t, claimSucceeds(cores, now, stampedKey, 2, 1, 5, 6))
		require.False(t, claimSucceeds(cores, now, stampedKey, 1, 2, 3, 4))
	})
}

// TestPausedProcessGrantsNoOldKey: its successor may have replied differently to
// queries in the meantime.
func TestPausedProcessGrantsNoOldKey(t *testing.T) {
	cores := newCores(map[gdconf.UpstreamID][]*gdconf.View{1: {testView(1, -1, 1, 2, 3)}})
	k, err := NewSigner(nil).Parse(stampedKey)
	require.NoError(t, err)
	q := Query{Service: testService, Key: k.ident, Claimant: 2, Incarnation: 9}
	require.Equal(t, Refused, cores[1].QueryReceived(epoch.Add(20*time.Second), q).Verdict)
	require.EqualValues(t, 1, cores[1].Stats().Pauses)
}

// TestReleasesOutOfOrder: queries and releases may arrive late and out of order.
func TestReleasesOutOfOrder(t *testing.T) {
	c := newCores(map[gdconf.UpstreamID][]*gdconf.View{1: {testView(1, -1, 1, 2, 3)}})[1]
	k, err := NewSigner(nil).Parse(stampedKey)
	require.NoError(t, err)
	now := epoch.Add(9 * time.Second)
	query := func(agent gdconf.UpstreamID, round uint32) Query {
		return Query{Service: testService, Key: k.ident, Claimant: agent, Round: round}
	}
	require.Equal(t, Granted, c.QueryReceived(now, query(2, 1)).Verdict)
	require.Equal(t, Granted, c.QueryReceived(now, query(2, 2)).Verdict)
	c.ReleaseReceived(now, query(2, 1))
	require.Equal(t, Taken, c.QueryReceived(now, query(3, 1)).Verdict, "the grant of round 2 stays")
	c.ReleaseReceived(now, query(2, 2))
	require.Equal(t, Refused, c.QueryReceived(now, query(2, 2)).Verdict, "a late duplicate")
	require.Equal(t, Granted, c.QueryReceived(now, query(3, 1)).Verdict)
	require.Equal(t, Reply{Verdict: Refused}, c.QueryReceived(now, Query{Service: 2, Key: k.ident, Claimant: 3}), "another service")
}
