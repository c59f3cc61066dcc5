package gddedup

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// TestControlBytes checks the control traffic of stamped keys against the limit
// of 20 kB per second and process. It assumes that each of the 110,000 new
// flows per second over 7,900 agents, the figures of the capacity page, carries
// one such request.
func TestControlBytes(t *testing.T) {
	const (
		peers         = 6
		keysPerSecond = 110_000.0 / 7_900
		limit         = 20_000
	)
	c := newCores(halfUpdatedViews())[1]
	q := Query{Service: 1, Key: ident{0: 255}, Digest: 1 << 63, Claimant: 7_900, Incarnation: 1 << 31}
	n := Notice{Key: q.Key, Digest: q.Digest, Expires: epoch.UnixMilli(), Response: StoredResponse{Status: 200, Body: make([]byte, MaxNoticeBodyBytes)}}
	size := func(v any) int {
		b, err := cbor.Marshal(v)
		require.NoError(t, err)
		return len(b)
	}
	query, reply, notice := size(q), size(c.QueryReceived(epoch, q)), size(n)
	sent := keysPerSecond * float64(peers*(query+reply)+noticePeers*notice)
	t.Logf("query %d B, reply %d B, notice %d B, sent %.0f B/s", query, reply, notice, sent)
	require.Less(t, sent, float64(limit))
}
