package gdcapacity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"
)

const (
	// flowsPerSocket is the number of flows that share one caller's address.
	flowsPerSocket = 250
	// maxHandshakes is the maximum number of concurrent handshakes.
	maxHandshakes = 16
	// callTimeout is the timeout of one handshake or request.
	callTimeout = 10 * time.Second
	packetSize  = 1280
)

// callers holds open flows to one service.
type callers struct {
	addr    netip.AddrPort
	tls     *tls.Config
	sockets []*quic.Transport
	flows   []*flow
}

// flow is one HTTP/3 connection.
type flow struct {
	conn   *quic.Conn
	client *http3.ClientConn
	url    string
	feed   io.Closer
}

func newCallers(service string, addr netip.AddrPort, caFile string) (*callers, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the CA certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	return &callers{addr: addr, tls: &tls.Config{
		RootCAs: roots, ServerName: service, NextProtos: []string{http3.NextProtoH3}, MinVersion: tls.VersionTLS13,
	}}, nil
}

// openFlows opens flows until there are n, each with a feed if feed is set and with one
// small request otherwise.
func (c *callers) openFlows(ctx context.Context, n int, feed bool) error {
	for len(c.sockets)*flowsPerSocket < n {
		if _, err := c.addSocket(); err != nil {
			return err
		}
	}
	first := len(c.flows)
	c.flows = append(c.flows, make([]*flow, max(n-first, 0))...)
	var g errgroup.Group
	g.SetLimit(maxHandshakes)
	for i := first; i < n; i++ {
		g.Go(func() error {
			f, err := c.openFlow(ctx, c.sockets[i/flowsPerSocket], feed)
			c.flows[i] = f
			return err
		})
	}
	return g.Wait()
}

func (c *callers) addSocket() (*quic.Transport, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open a socket for callers")
	}
	t := &quic.Transport{Conn: conn}
	c.sockets = append(c.sockets, t)
	return t, nil
}

func (c *callers) openFlow(ctx context.Context, t *quic.Transport, feed bool) (*flow, error) {
	dial, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := t.Dial(dial, net.UDPAddrFromAddrPort(c.addr), c.tls, &quic.Config{
		InitialPacketSize: packetSize, DisablePathMTUDiscovery: true,
		MaxIdleTimeout: time.Hour, KeepAlivePeriod: 0,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open a flow")
	}
	f := &flow{conn: conn, client: (&http3.Transport{}).NewClientConn(conn), url: "https://" + c.addr.String()}
	if feed {
		return f, f.openFeed(ctx)
	}
	return f, f.post(ctx)
}

// post sends one small request and reads the answer.
func (f *flow) post(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/", strings.NewReader("small"))
	if err != nil {
		return errors.WithStack(err)
	}
	res, err := f.client.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "send a request on an open flow")
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return errors.Wrap(err, "read the answer to a request")
}

// openFeed opens a feed and reads it until it ends.
func (f *flow) openFeed(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/feed", http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	res, err := f.client.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "open a feed")
	}
	f.feed = res.Body
	go func() { _, _ = io.Copy(io.Discard, res.Body) }() // returns when the flow ends
	return nil
}

// sendRequests sends n requests over the flows, at most concurrency at the same time.
func (c *callers) sendRequests(ctx context.Context, n, concurrency int) error {
	var g errgroup.Group
	g.SetLimit(concurrency)
	for i := range n {
		g.Go(func() error { return c.flows[i%len(c.flows)].post(ctx) })
	}
	return g.Wait()
}

func (c *callers) close() {
	for _, f := range c.flows {
		if f != nil {
			_ = f.conn.CloseWithError(0, "")
		}
	}
	for _, t := range c.sockets {
		_ = t.Close()
		_ = t.Conn.Close()
	}
}
