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
	return gdflow.NewKey(gdflow.AddressFrom([4]byte{100, 64, 0, 7}, uint16(40000+i)),
		gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))
}

// carry is what a well-informed entry host says.
func carry(revision uint64) gdguard.Header {
	return gdguard.Header{
		Service: gddiscovery.ServiceHash("booking"),
		Status:  gdguard.UpstreamStatus{Revision: revision, AcceptsNew: true, Slots: 3},
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
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, c, openPacket(i))).Verb)
	actions := g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, seq, 1, 0))
	require.Equal(t, gdguard.ReportAccepted, actions[0].Verb)
	require.Equal(t, gdguard.SendToCaller, actions[1].Verb)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, carry(1), packet(i, gdflow.Data, 1, seq+1, 0))).Verb)
}

func TestNewFlowsAreRefused(t *testing.T) {
	draining := carry(5)
	draining.Status.AcceptsNew = false
	wrong := carry(5)
	wrong.Service = gddiscovery.ServiceHash("gallery")
	tests := []struct {
		name  string
		prep  func(t *testing.T, g *gdguard.Guard)
		carry gdguard.Header
		want  gdguard.Reason
	}{
		{"for another service", nil, wrong, gdguard.WrongService},
		{"draining", nil, draining, gdguard.Draining},
		{"draining, as another entry host knows", func(_ *testing.T, g *gdguard.Guard) {
			g.UpdateStatus(start, draining)
		}, carry(4), gdguard.Draining},
		{"agent shuts down", func(_ *testing.T, g *gdguard.Guard) { g.Leave() }, carry(5), gdguard.Leaving},
		{"upstream ended", func(_ *testing.T, g *gdguard.Guard) {
			g.HandleUpstreamExit(start)
			g.HandleEntryPacket(start, entry, carry(5), openPacket(9)) // one now and then may try
		}, carry(5), gdguard.Exited},
		{"all slots at work", func(t *testing.T, g *gdguard.Guard) {
			for i := range 3 {
				hold(t, g, start, 10+i, 7)
			}
		}, carry(5), gdguard.Busy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			if tt.prep != nil {
				tt.prep(t, g)
			}
			a := only(t, g.HandleEntryPacket(start, other, tt.carry, openPacket(1)))
			require.Equal(t, gdguard.Return, a.Verb)
			require.Equal(t, tt.want, a.Reason)
			require.Equal(t, other, a.Entry)
		})
	}
}

func TestForcedFlowIsTakenByBusyUpstream(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	for i := range 3 {
		hold(t, g, start, 10+i, 7)
	}
	c := carry(5)
	c.Forced = true
	for i := range 6 {
		require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, c, openPacket(i))).Verb)
	}
	require.Equal(t, 9, g.Load())
	require.Equal(t, gdguard.Busy, only(t, g.HandleEntryPacket(start, entry, c, openPacket(7))).Reason, "three for each slot")
	c.Urgent = true
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, c, openPacket(7))).Verb, "urgent ones have more room")
}

// TestColdUpstreamBearsItsBound counts the flows of all entry hosts in any second.
func TestColdUpstreamBearsItsBound(t *testing.T) {
	const perSecond = 20
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	c := carry(5)
	c.Status.ColdFlowsPerSecond, c.Status.ColdLeft, c.Status.Slots = perSecond, 3*time.Second, 255
	var taken []time.Time
	for i := range 4000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		from := entry
		if i%2 == 0 {
			from = other
		}
		c.Status.ColdLeft = max(0, 3*time.Second-now.Sub(start))
		if only(t, g.HandleEntryPacket(now, from, c, openPacket(i))).Verb == gdguard.Deliver {
			taken = append(taken, now)
			g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 1, 1, 0))
			g.HandleUpstreamPacket(now, packet(i, gdflow.Data, 1, 1, 1))
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
		c.Status.AcceptsNew = takesNew
		return g.UpdateStatus(start, c)
	}
	require.True(t, learn(9, false))
	require.False(t, learn(8, true))
	require.False(t, g.Status().AcceptsNew)
	require.True(t, learn(10, true))
	require.Equal(t, uint64(10), g.Revision())
	other := carry(11)
	other.Service = gddiscovery.ServiceHash("gallery")
	other.Status.AcceptsNew = false
	require.False(t, g.UpdateStatus(start, other), "of the service that had the address before")
	require.True(t, g.Status().AcceptsNew)
}

// TestCopyAcceptedByTwo: a flow whose opening reached two upstreams is held by the
// one whose number the caller confirms.
func TestCopyAcceptedByTwo(t *testing.T) {
	const mine, others = 1000, 3_000_000_000
	for _, tt := range []struct {
		ack  uint32
		want gdguard.Verb
	}{{mine + 1, gdguard.Deliver}, {others + 1, gdguard.Return}} {
		g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
		g.HandleEntryPacket(start, entry, carry(1), openPacket(1))
		g.HandleUpstreamPacket(start, packet(1, gdflow.Accept, mine, 1, 0))
		require.Equal(t, tt.want, only(t, g.HandleEntryPacket(start, entry, carry(1), packet(1, gdflow.Data, 1, tt.ack, 10))).Verb)
	}
}

func TestUnknownFlows(t *testing.T) {
	ask := carry(1)
	ask.Confirm = true
	data := packet(1, gdflow.Data, 1, 50, 10)
	back := data
	back.Returned = true

	t.Run("fresh agent knows all flows", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleEntryPacket(start, entry, ask, data)).Reason)
	})
	t.Run("restarted agent asks its upstream once", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, ask, data)).Verb)
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleUpstreamPacket(start, back)).Reason)
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleEntryPacket(start, other, ask, data)).Reason)
	})
	t.Run("restarted agent learns from the answer", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.HandleEntryPacket(start, entry, ask, data)
		actions := g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 50, 11, 0))
		require.Equal(t, gdguard.ReportHeld, actions[0].Verb)
		require.Equal(t, entry, actions[0].Entry)
		require.Equal(t, gdguard.SendToCaller, actions[1].Verb)
	})
	t.Run("restarted agent takes for held what is not returned", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.HandleEntryPacket(start, entry, ask, data)
		actions := g.HandleEntryPacket(start.Add(6*time.Millisecond), other, carry(1), packet(2, gdflow.Data, 1, 1, 0))
		require.Equal(t, gdguard.Action{Verb: gdguard.ReportHeld, Key: key(1), Entry: entry}, actions[0])
		require.Len(t, actions, 2)
	})
	t.Run("old agent knows all flows", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.HandleEntryPacket(start, entry, carry(1), openPacket(9))
		later := start.Add(61 * time.Second)
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleEntryPacket(later, entry, ask, data)).Reason)
	})
}

// TestForgedReturnReachesNobody: a packet that the upstream is said to have returned,
// but that never came through the agent, goes nowhere.
func TestForgedReturnReachesNobody(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	p := packet(3, gdflow.Data, 1, 1, 0)
	p.Returned = true
	require.Equal(t, gdguard.Drop, only(t, g.HandleUpstreamPacket(start, p)).Verb)
}

// TestEndOfUpstreamResetsItsFlows: callers come back at once and get another.
func TestEndOfUpstreamResetsItsFlows(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	for i := range 5 {
		hold(t, g, start, i, 100)
	}
	actions := g.HandleUpstreamExit(start)
	require.Len(t, actions, 5)
	for _, a := range actions {
		require.Equal(t, gdguard.Reset, a.Verb)
		require.Equal(t, uint32(101), a.Seq)
	}
	require.Empty(t, g.HandleUpstreamExit(start), "once")
	require.Zero(t, g.Load())
}

// TestUpstreamStartsAgain: an agent that outlives its upstream lets one flow try now
// and then, and takes flows again once the upstream answers.
func TestUpstreamStartsAgain(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	g.HandleUpstreamExit(start)
	delivered := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if only(t, g.HandleEntryPacket(now, entry, carry(1), openPacket(i))).Verb == gdguard.Deliver {
			delivered++
			if delivered == 3 {
				g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 5, 1, 0))
				break
			}
		}
	}
	require.Equal(t, 3, delivered)
	later := start.Add(2*time.Second + 900*time.Millisecond)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(later, entry, carry(1), openPacket(200))).Verb)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(later, entry, carry(1), openPacket(201))).Verb)
}

// TestDoubt: an upstream at work that says nothing is looked at, at times.
func TestDoubt(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 100)
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 101, 1, 10))
	require.False(t, g.ShouldProbe(start.Add(time.Second)), "no work")
	began := start.Add(time.Second)
	g.HandleEntryPacket(began, entry, carry(1), packet(1, gdflow.Data, 1, 111, 10))
	require.False(t, g.ShouldProbe(began.Add(100*time.Millisecond)))
	require.True(t, g.ShouldProbe(began.Add(200*time.Millisecond)))
	require.False(t, g.ShouldProbe(began.Add(300*time.Millisecond)), "not again at once")
	require.True(t, g.ShouldProbe(began.Add(800*time.Millisecond)))
}

// TestSilentUpstream: requests for flows that get no answer make it silent; a probe
// now and then, and any packet of its own, end that.
func TestSilentUpstream(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	c := carry(1)
	c.Status.Slots = 255
	delivered, now := 0, start
	for i := range 400 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		if only(t, g.HandleEntryPacket(now, entry, c, openPacket(i))).Verb == gdguard.Deliver {
			delivered++
		}
	}
	require.LessOrEqual(t, delivered, 7+4*5, "those before it shows, and five probes a second")
	require.GreaterOrEqual(t, delivered, 3+3*5)
	g.HandleUpstreamPacket(now, packet(0, gdflow.Accept, 5, 1, 0))
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, c, openPacket(500))).Verb)
}

func TestLoadFollowsRequests(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 100)
	require.Equal(t, 1, g.Load(), "a flow that was just opened brings a request")
	g.HandleEntryPacket(start, entry, carry(1), packet(1, gdflow.Data, 1, 101, 50))
	require.Equal(t, 1, g.Load())
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 101, 51, 500))
	require.Zero(t, g.Load())
	g.HandleEntryPacket(start, entry, carry(1), packet(1, gdflow.Data, 51, 601, 50))
	require.Equal(t, 1, g.Load())
	g.HandleEntryPacket(start.Add(3*time.Second), entry, carry(1), openPacket(2))
	require.Equal(t, 1, g.Load(), "a request without an answer is given up on")
}

func TestForwardingAllocatesNothing(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 100)
	in, out := packet(1, gdflow.Data, 1, 101, 50), packet(1, gdflow.Data, 101, 51, 500)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g.HandleEntryPacket(start, entry, carry(1), in)
		g.HandleUpstreamPacket(start, out)
	}))
}

// TestAnswerTimeIsTold: once a request, from its bytes to the first of the answer.
func TestAnswerTimeIsTold(t *testing.T) {
	var told []time.Duration
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true, OnAnswer: func(took time.Duration) { told = append(told, took) }}
	hold(t, g, start, 1, 1000)
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 1001, 1, 0))
	require.Empty(t, told, "an acknowledgement is no answer")
	g.HandleEntryPacket(start, entry, carry(1), packet(1, gdflow.Data, 1, 1001, 100))
	for i := range 3 {
		at := start.Add(time.Duration(20+i) * time.Millisecond)
		g.HandleUpstreamPacket(at, packet(1, gdflow.Data, uint32(1001+1200*i), 101, 1200))
	}
	require.Equal(t, []time.Duration{20 * time.Millisecond}, told)
}
