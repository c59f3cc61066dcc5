package gdload_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdfabric"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/internal/rig/gdload"
	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

// path is a fabric, an HTTP/3 server in place of balancer and agent, and one
// upstream behind it.
type path struct {
	fabric   *gdfabric.Fabric
	upstream *gdupstreamsim.Upstream
	server   *http3.Server
	load     *gdload.Load
	wrap     func(http.Handler) http.Handler
	balancer netip.Addr
}

func newPath(t *testing.T, change func(*path)) *path {
	p := &path{
		fabric: &gdfabric.Fabric{Services: []string{"booking"}, CallerDelay: time.Millisecond, Seed: 1},
		upstream: &gdupstreamsim.Upstream{
			Service: "booking", Name: "booking-1", Slots: 50,
			FeedInterval: 5 * time.Millisecond, Record: &gdupstreamsim.Record{},
		},
		wrap: func(h http.Handler) http.Handler { return h },
	}
	change(p)
	require.NoError(t, p.upstream.Listen())
	require.NoError(t, p.fabric.Listen())
	network, err := gdlisten.ClaimNetwork()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, network.Close()) })
	p.balancer = network.Addr(1, 1)
	p.fabric.SetBalancers([]gdfabric.Balancer{{Name: "a", Host: p.balancer}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = p.upstream.Run(ctx) }()
	go func() { _ = p.fabric.Run(ctx) }()
	cert, roots := certificate(t)
	p.serve(t, cert)
	p.load = &gdload.Load{
		Targets: []gdload.Target{{
			Service: "booking", Addr: p.fabric.Addr("booking"), Upstreams: []string{"booking-1"},
			EchoFlows: 3, FeedFlows: 2, OnceFlows: 2,
		}},
		Roots: roots, Record: p.upstream.Record, Interval: 5 * time.Millisecond, Seed: 1,
	}
	return p
}

func (p *path) serve(t *testing.T, cert tls.Certificate) {
	target, err := url.Parse(p.upstream.URL())
	require.NoError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: p.balancer.AsSlice(), Port: int(p.fabric.Addr("booking").Port()),
	})
	require.NoError(t, err)
	p.server = &http3.Server{
		Handler: p.wrap(proxy),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}}),
	}
	go func() { _ = p.server.Serve(conn) }()
	t.Cleanup(func() { _ = p.server.Close(); _ = conn.Close() })
}

func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// run runs the load until enough returns true, so that the result does not depend
// on the speed of the machine.
func (p *path) run(t *testing.T, enough func(gdload.Result) bool) gdload.Result {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.load.Run(ctx) }()
	require.Eventually(t, func() bool { return enough(p.load.Result()) }, 30*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	return p.load.Result()
}

func TestLoadReportsNoErrorOnIntactPath(t *testing.T) {
	p := newPath(t, func(*path) {})
	r := p.run(t, func(r gdload.Result) bool { return r.Answered >= 50 && r.FeedLines >= 50 })
	require.False(t, r.Failed(), "%+v", r)
	require.Zero(t, r.Unknown+r.AbortedFlows+r.FailedConnects, "%+v", r)
	require.Equal(t, 1.0, r.Imbalance)
}

func TestLoadDetectsEachFault(t *testing.T) {
	for _, tc := range []struct {
		name string
		wrap func(http.Handler) http.Handler
		done func(gdload.Result) bool
	}{
		{"answer of another service", withHeader(gdupstreamsim.HeaderService, "gallery"), func(r gdload.Result) bool { return r.Misrouted > 0 }},
		{"answer to another request", withHeader(gdupstreamsim.HeaderRequestID, "x"), func(r gdload.Result) bool { return r.Wrong > 0 }},
		{"not-run request that ran", refuseAfterRun, func(r gdload.Result) bool { return r.Wrong > 0 && r.RefusedNotRun > 0 }},
		{"run twice", runTwice, func(r gdload.Result) bool { return r.DuplicateRuns > 0 }},
		{"connection closed", closeWith(1), func(r gdload.Result) bool { return r.BrokenFlows > 0 && r.AbortedFlows == 0 }},
		{"failure domain out", closeWith(gdload.CodeDomainOut), func(r gdload.Result) bool { return r.AbortedFlows > 0 && r.BrokenFlows == 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPath(t, func(p *path) { p.wrap = tc.wrap })
			p.run(t, tc.done)
		})
	}
}

func TestPacketFaultsChangeNoAnswer(t *testing.T) {
	p := newPath(t, func(*path) {})
	p.fabric.SetDropRate(0.02)
	p.fabric.SetDuplicateRate(0.1)
	p.fabric.SetReorderRate(0.1)
	r := p.run(t, func(r gdload.Result) bool { return r.Answered >= 50 && r.FeedLines >= 50 })
	require.False(t, r.Failed(), "%+v", r)
	n := p.fabric.Counts()
	require.NotZero(t, n.Dropped*n.Duplicated*n.Reordered, "%+v", n)
}

func TestBlackholedCallerReconnects(t *testing.T) {
	p := newPath(t, func(*path) {})
	p.load.FeedStallTimeout = time.Second // ten lines at the default interval
	p.load.Targets[0].EchoFlows, p.load.Targets[0].OnceFlows = 0, 0
	var blackholed bool
	r := p.run(t, func(r gdload.Result) bool {
		if r.FeedLines >= 10 && !blackholed {
			blackholed = true
			p.fabric.BlackholeCaller(p.fabric.Callers("booking")[0])
		}
		return r.BrokenFlows == 1 && r.Connects == 3
	})
	require.Equal(t, 1, r.BrokenFlows)
}

func withHeader(key, value string) func(http.Handler) http.Handler {
	return func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(&headerWriter{ResponseWriter: w, key: key, value: value}, r)
		})
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// headerWriter replaces one header field of each answer.
type headerWriter struct {
	http.ResponseWriter
	key, value string
}

func (w *headerWriter) WriteHeader(code int) {
	w.Header().Set(w.key, w.value)
	w.ResponseWriter.WriteHeader(code)
}

func (w *headerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// discard is a ResponseWriter that discards the answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func refuseAfterRun(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			h.ServeHTTP(discard{http.Header{}}, r)
		}
		w.Header().Set(gdload.HeaderOutcome, gdload.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

func runTwice(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		twin := r.Clone(r.Context())
		twin.Body = http.NoBody
		twin.ContentLength = 0
		h.ServeHTTP(discard{http.Header{}}, twin)
		h.ServeHTTP(w, r)
	})
}

func closeWith(code uint64) func(http.Handler) http.Handler {
	return func(http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			conn := r.Context().Value(connKey{}).(*quic.Conn)
			_ = conn.CloseWithError(quic.ApplicationErrorCode(code), "closed by the test")
		})
	}
}
