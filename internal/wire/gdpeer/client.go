package gdpeer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"godwitdrift.example/godwitdrift/internal/wire/gdpeerpb"
)

// client calls one peer and owns the connections to it.
type client struct {
	rpc gdpeerpb.Peer

	mu     sync.Mutex
	active int
	gone   bool
	conns  map[*ownedConn]struct{}
}

// ownedConn is a connection that its client closes at the latest.
type ownedConn struct {
	net.Conn
	owner *client
}

// Close implements net.Conn.
func (c *ownedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func newClient(d *Dialer, addr string) *client {
	c := &client{conns: map[*ownedConn]struct{}{}}
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	t := &http.Transport{
		DialContext:         c.dial,
		TLSClientConfig:     d.Identity.clientConfig(),
		TLSHandshakeTimeout: d.Timeout,
		Protocols:           &protocols,
		IdleConnTimeout:     idleConn,
		DisableCompression:  true,
	}
	bounded := &http.Client{Transport: boundedTransport{next: t}}
	c.rpc = gdpeerpb.NewPeerProtobufClient("https://"+addr, bounded)
	return c
}

func (c *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	owned := &ownedConn{Conn: conn, owner: c}
	c.mu.Lock()
	c.conns[owned] = struct{}{}
	c.mu.Unlock()
	return owned, nil
}

// begin marks a call as active; release marks it as done.
func (c *client) begin() {
	c.mu.Lock()
	c.active++
	c.mu.Unlock()
}

func (c *client) release() {
	c.mu.Lock()
	c.active--
	last := c.gone && c.active == 0
	c.mu.Unlock()
	if last {
		c.closeConns()
	}
}

// retire closes the connections once no call is active.
func (c *client) retire() {
	c.mu.Lock()
	c.gone = true
	last := c.active == 0
	c.mu.Unlock()
	if last {
		c.closeConns()
	}
}

func (c *client) closeConns() {
	c.mu.Lock()
	var conns []*ownedConn
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// boundedTransport cuts answers that are too large.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	return resp, nil
}
