package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// slowLink is the bandwidth of a link of 10 Mbit/s, in bytes per second.
const slowLink = 1.25e6

// newSlowHost adds an entry host with a slow link, which knows no flow yet.
func newSlowHost(f *fleet, i int) *entry {
	e := f.addEntry(i)
	e.core.LinkBytesPerSecond, e.link.bytesPerSecond = slowLink, slowLink
	return e
}

// TestUploadsReturnOverSlowLink answers the pattern of a loss of power after which the
// uploads of all callers come to the first entry host that is back, on a slow link: their
// packets must not fill it while the flows are looked up, so that new flows are accepted.
func TestUploadsReturnOverSlowLink(t *testing.T) {
	const uploads, window, upstreams, opened = 120, 16, 46, 100
	for _, tc := range []struct {
		name  string
		fresh bool // the agents know that their upstreams hold no flow
	}{{"agents know their flows", true}, {"agents are unsure", false}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1, upstreams, 2)
			openAll(f, uploads)
			for i := range upstreams {
				f.addAgent(i, tc.fresh)
			}
			e := newSlowHost(f, 1)
			for i := range uploads {
				for w := range window {
					f.after(time.Duration(i)*time.Millisecond, func() { f.sendData(1, callerKey(i), uint32(w*1200), 1200) })
				}
			}
			for i := range opened {
				f.after(time.Duration(i)*2*time.Millisecond, func() { f.open(1, callerKey(uploads+i)) })
			}
			f.run(150 * time.Millisecond)
			require.Zero(t, e.link.lost, "nothing is lost before the uploads' packets are forwarded by the pacer")
			f.run(300 * time.Millisecond)
			accepted := 0
			for i := range opened {
				if f.ackOf(callerKey(uploads+i)) > 1 {
					accepted++
				}
			}
			require.Equal(t, opened, accepted)
		})
	}
}

// TestOffersOverFullLink answers the pattern of an entry host whose link is full, or that
// comes back before all agents: the offers of one flow to all upstreams would keep the link
// full, and each that arrives takes a slot for nothing.
func TestOffersOverFullLink(t *testing.T) {
	const flows, upstreams = 300, 46
	f := newFleet(t, 1, upstreams, 2)
	e := f.entries[entryAt(0)]
	e.link = link{bytesPerSecond: slowLink, freeAt: f.now.Add(time.Second)}
	for i := range flows {
		f.after(time.Duration(i)*time.Millisecond, func() { f.open(0, callerKey(i)) })
	}
	f.run(800 * time.Millisecond)
	require.Less(t, float64(e.link.lost)/flows, 4.0, "messages for each flow")
	require.Empty(t, f.resets, "the agents may be back before the callers' next copies")

	f.run(300 * time.Millisecond) // the link is free again
	clear(f.dropped)
	for i := range flows {
		copied := gdflow.NewPacket(callerKey(i), gdflow.Open)
		copied.Ack = 2
		f.after(time.Duration(i)*time.Millisecond, func() { f.send(0, copied) })
	}
	f.run(time.Second)
	accepted := 0
	for i := range flows {
		missing, dropped := f.dropped[callerKey(i)]
		if f.ackOf(callerKey(i)) > 1 {
			accepted++
		} else {
			require.True(t, dropped && missing.Silent == 0, "the agents have refused the copy")
		}
	}
	require.GreaterOrEqual(t, accepted, 2*upstreams*2, "the slots are taken, twice in the time of the offers")
	require.Empty(t, f.resets, "offers of the first transmission may have arrived")
}
