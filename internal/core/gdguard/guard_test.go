package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

var (
	start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	entry = gdflow.AddressFrom([4]byte{10, 1, 0, 10}, 7720)
	other = gdflow.AddressFrom([4]byte{10, 2, 0, 10}, 7720)
)

func key(i int) gdflow.Key {
	return gdflow.KeyOf(gdflow.AddressFrom([4]byte{100, 64, 0, 7}, uint16(40000+i)),
		gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))
}

// carry is what a well-informed entry host says.
func carry(revision uint64) gdguard.Carry {
	return gdguard.Carry{
		Service:  gddiscovery.HashOf("booking"),
		Standing: gdguard.Standing{Revision: revision, TakesNew: true, Slots: 3},
	}
}

func openPacket(i int) gdflow.Packet { return gdflow.NewPacket(key(i), gdflow.Open) }

func packet(i int, kind gdflow.Kind, seq, ack uint32, size int) gdflow.Packet {
	p := gdflow.NewPacket(key(i), kind)
	p.Seq, p.Ack, p.Size = seq, ack, size
	return p
}

// only returns the single action of a decision.
func only(t *testing.T, actions []gdguard.Action) gdguard.Action {
	t.Helper()
	require.Len(t, actions, 1)
	return actions[0]
}

// hold opens a flow that the upstream accepts with the number and the caller
// confirms.
func hold(t *testing.T, g *gdguard.Guard, now time.Time, i int, seq uint32) {
	t.Helper()
	c := carry(1)
	c.Forced = true
	require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(now, entry, c, openPacket(i))).Verb)
	actions := g.FromUpstream(now, packet(i, gdflow.Accept, seq, 1, 0))
	require.Equal(t, gdguard.Accepted, actions[0].Verb)
	require.Equal(t, gdguard.ToCaller, actions[1].Verb)
	require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(now, entry, carry(1), packet(i, gdflow.Data, 1, seq+1, 0))).Verb)
}

func TestNewFlowsAreRefused(t *testing.T) {
	draining := carry(5)
	draining.Standing.TakesNew = false
	wrong := carry(5)
	wrong.Service = gddiscovery.HashOf("gallery")
	tests := []struct {
		name  string
		prep  func(t *testing.T, g *gdguard.Guard)
		carry gdguard.Carry
		want  gdguard.Reason
	}{
		{"for another service", nil, wrong, gdguard.WrongService},
		{"draining", nil, draining, gdguard.Draining},
		{"draining, as another entry host knows", func(_ *testing.T, g *gdguard.Guard) {
			g.Learn(start, draining)
		}, carry(4), gdguard.Draining},
		{"agent shuts down", func(_ *testing.T, g *gdguard.Guard) { g.Leave() }, carry(5), gdguard.Leaving},
		{"upstream ended", func(_ *testing.T, g *gdguard.Guard) {
			g.UpstreamEnded(start)
			g.FromEntry(start, entry, carry(5), openPacket(9)) // one now and then may try
		}, carry(5), gdguard.Ended},
		{"all slots at work", func(t *testing.T, g *gdguard.Guard) {
			for i := range 3 {
				hold(t, g, start, 10+i, 7)
			}
		}, carry(5), gdguard.Busy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", Fresh: true}
			if tt.prep != nil {
				tt.prep(t, g)
			}
			a := only(t, g.FromEntry(start, other, tt.carry, openPacket(1)))
			require.Equal(t, gdguard.Return, a.Verb)
			require.Equal(t, tt.want, a.Reason)
			require.Equal(t, other, a.Entry)
		})
	}
}

func TestForcedFlowIsTakenByBusyUpstream(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	for i := range 3 {
		hold(t, g, start, 10+i, 7)
	}
	c := carry(5)
	c.Forced = true
	for i := range 6 {
		require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(start, entry, c, openPacket(i))).Verb)
	}
	require.Equal(t, 9, g.Load())
	require.Equal(t, gdguard.Busy, only(t, g.FromEntry(start, entry, c, openPacket(7))).Reason, "three for each slot")
	c.Urgent = true
	require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(start, entry, c, openPacket(7))).Verb, "urgent ones have more room")
}

// TestColdUpstreamBearsItsBound counts the flows of all entry hosts in any second.
func TestColdUpstreamBearsItsBound(t *testing.T) {
	const perSecond = 20
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	c := carry(5)
	c.Standing.ColdPerSecond, c.Standing.ColdLeft, c.Standing.Slots = perSecond, 3*time.Second, 255
	var taken []time.Time
	for i := range 4000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		from := entry
		if i%2 == 0 {
			from = other
		}
		c.Standing.ColdLeft = max(0, 3*time.Second-now.Sub(start))
		if only(t, g.FromEntry(now, from, c, openPacket(i))).Verb == gdguard.Deliver {
			taken = append(taken, now)
			g.FromUpstream(now, packet(i, gdflow.Accept, 1, 1, 0))
			g.FromUpstream(now, packet(i, gdflow.Data, 1, 1, 1))
		}
	}
	inSecond := 0
	for i, at := range taken {
		n := 0
		for _, b := range taken[i:] {
			if b.Before(at.Add(time.Second)) && b.Before(start.Add(3*time.Second)) {
				n++
			}
		}
		inSecond = max(inSecond, n)
	}
	require.LessOrEqual(t, inSecond, perSecond)
	require.Greater(t, len(taken), 3*perSecond, "the bound ends with the cold start")
}

// TestStandingNeverReverts: an entry host that was paused says what held before.
func TestStandingNeverReverts(t *testing.T) {
	g := &gdguard.Guard{Service: "booking"}
	learn := func(revision uint64, takesNew bool) bool {
		c := carry(revision)
		c.Standing.TakesNew = takesNew
		return g.Learn(start, c)
	}
	require.True(t, learn(9, false))
	require.False(t, learn(8, true))
	require.False(t, g.Standing().TakesNew)
	require.True(t, learn(10, true))
	require.Equal(t, uint64(10), g.Revision())
	other := carry(11)
	other.Service = gddiscovery.HashOf("gallery")
	other.Standing.TakesNew = false
	require.False(t, g.Learn(start, other), "of the service that had the address before")
	require.True(t, g.Standing().TakesNew)
}

// TestCopyAcceptedByTwo: a flow whose opening reached two upstreams is held by the
// one whose number the caller confirms.
func TestCopyAcceptedByTwo(t *testing.T) {
	const mine, others = 1000, 3_000_000_000
	for _, tt := range []struct {
		ack  uint32
		want gdguard.Verb
	}{{mine + 1, gdguard.Deliver}, {others + 1, gdguard.Return}} {
		g := &gdguard.Guard{Service: "booking", Fresh: true}
		g.FromEntry(start, entry, carry(1), openPacket(1))
		g.FromUpstream(start, packet(1, gdflow.Accept, mine, 1, 0))
		require.Equal(t, tt.want, only(t, g.FromEntry(start, entry, carry(1), packet(1, gdflow.Data, 1, tt.ack, 10))).Verb)
	}
}

func TestUnknownFlows(t *testing.T) {
	ask := carry(1)
	ask.Confirm = true
	data := packet(1, gdflow.Data, 1, 50, 10)
	back := data
	back.Returned = true

	t.Run("fresh agent knows all flows", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking", Fresh: true}
		require.Equal(t, gdguard.NotHeld, only(t, g.FromEntry(start, entry, ask, data)).Reason)
	})
	t.Run("restarted agent asks its upstream once", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(start, entry, ask, data)).Verb)
		require.Equal(t, gdguard.NotHeld, only(t, g.FromUpstream(start, back)).Reason)
		require.Equal(t, gdguard.NotHeld, only(t, g.FromEntry(start, other, ask, data)).Reason)
	})
	t.Run("restarted agent learns from the answer", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.FromEntry(start, entry, ask, data)
		actions := g.FromUpstream(start, packet(1, gdflow.Data, 50, 11, 0))
		require.Equal(t, gdguard.Held, actions[0].Verb)
		require.Equal(t, entry, actions[0].Entry)
		require.Equal(t, gdguard.ToCaller, actions[1].Verb)
	})
	t.Run("restarted agent takes for held what is not returned", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.FromEntry(start, entry, ask, data)
		actions := g.FromEntry(start.Add(6*time.Millisecond), other, carry(1), packet(2, gdflow.Data, 1, 1, 0))
		require.Equal(t, gdguard.Action{Verb: gdguard.Held, Key: key(1), Entry: entry}, actions[0])
		require.Len(t, actions, 2)
	})
	t.Run("old agent knows all flows", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.FromEntry(start, entry, carry(1), openPacket(9))
		later := start.Add(61 * time.Second)
		require.Equal(t, gdguard.NotHeld, only(t, g.FromEntry(later, entry, ask, data)).Reason)
	})
}

// TestForgedReturnReachesNobody: a packet that the upstream is said to have returned,
// but that never came through the agent, goes nowhere.
func TestForgedReturnReachesNobody(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	p := packet(3, gdflow.Data, 1, 1, 0)
	p.Returned = true
	require.Equal(t, gdguard.Drop, only(t, g.FromUpstream(start, p)).Verb)
}

// TestEndOfUpstreamResetsItsFlows: callers come back at once and get another.
func TestEndOfUpstreamResetsItsFlows(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	for i := range 5 {
		hold(t, g, start, i, 100)
	}
	actions := g.UpstreamEnded(start)
	require.Len(t, actions, 5)
	for _, a := range actions {
		require.Equal(t, gdguard.End, a.Verb)
		require.Equal(t, uint32(101), a.Seq)
	}
	require.Empty(t, g.UpstreamEnded(start), "once")
	require.Zero(t, g.Load())
}

// TestUpstreamStartsAgain: an agent that outlives its upstream lets one flow try now
// and then, and takes flows again once the upstream answers.
func TestUpstreamStartsAgain(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	g.UpstreamEnded(start)
	delivered := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if only(t, g.FromEntry(now, entry, carry(1), openPacket(i))).Verb == gdguard.Deliver {
			delivered++
			if delivered == 3 {
				g.FromUpstream(now, packet(i, gdflow.Accept, 5, 1, 0))
				break
			}
		}
	}
	require.Equal(t, 3, delivered)
	later := start.Add(2*time.Second + 900*time.Millisecond)
	require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(later, entry, carry(1), openPacket(200))).Verb)
	require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(later, entry, carry(1), openPacket(201))).Verb)
}

// TestDoubt: an upstream at work that says nothing is looked at, at times.
func TestDoubt(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	hold(t, g, start, 1, 100)
	g.FromUpstream(start, packet(1, gdflow.Data, 101, 1, 10))
	require.False(t, g.Doubt(start.Add(time.Second)), "no work")
	began := start.Add(time.Second)
	g.FromEntry(began, entry, carry(1), packet(1, gdflow.Data, 1, 111, 10))
	require.False(t, g.Doubt(began.Add(100*time.Millisecond)))
	require.True(t, g.Doubt(began.Add(200*time.Millisecond)))
	require.False(t, g.Doubt(began.Add(300*time.Millisecond)), "not again at once")
	require.True(t, g.Doubt(began.Add(800*time.Millisecond)))
}

// TestSilentUpstream: requests for flows that get no answer make it silent; a probe
// now and then, and any packet of its own, end that.
func TestSilentUpstream(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	c := carry(1)
	c.Standing.Slots = 255
	delivered, now := 0, start
	for i := range 400 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		if only(t, g.FromEntry(now, entry, c, openPacket(i))).Verb == gdguard.Deliver {
			delivered++
		}
	}
	require.LessOrEqual(t, delivered, 7+4*5, "those before it shows, and five probes a second")
	require.GreaterOrEqual(t, delivered, 3+3*5)
	g.FromUpstream(now, packet(0, gdflow.Accept, 5, 1, 0))
	require.Equal(t, gdguard.Deliver, only(t, g.FromEntry(now, entry, c, openPacket(500))).Verb)
}

func TestLoadFollowsRequests(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	hold(t, g, start, 1, 100)
	require.Equal(t, 1, g.Load(), "a flow that was just opened brings a request")
	g.FromEntry(start, entry, carry(1), packet(1, gdflow.Data, 1, 101, 50))
	require.Equal(t, 1, g.Load())
	g.FromUpstream(start, packet(1, gdflow.Data, 101, 51, 500))
	require.Zero(t, g.Load())
	g.FromEntry(start, entry, carry(1), packet(1, gdflow.Data, 51, 601, 50))
	require.Equal(t, 1, g.Load())
	g.FromEntry(start.Add(3*time.Second), entry, carry(1), openPacket(2))
	require.Equal(t, 1, g.Load(), "a request without an answer is given up on")
}

func TestForwardingAllocatesNothing(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", Fresh: true}
	hold(t, g, start, 1, 100)
	in, out := packet(1, gdflow.Data, 1, 101, 50), packet(1, gdflow.Data, 101, 51, 500)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g.FromEntry(start, entry, carry(1), in)
		g.FromUpstream(start, out)
	}))
}

// TestAnswerTimeIsTold: once a request, from its bytes to the first of the answer.
func TestAnswerTimeIsTold(t *testing.T) {
	var told []time.Duration
	g := &gdguard.Guard{Service: "booking", Fresh: true, Answered: func(took time.Duration) { told = append(told, took) }}
	hold(t, g, start, 1, 1000)
	g.FromUpstream(start, packet(1, gdflow.Data, 1001, 1, 0))
	require.Empty(t, told, "an acknowledgement is no answer")
	g.FromEntry(start, entry, carry(1), packet(1, gdflow.Data, 1, 1001, 100))
	for i := range 3 {
		at := start.Add(time.Duration(20+i) * time.Millisecond)
		g.FromUpstream(at, packet(1, gdflow.Data, uint32(1001+1200*i), 101, 1200))
	}
	require.Equal(t, []time.Duration{20 * time.Millisecond}, told)
}
