package gdagent_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/process/gdagent"
	"godwitdrift.example/godwitdrift/internal/process/gdbalancer"
	"godwitdrift.example/godwitdrift/internal/process/gdrequest"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// fixedConfig provides one view, which a test may replace.
type fixedConfig struct{ view atomic.Pointer[gdconf.View] }

func (c *fixedConfig) View() *gdconf.View                        { return c.view.Load() }
func (c *fixedConfig) MayDecide(time.Time) bool                  { return true }
func (c *fixedConfig) ObservePeerVersion(string, gdconf.Version) {}

// path is a balancer with the agents of one service, each beside an upstream that
// serves requests with a handler.
type path struct {
	conf       fixedConfig
	deployment config.Deployment
	address    string
	pool       *x509.CertPool
}

func startPath(t *testing.T, upstreams int, handler http.Handler) *path {
	t.Helper()
	p := &path{pool: x509.NewCertPool()}
	fleet, err := gdkey.Parse(strings.Repeat("5a", gdkey.Size))
	require.NoError(t, err)
	port := freePort(t)
	p.address = fmt.Sprintf("127.0.0.1:%d", port)
	p.deployment = config.Deployment{
		Name: "test", Revision: 1,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "first"}},
		Domains:   []config.Domain{{Name: "north"}, {Name: "south"}},
		Services:  []config.Service{{Name: "booking", ID: 1, Address: p.address, Priority: 1, DrainSeconds: 5}},
	}
	for i := range upstreams {
		p.deployment.Services[0].Upstreams = append(p.deployment.Services[0].Upstreams, config.Upstream{
			Name: fmt.Sprintf("booking-%d", i+1), ID: uint32(101 + i), Slots: 3,
			Domain: []string{"north", "south"}[i%2],
			Agent:  fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		})
	}
	p.publish(t)
	certificate := p.certificate(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, u := range p.deployment.Services[0].Upstreams {
		backend := httptest.NewServer(named(u.Name, handler))
		t.Cleanup(backend.Close)
		target, err := url.Parse(backend.URL)
		require.NoError(t, err)
		id := gdconf.UpstreamID(u.ID)
		requests := &gdrequest.Server{
			Self: id, Config: &p.conf, Target: target, Signer: gddedup.NewSigner([]byte("secret")), Rand: mathrand.New(mathrand.NewPCG(1, uint64(u.ID))),
		}
		wg.Go(func() { requests.Run(ctx) })
		a := &gdagent.Agent{
			NodeAddress: netip.MustParseAddrPort(u.Agent), Upstream: id, Requests: requests,
			Fleet: fleet, Config: &p.conf, Certificate: certificate, MaxFlows: 1000,
		}
		wg.Go(func() { _ = a.Run(ctx) })
	}
	b := &gdbalancer.Balancer{
		NodeAddress: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", freePort(t))), Fleet: fleet, Config: &p.conf,
	}
	wg.Go(func() { _ = b.Run(ctx) })
	return p
}

func (p *path) publish(t *testing.T) {
	t.Helper()
	v, err := gdconf.New(p.deployment)
	require.NoError(t, err)
	p.conf.view.Store(v)
}

func named(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Upstream", name)
		h.ServeHTTP(w, r)
	})
}

func freePort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

func (p *path) certificate(t *testing.T) func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"booking.test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	p.pool.AddCert(leaf)
	cert := &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert, nil }
}

// caller returns an HTTP/3 client with a flow of its own.
func (p *path) caller(t *testing.T) *http.Client {
	t.Helper()
	tr := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: p.pool, ServerName: "booking.test"},
		QUICConfig:      &quic.Config{InitialPacketSize: 1280, DisablePathMTUDiscovery: true},
	}
	t.Cleanup(func() { tr.Close() })
	return &http.Client{Transport: tr}
}

func (p *path) post(t *testing.T, c *http.Client, route, body string) (*http.Response, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+p.address+route, strings.NewReader(body))
	require.NoError(t, err)
	res, err := c.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res, string(data)
}

// echo responds while it still reads, for which net/http needs full-duplex mode.
func echo(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

func TestRequestIsServedFromEndToEnd(t *testing.T) {
	p := startPath(t, 3, http.HandlerFunc(echo))
	seen := map[string]bool{}
	// Connection IDs are random: the probability that 60 flows miss one of 3 upstreams
	// is at most 3 x (2/3)^60, which is below 1 in 10^10.
	for i := range 60 {
		body := strings.Repeat(fmt.Sprintf("chair %d ", i), 4000)
		res, got := p.post(t, p.caller(t), "/", body)
		require.Equal(t, http.StatusOK, res.StatusCode)
		require.True(t, body == got, "response %d is the complete body of its own request", i)
		seen[res.Header.Get("Upstream")] = true
	}
	require.Len(t, seen, 3, "60 flows reach each of 3 upstreams")
}

func TestFeedLineArrivesWhileTheFeedIsOpen(t *testing.T) {
	next := make(chan string)
	feed := func(w http.ResponseWriter, _ *http.Request) {
		for line := range next {
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		}
	}
	p := startPath(t, 1, http.HandlerFunc(feed))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+p.address+"/feed", http.NoBody)
	require.NoError(t, err)
	go func() { next <- "caning" }()
	res, err := p.caller(t).Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	require.True(t, lines.Scan())
	require.Equal(t, "caning", lines.Text())
	next <- "varnish"
	require.True(t, lines.Scan())
	require.Equal(t, "varnish", lines.Text())
	close(next)
	require.False(t, lines.Scan())
	require.NoError(t, lines.Err())
}

// TestKeyedRequestIsSentOnce breaks the connection to the upstream during a request.
// http.Transport would resend a request with a canonical Idempotency-Key header.
func TestKeyedRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	breaking := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		if r.Header.Get("Idempotency-Key") == "" {
			t.Error("the upstream got no key")
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	p := startPath(t, 1, http.HandlerFunc(breaking))
	c := p.caller(t)
	p.post(t, c, "/warm", "")
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+p.address+"/unlock", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "quote-7")
	res, err := c.Do(req)
	require.NoError(t, err)
	res.Body.Close()
	require.Equal(t, "not-run", res.Header.Get(gdrequest.HeaderOutcome), "a key of an unknown kind")
	req.Header.Set("Idempotency-Key", res.Header.Get(gdrequest.HeaderKey))
	res, err = c.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, "unknown", res.Header.Get(gdrequest.HeaderOutcome))
	require.EqualValues(t, 1, runs.Load())
}

func TestFlowEndsWithItsCodeWhenTheDomainGoesOut(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-block:
		case <-r.Context().Done():
		}
	}
	p := startPath(t, 1, http.HandlerFunc(hang))
	failed := make(chan error, 1)
	c := p.caller(t)
	go func() {
		res, err := c.Get("https://" + p.address + "/feed")
		if err == nil {
			res.Body.Close()
		}
		failed <- err
	}()
	time.Sleep(300 * time.Millisecond)
	p.deployment.Revision++
	p.deployment.Domains[0].State = config.StateOut
	p.publish(t)
	err := <-failed
	var h3 *http3.Error
	require.ErrorAs(t, err, &h3)
	require.EqualValues(t, gdagent.CodeDomainOut, h3.ErrorCode)
}
