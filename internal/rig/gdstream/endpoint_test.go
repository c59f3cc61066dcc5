package gdstream_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

var (
	start   = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	caller  = gdflow.AddressFrom([4]byte{100, 64, 0, 7}, 40001)
	service = gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443)
)

// TestStreamsOverLossyNetwork checks that both streams arrive complete and both endpoints
// close although packets are lost, duplicated and reordered.
func TestStreamsOverLossyNetwork(t *testing.T) {
	request, answer := bytes.Repeat([]byte("request "), 300), bytes.Repeat([]byte("answer "), 9000)
	for seed := range uint64(50) {
		network := &lossyNetwork{rand: rand.New(rand.NewPCG(seed, 1)), loss: 0.2 * float64(seed%4) / 4}
		a, b := gdstream.New(caller, service, 1<<32-700, 9000), gdstream.New(service, caller, 9000, 1<<32-700)
		a.Write(request)
		a.Finish()
		var atA, atB []byte
		answerSent := false
		for now := start; now.Before(start.Add(time.Minute)) && !(a.Closed() && b.Closed()); now = now.Add(10 * time.Millisecond) {
			for _, p := range network.carry(append(a.Poll(now), b.Poll(now)...)) {
				if p.To == service {
					atB = append(atB, b.Receive(now, p)...)
				} else {
					atA = append(atA, a.Receive(now, p)...)
				}
			}
			if b.PeerFinished() && !answerSent {
				answerSent = true
				b.Write(answer)
				b.Finish()
			}
		}
		require.True(t, a.Closed() && b.Closed(), "seed %d", seed)
		require.Equal(t, request, atB, "seed %d", seed)
		require.Equal(t, answer, atA, "seed %d", seed)
	}
}

// lossyNetwork drops, duplicates and reorders packets.
type lossyNetwork struct {
	rand *rand.Rand
	loss float64
}

func (n *lossyNetwork) carry(in []platformsim.Packet) []platformsim.Packet {
	var out []platformsim.Packet
	for _, p := range in {
		for _, share := range []float64{1 - n.loss, n.loss} {
			if n.rand.Float64() < share {
				out = append(out, p)
			}
		}
	}
	n.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// TestEndpointTimesOut checks that an endpoint times out after eight retransmissions, the
// last ones 1.6 s apart.
func TestEndpointTimesOut(t *testing.T) {
	e := gdstream.New(caller, service, 1, 1)
	e.Write([]byte("request"))
	sent := len(e.Poll(start))
	var last time.Time
	for !e.RetransmitAt().IsZero() {
		last = e.RetransmitAt()
		sent += len(e.Poll(last))
	}
	require.Equal(t, 9, sent)
	require.True(t, e.TimedOut())
	require.Equal(t, start.Add(11*time.Second), last, "0.2, 0.4 and 0.8 s, and six times 1.6 s")
}
