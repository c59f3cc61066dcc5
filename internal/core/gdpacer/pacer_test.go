package gdpacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdpacer"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	rate     = 1_000_000 // bytes a second
	bulk     = 1200
	overhead = 60
)

func key(i int) gdflow.Key {
	return gdflow.NewKey(gdflow.AddressFrom([4]byte{100, 64, 0, 7}, uint16(i)), gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))
}

func packet(flow int, seq uint32, size int) gdpacer.Packet {
	return gdpacer.Packet{Key: key(flow), Seq: seq, Size: size, Datagram: make([]byte, size+overhead)}
}

// link simulates the queue of a link.
type link struct {
	rate   float64
	freeAt time.Time
}

// send returns when the link has sent the bytes.
func (l *link) send(now time.Time, bytes int) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.freeAt
}

// TestRequestsPassUploads plays the seconds after a power loss on a slow link: uploads of
// many callers begin together, each with 16 packets in flight, beside short requests. The
// requests must not wait behind the uploads, and these must use what the requests leave.
func TestRequestsPassUploads(t *testing.T) {
	const uploads, window, perUpload = 20, 16, 67
	wait := func(paced bool) (slowest time.Duration, done time.Duration) {
		p := &gdpacer.Pacer{}
		if paced {
			p.BytesPerSecond = 0.8 * rate
		}
		l := &link{rate: rate}
		sent, acked := make([]int, uploads), 0
		var acks []time.Time // when each forwarded packet lets its sender send another one
		forward := func(now time.Time, k gdpacer.Packet) {
			acks = append(acks, l.send(now, len(k.Datagram)).Add(5*time.Millisecond))
		}
		next := 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
			for u := range sent {
				for sent[u] < perUpload && sent[u] < window+acked/uploads {
					k := packet(100+u, uint32(sent[u]*bulk), bulk)
					d := p.Offer(now, k)
					if d == gdpacer.Dropped {
						break // the caller sends it again later
					}
					sent[u]++
					if d == gdpacer.Pass {
						forward(now, k)
					}
				}
			}
			for k := range p.Due(now) {
				forward(now, k)
			}
			if now.Sub(start)%(20*time.Millisecond) == 0 {
				k := packet(1, uint32(next), 150)
				next += 150
				require.Equal(t, gdpacer.Pass, p.Offer(now, k))
				slowest = max(slowest, l.send(now, len(k.Datagram)).Sub(now))
			}
			for len(acks) > 0 && !acks[0].After(now) {
				acks = acks[1:]
				acked++
			}
			if acked == uploads*perUpload {
				return slowest, now.Sub(start)
			}
		}
		t.Fatal("the uploads did not end")
		return 0, 0
	}
	slowest, _ := wait(false)
	require.Greater(t, slowest, 200*time.Millisecond, "the test plays a link that is too slow")
	slowest, done := wait(true)
	require.Less(t, slowest, 30*time.Millisecond)
	ideal := time.Duration(uploads * perUpload * (bulk + overhead) * int(time.Second) / rate)
	require.Less(t, done, ideal*3/2, "uploads use the rate")
}

func TestOrderWithinAFlowIsKept(t *testing.T) {
	p := &gdpacer.Pacer{BytesPerSecond: rate}
	seq := uint32(0)
	for p.Offer(start, packet(1, seq, bulk)) == gdpacer.Pass {
		seq += bulk
	}
	require.Equal(t, gdpacer.Queued, p.Offer(start, packet(1, seq+bulk, 100)), "the end of the upload")
	require.Equal(t, gdpacer.Pass, p.Offer(start, packet(1, seq, 0)), "an acknowledgement")
	require.Equal(t, gdpacer.Pass, p.Offer(start, packet(2, 1, 100)), "another flow")
	require.Equal(t, gdpacer.Duplicate, p.Offer(start, packet(1, seq, bulk)), "a retransmission")
	var got []uint32
	for p.Queued() > 0 {
		for k := range p.Due(p.NextDue()) {
			got = append(got, k.Seq)
		}
	}
	require.Equal(t, []uint32{seq, seq + bulk}, got)
	require.True(t, p.NextDue().IsZero())
}

func TestQueueIsBounded(t *testing.T) {
	p := &gdpacer.Pacer{BytesPerSecond: rate}
	queued, dropped := 0, 0
	for i := range uint32(1000) {
		switch p.Offer(start, packet(1, i*bulk, bulk)) {
		case gdpacer.Queued:
			queued++
		case gdpacer.Dropped:
			dropped++
		}
	}
	require.Positive(t, dropped)
	require.Less(t, queued*(bulk+overhead), rate/5, "a retransmission timeout of 200 ms")
}

func TestZeroRateMeansNoLimit(t *testing.T) {
	var p gdpacer.Pacer
	for i := range uint32(1000) {
		require.Equal(t, gdpacer.Pass, p.Offer(start, packet(1, i, bulk)))
	}
	require.True(t, p.NextDue().IsZero())
}
