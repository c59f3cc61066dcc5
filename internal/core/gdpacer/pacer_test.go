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

// The load of TestRequestsPassUploads: uploads of many callers that begin together, each with
// a window of packets in flight, beside short requests.
const (
	uploads         = 20
	window          = 16
	perUpload       = 67
	requestInterval = 20 * time.Millisecond
	requestSize     = 150
	roundTrip       = 5 * time.Millisecond
)

// uploadLoad plays the load over a link.
type uploadLoad struct {
	pacer gdpacer.Pacer
	link  link
	sent  [uploads]int
	acks  []time.Time // when each forwarded packet lets its sender send another one
	acked int
	// slowest is the longest wait of a request for the link.
	slowest time.Duration
}

func (l *uploadLoad) forward(now time.Time, k gdpacer.Packet) {
	l.acks = append(l.acks, l.link.send(now, len(k.Datagram)).Add(roundTrip))
}

// upload sends what the windows of the uploads allow.
func (l *uploadLoad) upload(now time.Time) {
	for u := range l.sent {
		for l.sent[u] < min(perUpload, window+l.acked/uploads) {
			k := packet(100+u, uint32(l.sent[u]*bulk), bulk)
			d := l.pacer.Offer(now, k)
			if d == gdpacer.Dropped {
				break // the caller sends it again later
			}
			l.sent[u]++
			if d == gdpacer.Pass {
				l.forward(now, k)
			}
		}
	}
}

// run plays the load until the uploads end, and returns how long they took.
func (l *uploadLoad) run(t *testing.T) time.Duration {
	t.Helper()
	const limit = 10 * time.Second
	for now := start; now.Before(start.Add(limit)); now = now.Add(time.Millisecond) {
		l.upload(now)
		for k := range l.pacer.Due(now) {
			l.forward(now, k)
		}
		if now.Sub(start)%requestInterval == 0 {
			k := packet(1, uint32(now.UnixNano()), requestSize)
			require.Equal(t, gdpacer.Pass, l.pacer.Offer(now, k))
			l.slowest = max(l.slowest, l.link.send(now, len(k.Datagram)).Sub(now))
		}
		for len(l.acks) > 0 && !l.acks[0].After(now) {
			l.acks = l.acks[1:]
			l.acked++
		}
		if l.acked == uploads*perUpload {
			return now.Sub(start)
		}
	}
	t.Fatal("the uploads did not end")
	return 0
}

// TestRequestsPassUploads plays the seconds after a power loss on a slow link. The requests
// must not wait behind the uploads, and these must use what the requests leave.
func TestRequestsPassUploads(t *testing.T) {
	unpaced := &uploadLoad{link: link{rate: rate}}
	unpaced.run(t)
	require.Greater(t, unpaced.slowest, 200*time.Millisecond, "the test plays a link that is too slow")

	paced := &uploadLoad{link: link{rate: rate}, pacer: gdpacer.Pacer{BytesPerSecond: 0.8 * rate}}
	took := paced.run(t)
	require.Less(t, paced.slowest, 30*time.Millisecond)
	ideal := time.Duration(uploads * perUpload * (bulk + overhead) * int(time.Second) / rate)
	require.Less(t, took, ideal*3/2, "uploads use the rate")
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

// TestUrgentPacketsAreNotBulk: reports of 900 bytes on a route of the first priorities don't
// wait behind uploads.
func TestUrgentPacketsAreNotBulk(t *testing.T) {
	p := &gdpacer.Pacer{BytesPerSecond: rate}
	for i := range uint32(100) {
		p.Offer(start, packet(1, i*bulk, bulk))
	}
	require.Positive(t, p.Queued())
	report := packet(2, 1, 900)
	require.Equal(t, gdpacer.Queued, p.Offer(start, report))
	report = packet(3, 1, 900)
	report.Urgent = true
	require.Equal(t, gdpacer.Pass, p.Offer(start, report))
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
