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

// header returns the header of an entry host with a current view.
func header(revision gddiscovery.Revision) gdguard.Header {
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

// hold opens a flow that the upstream accepts with the sequence number and the caller
// confirms.
func hold(t *testing.T, g *gdguard.Guard, now time.Time, i int, seq uint32) {
	t.Helper()
	h := header(1)
	h.Forced = true
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, h, openPacket(i))).Verb)
	actions := g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, seq, 1, 0))
	require.Equal(t, gdguard.ReportAccepted, actions[0].Verb)
	require.Equal(t, gdguard.SendToCaller, actions[1].Verb)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, header(1), packet(i, gdflow.Data, 1, seq+1, 0))).Verb)
}

func TestNewFlowsAreRefused(t *testing.T) {
	draining := header(5)
	draining.Status.AcceptsNew = false
	wrong := header(5)
	wrong.Service = gddiscovery.ServiceHash("gallery")
	tests := []struct {
		name   string
		prep   func(t *testing.T, g *gdguard.Guard)
		header gdguard.Header
		want   gdguard.Reason
	}{
		{"for another service", nil, wrong, gdguard.WrongService},
		{"draining", nil, draining, gdguard.Draining},
		{"draining, as another entry host reported", func(_ *testing.T, g *gdguard.Guard) {
			g.UpdateStatus(start, draining)
		}, header(4), gdguard.Draining},
		{"agent is shutting down", func(_ *testing.T, g *gdguard.Guard) { g.Leave() }, header(5), gdguard.Leaving},
		{"upstream exited", func(_ *testing.T, g *gdguard.Guard) {
			g.HandleUpstreamExit(start)
			g.HandleEntryPacket(start, entry, header(5), openPacket(9)) // a probe is delivered now and then
		}, header(5), gdguard.Exited},
		{"all slots in use", func(t *testing.T, g *gdguard.Guard) {
			for i := range 3 {
				hold(t, g, start, 10+i, 7)
			}
		}, header(5), gdguard.Busy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			if tt.prep != nil {
				tt.prep(t, g)
			}
			a := only(t, g.HandleEntryPacket(start, other, tt.header, openPacket(1)))
			require.Equal(t, gdguard.Return, a.Verb)
			require.Equal(t, tt.want, a.Reason)
			require.Equal(t, other, a.Entry)
		})
	}
}

func TestBusyUpstreamAcceptsForcedFlow(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	for i := range 3 {
		hold(t, g, start, 10+i, 7)
	}
	h := header(5)
	h.Forced = true
	for i := range 6 {
		require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, h, openPacket(i))).Verb)
	}
	require.Equal(t, 9, g.Load())
	require.Equal(t, gdguard.Busy, only(t, g.HandleEntryPacket(start, entry, h, openPacket(7))).Reason, "three per slot")
	h.Urgent = true
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, h, openPacket(7))).Verb, "the limit for urgent flows is higher")
}

// TestColdUpstreamStaysWithinFlowLimit counts the flows from all entry hosts in any second.
func TestColdUpstreamStaysWithinFlowLimit(t *testing.T) {
	const perSecond = 20
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	h := header(5)
	h.Status.ColdFlowsPerSecond, h.Status.ColdLeft, h.Status.Slots = perSecond, 3*time.Second, 255
	var accepted []time.Time
	for i := range 4000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		from := entry
		if i%2 == 0 {
			from = other
		}
		h.Status.ColdLeft = max(0, 3*time.Second-now.Sub(start))
		if only(t, g.HandleEntryPacket(now, from, h, openPacket(i))).Verb == gdguard.Deliver {
			accepted = append(accepted, now)
			g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 1, 1, 0))
			g.HandleUpstreamPacket(now, packet(i, gdflow.Data, 1, 1, 1))
		}
	}
	inSecond := 0
	for i, at := range accepted {
		n := 0
		for _, b := range accepted[i:] {
			if b.Before(at.Add(time.Second)) && b.Before(start.Add(3*time.Second)) {
				n++
			}
		}
		inSecond = max(inSecond, n)
	}
	require.LessOrEqual(t, inSecond, perSecond)
	require.Greater(t, len(accepted), 3*perSecond, "the limit ends with the slow start")
}

// TestOlderStatusIsIgnored: an entry host that was paused reports an old status.
func TestOlderStatusIsIgnored(t *testing.T) {
	g := &gdguard.Guard{Service: "booking"}
	update := func(revision gddiscovery.Revision, acceptsNew bool) bool {
		h := header(revision)
		h.Status.AcceptsNew = acceptsNew
		return g.UpdateStatus(start, h)
	}
	require.True(t, update(9, false))
	require.False(t, update(8, true))
	require.False(t, g.Status().AcceptsNew)
	require.True(t, update(10, true))
	require.Equal(t, gddiscovery.Revision(10), g.Revision())
	other := header(11)
	other.Service = gddiscovery.ServiceHash("gallery")
	other.Status.AcceptsNew = false
	require.False(t, g.UpdateStatus(start, other), "status of the service that used the address before")
	require.True(t, g.Status().AcceptsNew)
}

// TestCopyAcceptedByTwoUpstreams: if two upstreams accept copies of the opening packet,
// the flow is held by the one whose sequence number the caller acknowledges.
func TestCopyAcceptedByTwoUpstreams(t *testing.T) {
	const mine, others = 1000, 3_000_000_000
	for _, tt := range []struct {
		ack  uint32
		want gdguard.Verb
	}{{mine + 1, gdguard.Deliver}, {others + 1, gdguard.Return}} {
		g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
		g.HandleEntryPacket(start, entry, header(1), openPacket(1))
		g.HandleUpstreamPacket(start, packet(1, gdflow.Accept, mine, 1, 0))
		require.Equal(t, tt.want, only(t, g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, 1, tt.ack, 10))).Verb)
	}
}

func TestUnknownFlows(t *testing.T) {
	confirm := header(1)
	confirm.Confirm = true
	data := packet(1, gdflow.Data, 1, 50, 10)
	back := data
	back.Returned = true

	t.Run("agent that was started with its upstream knows all flows", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleEntryPacket(start, entry, confirm, data)).Reason)
	})
	t.Run("restarted agent probes its upstream once", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, confirm, data)).Verb)
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleUpstreamPacket(start, back)).Reason)
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleEntryPacket(start, other, confirm, data)).Reason)
	})
	t.Run("restarted agent learns from the answer", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.HandleEntryPacket(start, entry, confirm, data)
		actions := g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 50, 11, 0))
		require.Equal(t, gdguard.ReportHeld, actions[0].Verb)
		require.Equal(t, entry, actions[0].Entry)
		require.Equal(t, gdguard.SendToCaller, actions[1].Verb)
	})
	t.Run("restarted agent treats a flow as held if its packet is not returned before later ones of the upstream", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.HandleEntryPacket(start, entry, confirm, data)
		g.HandleUpstreamPacket(start.Add(5*time.Millisecond), packet(3, gdflow.Data, 1, 1, 0))
		actions := g.HandleEntryPacket(start.Add(6*time.Millisecond), other, header(1), packet(2, gdflow.Data, 1, 1, 0))
		require.Equal(t, gdguard.Action{Verb: gdguard.ReportHeld, Key: key(1), Entry: entry}, actions[0])
		require.Len(t, actions, 2)
	})
	t.Run("long-running agent knows all flows", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking"}
		g.HandleEntryPacket(start, entry, header(1), openPacket(9))
		later := start.Add(61 * time.Second)
		require.Equal(t, gdguard.NotHeld, only(t, g.HandleEntryPacket(later, entry, confirm, data)).Reason)
	})
}

// TestForgedReturnIsDropped: a packet that is marked as returned by the upstream, but
// never passed through the agent, is dropped.
func TestForgedReturnIsDropped(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	p := packet(3, gdflow.Data, 1, 1, 0)
	p.Returned = true
	require.Equal(t, gdguard.Drop, only(t, g.HandleUpstreamPacket(start, p)).Verb)
}

// TestUpstreamExitResetsItsFlows: callers can retry at once with another upstream.
func TestUpstreamExitResetsItsFlows(t *testing.T) {
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
	require.Empty(t, g.HandleUpstreamExit(start), "flows are reset once")
	require.Zero(t, g.Load())
}

// TestRestartedUpstreamAcceptsFlowsAgain: an agent whose upstream has exited delivers a
// probe now and then, and accepts flows again once the upstream answers.
func TestRestartedUpstreamAcceptsFlowsAgain(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	g.HandleUpstreamExit(start)
	delivered := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if only(t, g.HandleEntryPacket(now, entry, header(1), openPacket(i))).Verb == gdguard.Deliver {
			delivered++
			if delivered == 3 {
				g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 5, 1, 0))
				break
			}
		}
	}
	require.Equal(t, 3, delivered)
	later := start.Add(2*time.Second + 900*time.Millisecond)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(later, entry, header(1), openPacket(200))).Verb)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(later, entry, header(1), openPacket(201))).Verb)
}

// TestShouldProbe: the port of an upstream that sends nothing is probed while requests
// are in progress.
func TestShouldProbe(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 100)
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 101, 1, 10))
	require.False(t, g.ShouldProbe(start.Add(time.Second)), "no request is in progress")
	began := start.Add(time.Second)
	g.HandleEntryPacket(began, entry, header(1), packet(1, gdflow.Data, 1, 111, 10))
	require.False(t, g.ShouldProbe(began.Add(100*time.Millisecond)))
	require.True(t, g.ShouldProbe(began.Add(200*time.Millisecond)))
	require.False(t, g.ShouldProbe(began.Add(300*time.Millisecond)), "too soon after the last probe")
	require.True(t, g.ShouldProbe(began.Add(800*time.Millisecond)))
}

// TestSilentUpstream: unanswered requests for flows make the upstream silent. A probe is
// delivered now and then, and any packet of the upstream ends the state.
func TestSilentUpstream(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	h := header(1)
	h.Status.Slots = 255
	delivered, now := 0, start
	for i := range 400 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		if only(t, g.HandleEntryPacket(now, entry, h, openPacket(i))).Verb == gdguard.Deliver {
			delivered++
		}
	}
	require.LessOrEqual(t, delivered, 7+4*5, "those before the upstream counts as silent, and five probes a second")
	require.GreaterOrEqual(t, delivered, 3+3*5)
	g.HandleUpstreamPacket(now, packet(0, gdflow.Accept, 5, 1, 0))
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, h, openPacket(500))).Verb)
}

func TestLoadFollowsRequests(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 100)
	require.Equal(t, 1, g.Load(), "a request is expected on a new flow")
	g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, 1, 101, 50))
	require.Equal(t, 1, g.Load())
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 101, 51, 500))
	require.Zero(t, g.Load())
	g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, 51, 601, 50))
	require.Equal(t, 1, g.Load())
	g.HandleEntryPacket(start.Add(3*time.Second), entry, header(1), openPacket(2))
	require.Equal(t, 1, g.Load(), "an unanswered request expires")
}

func TestForwardingAllocatesNothing(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 100)
	in, out := packet(1, gdflow.Data, 1, 101, 50), packet(1, gdflow.Data, 101, 51, 500)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g.HandleEntryPacket(start, entry, header(1), in)
		g.HandleUpstreamPacket(start, out)
	}))
}

// TestAnswerTimeIsReported: the time from a request to the first bytes of its answer is
// reported once per request.
func TestAnswerTimeIsReported(t *testing.T) {
	var reported []time.Duration
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true, OnAnswer: func(took time.Duration) { reported = append(reported, took) }}
	hold(t, g, start, 1, 1000)
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 1001, 1, 0))
	require.Empty(t, reported, "an acknowledgement is not an answer")
	g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, 1, 1001, 100))
	for i := range 3 {
		at := start.Add(time.Duration(20+i) * time.Millisecond)
		g.HandleUpstreamPacket(at, packet(1, gdflow.Data, uint32(1001+1200*i), 101, 1200))
	}
	require.Equal(t, []time.Duration{20 * time.Millisecond}, reported)
}
