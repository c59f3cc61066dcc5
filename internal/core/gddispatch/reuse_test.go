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

// TestReusedPortOpensNewFlow: a caller uses a port again whose first flow the entry host
// still remembers at an upstream that drains since. A late answer about the first flow does
// not change where the second one goes.
func TestReusedPortOpensNewFlow(t *testing.T) {
	var d gddispatch.Dispatcher
	var state gddiscovery.State
	require.True(t, state.Load(start, update(2, 3, nil)))
	d.SetView(start, state.View())
	d.ConfirmView(start, time.Time{})
	k := callerKey(1)
	opens := gdflow.NewPacket(k, gdflow.Open)
	first := d.HandleCallerPacket(start, opens, []byte{1})[0].To
	d.HandleAccepted(start, first, k)
	require.Equal(t, first, d.HandleCallerPacket(start, opens, []byte{1})[0].To, "a copy")

	u := update(2, 3, func(_ int, u *gddiscovery.Upstream) { u.Draining = u.Address == first })
	u.Revision++
	for i := range u.Changes[1:] {
		u.Changes[1+i].Revision = u.Revision
	}
	now := start.Add(10 * time.Second)
	require.True(t, state.Load(now, u))
	d.SetView(now, state.View())
	d.ConfirmView(now, time.Time{})
	opens.Seq = 4_000_000_000
	second := d.HandleCallerPacket(now, opens, []byte{1})[0]
	require.Equal(t, gddispatch.ByRank, second.Reason)
	require.NotEqual(t, first, second.To)
	back := gddispatch.ReturnInfo{From: first, Reason: gdguard.NotHeld}
	d.HandleReturned(now, back, gdflow.NewPacket(k, gdflow.Data), []byte{1})
	d.HandleAccepted(now, second.To, k)
	data := gdflow.NewPacket(k, gdflow.Data)
	data.Seq, data.Size = opens.Seq+1, 100
	require.Equal(t, second.To, d.HandleCallerPacket(now, data, []byte{1})[0].To)
}

// TestResetIsNotAnswered: the reset of a caller, or one of another host that comes back to
// an entry host because the caller's address was forged, causes no further reset.
func TestResetIsNotAnswered(t *testing.T) {
	none := gdflow.NewKey(callerKey(1).Caller(), gdflow.AddressFrom([4]byte{198, 18, 0, 9}, 443))
	for name, k := range map[string]gdflow.Key{"no route": none, "flow is gone": callerKey(1)} {
		for _, kind := range []gdflow.Kind{gdflow.Data, gdflow.Reset} {
			f := newFleet(t, 1, 3, 3)
			f.send(0, gdflow.NewPacket(k, kind))
			f.run(time.Second)
			require.Equal(t, kind == gdflow.Data, len(f.resets) == 1, "%s, kind %d", name, kind)
			clear(f.resets)
			f.send(0, gdflow.NewPacket(k, kind))
			f.run(time.Second)
			require.Equal(t, kind == gdflow.Data, len(f.resets) == 1, "%s, kind %d, again", name, kind)
		}
	}
}
