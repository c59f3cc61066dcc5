package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestSilenceIsNoProofOfHolding: a restarted agent must not claim a flow for an upstream that has
// stopped sending, and so returns no packets either.
func TestSilenceIsNoProofOfHolding(t *testing.T) {
	const none = gdguard.Verb(0)
	confirm := header(1)
	confirm.Confirm = true
	data, back := packet(1, gdflow.Data, 1, 50, 10), packet(1, gdflow.Data, 1, 50, 10)
	back.Returned = true
	otherFlow := packet(2, gdflow.Data, 1, 1, 100)
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for _, tc := range []struct {
		name string
		// play is what happens after the packet was delivered.
		play func(g *gdguard.Guard)
		// report is that of the agent 20 ms later, and holding its answer to a query.
		report  gdguard.Verb
		holding gdguard.Holding
	}{
		{"upstream sends nothing", func(*gdguard.Guard) {}, gdguard.ReportUnsure, gdguard.Unsure},
		{"upstream sent something before", func(g *gdguard.Guard) { g.HandleUpstreamPacket(ms(0), otherFlow) }, gdguard.ReportUnsure, gdguard.Unsure},
		{"upstream sends something that may be from before", func(g *gdguard.Guard) { g.HandleUpstreamPacket(ms(4), otherFlow) }, gdguard.ReportUnsure, gdguard.Unsure},
		{"upstream sends something on another flow", func(g *gdguard.Guard) { g.HandleUpstreamPacket(ms(5), otherFlow) }, gdguard.ReportHeld, gdguard.Present},
		{"upstream returns the packet", func(g *gdguard.Guard) { g.HandleUpstreamPacket(ms(5), back) }, none, gdguard.Closed},
		{"upstream exits", func(g *gdguard.Guard) { g.HandleUpstreamExit(ms(1)) }, none, gdguard.Closed},
		{"upstream exits, and the next process sends something", func(g *gdguard.Guard) {
			g.HandleUpstreamExit(ms(1))
			g.HandleUpstreamPacket(ms(10), otherFlow)
		}, none, gdguard.Closed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", AgentStarted: start.Add(-time.Second)}
			require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(start, entry, confirm, data)).Verb)
			tc.play(g)
			report := none
			for now := ms(0); now.Before(ms(20)); now = now.Add(time.Millisecond) {
				if at := g.NextTick(); at.IsZero() || at.After(now) {
					continue
				}
				for _, a := range g.Tick(now) {
					require.Zero(t, report, "one report")
					require.Equal(t, entry, a.Entry)
					report = a.Verb
				}
			}
			require.Equal(t, tc.report, report)
			h := gdguard.Header{Service: gddiscovery.ServiceHash("booking"), Exact: true}
			require.Equal(t, tc.holding, g.Report(ms(20), h, key(1)))
		})
	}
}

// TestUnsureAgentAnswersEachQuestion: an entry host that hears nothing takes the agent for
// unresponsive.
func TestUnsureAgentAnswersEachQuestion(t *testing.T) {
	g := &gdguard.Guard{Service: "booking"}
	confirm := header(1)
	confirm.Confirm = true
	for i := range 5 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		g.HandleEntryPacket(now, entry, confirm, packet(1, gdflow.Data, 1, 50, 10))
		require.Equal(t, gdguard.ReportUnsure, only(t, g.Tick(g.NextTick())).Verb)
		require.Zero(t, g.NextTick())
	}
	later := start.Add(time.Second)
	require.Equal(t, gdguard.SendToCaller, only(t, g.HandleUpstreamPacket(later, packet(2, gdflow.Data, 1, 1, 100))).Verb)
	require.Equal(t, gdguard.ReportHeld, only(t, g.Tick(g.NextTick())).Verb)
}

// TestExitOfSilentUpstreamResetsNoFlowOfOthers: an agent that has only delivered packets of a flow to
// its upstream does not know that the upstream held it.
func TestExitOfSilentUpstreamResetsNoFlowOfOthers(t *testing.T) {
	g := &gdguard.Guard{Service: "booking"}
	confirm := header(1)
	confirm.Confirm = true
	for i := range 5 {
		g.HandleEntryPacket(start.Add(time.Duration(i)*10*time.Millisecond), entry, confirm, packet(i, gdflow.Data, 1, 50, 10))
	}
	require.Empty(t, g.HandleUpstreamExit(start.Add(time.Second)))
}
