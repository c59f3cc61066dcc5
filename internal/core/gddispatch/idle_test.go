package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestIdleFlowsSurvive guards against resets of flows that were idle for longer than an agent
// remembered them, and for less than the configured idle timeout. The operators change it while
// the flows are open.
func TestIdleFlowsSurvive(t *testing.T) {
	for _, pause := range []time.Duration{16 * time.Second, 35 * time.Second, 50 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			f := newSplitFleet(t, both)
			f.openFlows(0, splitFlows)
			f.requireServed(0, splitFlows)
			c := f.config(both)
			c.Config.IdleTimeout = 55 * time.Second
			f.apply(c)
			for range pause / time.Second {
				f.run(time.Second)
				f.open(0, callerKey(1000+int(f.now.Unix()%1000))) // others keep the agents busy
			}
			f.requireServed(0, splitFlows)
			f.requireServed(1, splitFlows)
		})
	}
}

// TestAgentsOfOlderBuilds: an agent that says only that it does not know a flow may have
// forgotten it, if the configuration lets it be idle for longer than older builds remember.
func TestAgentsOfOlderBuilds(t *testing.T) {
	const short, long = 15 * time.Second, 16 * time.Second
	for _, tt := range []struct {
		name    string
		idle    time.Duration
		reason  gdguard.Reason
		holding gdguard.Holding
		want    gddispatch.Verb
	}{
		{"old, short timeout", short, gdguard.NotHeld, gdguard.Absent, gddispatch.Reset},
		{"old, long timeout", long, gdguard.NotHeld, gdguard.Absent, gddispatch.Drop},
		{"new, long timeout", long, gdguard.FlowClosed, gdguard.Closed, gddispatch.Reset},
		{"one of them old, long timeout", long, gdguard.FlowClosed, gdguard.Absent, gddispatch.Drop},
		{"of another service", long, gdguard.WrongService, gdguard.Closed, gddispatch.Reset},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var d gddispatch.Dispatcher
			var state gddiscovery.State
			u := update(20, 3, nil)
			u.Changes[0].Config.IdleTimeout = tt.idle
			require.True(t, state.Load(start, u))
			d.SetView(start, state.View())
			d.ConfirmView(start, time.Time{})
			p := gdflow.NewPacket(callerKey(5), gdflow.Data)
			now, queries := start, 0
			actions := d.HandleCallerPacket(now, p, []byte{0})
			for last := gddispatch.Verb(0); last != gddispatch.Reset && last != gddispatch.Drop; {
				if len(actions) == 0 {
					now = d.NextTick()
					actions = d.Tick(now)
				}
				pending := append([]gddispatch.Action(nil), actions...)
				actions = nil
				for _, a := range pending {
					last = a.Verb
					switch a.Verb {
					case gddispatch.Forward:
						require.True(t, a.Header.Exact)
						actions = append(actions, d.HandleReturned(now, gddispatch.ReturnInfo{From: a.To, Reason: tt.reason}, p, []byte{0})...)
					case gddispatch.Query:
						queries++
						actions = append(actions, d.HandleHoldings(now, a.To, 0, a.Keys, []gdguard.Holding{tt.holding})...)
					case gddispatch.Verify:
						actions = append(actions, d.VerifyView(now, now)...)
					default:
						require.Equal(t, tt.want, a.Verb)
					}
				}
			}
			require.NotZero(t, queries)
		})
	}
}
