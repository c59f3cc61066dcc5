package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// The shape of an upload in these tests: packets of 1200 bytes, 80 kB in all.
const (
	uploadPackets = 67
	packetBytes   = 1200
)

// upload delivers an upload on a flow that is open, and then the upstream's answer.
func upload(g *gdguard.Guard, now time.Time, i int, firstSeq uint32) {
	for n := range uint32(uploadPackets) {
		g.HandleEntryPacket(now, entry, header(1), packet(i, gdflow.Data, firstSeq+n*packetBytes, 8, packetBytes))
	}
	g.HandleUpstreamPacket(now, packet(i, gdflow.Data, 8, firstSeq+uploadPackets*packetBytes, 300))
}

// TestRetransmissionAfterAnswerIsNoLoad plays large uploads over a lossy path: the last
// packets of each arrive once more after the upstream has answered, because the
// acknowledgement was lost or the packets took different ways. Counted as requests, which
// nothing answers, they would make an idle upstream look busy.
func TestRetransmissionAfterAnswerIsNoLoad(t *testing.T) {
	for _, firstSeq := range []uint32{1, 1<<32 - 40_000} { // the second wraps around
		g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
		for i := range 20 {
			now := start.Add(time.Duration(i) * 40 * time.Millisecond)
			hold(t, g, now, i, 7)
			upload(g, now, i, firstSeq)
			for _, n := range []uint32{uploadPackets - 1, uploadPackets - 3} {
				late := packet(i, gdflow.Data, firstSeq+n*packetBytes, 8, packetBytes)
				require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, header(1), late)).Verb)
			}
			require.Zero(t, g.Load(), "upload %d", i)
		}
	}
}

// TestNextRequestOnOpenFlowIsLoad: on a flow with many requests each one counts, also if
// its packets arrive out of order.
func TestNextRequestOnOpenFlowIsLoad(t *testing.T) {
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	hold(t, g, start, 1, 7)
	upload(g, start, 1, 1)
	next := uint32(1 + uploadPackets*packetBytes)
	for _, seq := range []uint32{next + packetBytes, next} {
		g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, seq, 308, packetBytes))
		require.Equal(t, 1, g.Load())
	}
	g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 308, next+2*packetBytes, 300))
	require.Zero(t, g.Load())
}
