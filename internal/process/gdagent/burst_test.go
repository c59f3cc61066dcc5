package gdagent_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// TestBurstOfCallersIsAccepted connects 500 callers at the same moment, as many as one
// of four agents gets when 2,000 callers reconnect to a service.
func TestBurstOfCallersIsAccepted(t *testing.T) {
	const callers = 500
	p := startPath(t, 1, http.HandlerFunc(echo))
	p.post(t, p.caller(t), "/", "the path serves")
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	tr := &quic.Transport{Conn: socket}
	t.Cleanup(func() { tr.Close(); socket.Close() })
	to, err := net.ResolveUDPAddr("udp", p.address)
	require.NoError(t, err)
	conf := &tls.Config{RootCAs: p.pool, ServerName: "booking.test", NextProtos: []string{http3.NextProtoH3}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var refused atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c, err := tr.Dial(ctx, to, conf, &quic.Config{
				InitialPacketSize: 1280, DisablePathMTUDiscovery: true, HandshakeIdleTimeout: time.Minute,
			})
			if err != nil {
				refused.Add(1)
				t.Log(err)
				return
			}
			_ = c.CloseWithError(0, "")
		})
	}
	wg.Wait()
	require.Zero(t, refused.Load())
}
