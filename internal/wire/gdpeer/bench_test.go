package gdpeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

// meteredListener counts the TCP payload bytes of its connections in both directions.
type meteredListener struct {
	net.Listener
	bytes atomic.Int64
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: &l.bytes}, nil
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkDigest reports the CPU time and the bytes that one exchange of digests costs
// at both ends together, over a reused connection and over a new one.
func BenchmarkDigest(b *testing.B) {
	for _, reuse := range []bool{true, false} {
		name := "new connection"
		if reuse {
			name = "kept connection"
		}
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			metered := &meteredListener{Listener: l}
			id, err := gdpeer.NewIdentity(make([]byte, gdpeer.SeedBytes))
			require.NoError(b, err)
			srv := &gdpeer.Server{Identity: id, Config: &fakeProcess{}}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- srv.Serve(ctx, metered) }()
			d := &gdpeer.Dialer{Identity: id, Name: "booking-1"}
			to := gdsync.NewMember("booking-2", l.Addr().String())
			before := cpuTime(b)
			for b.Loop() {
				_, err := d.ExchangeDigest(ctx, to, gdconf.NewVersion(3, 2))
				require.NoError(b, err)
				if !reuse {
					d.Close()
				}
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(metered.bytes.Load())/float64(b.N), "wire-B/op")
			d.Close()
			cancel()
			require.NoError(b, <-done)
		})
	}
}

// cpuTime returns the CPU time of this process, which runs both ends.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
