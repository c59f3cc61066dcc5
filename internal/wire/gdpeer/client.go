package gdpeer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"godwitdrift.example/godwitdrift/internal/wire/gdpeerpb"
)

// client calls one peer and tracks the connections to it.
type client struct {
	rpc gdpeerpb.Peer

	mu      sync.Mutex
	active  int // calls in progress
	retired bool
	conns   map[*trackedConn]struct{}
}

// trackedConn is a connection in the set of its client, which closes it when the client
// is retired.
type trackedConn struct {
	net.Conn
	client *client
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

func newClient(d *Dialer, addr string) *client {
	c := &client{conns: map[*trackedConn]struct{}{}}
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	t := &http.Transport{
		DialContext:         c.dial,
		TLSClientConfig:     d.Identity.clientConfig(),
		TLSHandshakeTimeout: d.Timeout,
		Protocols:           &protocols,
		IdleConnTimeout:     idleConnTimeout,
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
	tracked := &trackedConn{Conn: conn, client: c}
	c.mu.Lock()
	c.conns[tracked] = struct{}{}
	c.mu.Unlock()
	return tracked, nil
}

// beginCall counts a call as active until endCall.
func (c *client) beginCall() {
	c.mu.Lock()
	c.active++
	c.mu.Unlock()
}

func (c *client) endCall() {
	c.mu.Lock()
	c.active--
	last := c.retired && c.active == 0
	c.mu.Unlock()
	if last {
		c.closeConns()
	}
}

// retire closes the connections as soon as no call is active.
func (c *client) retire() {
	c.mu.Lock()
	c.retired = true
	last := c.active == 0
	c.mu.Unlock()
	if last {
		c.closeConns()
	}
}

func (c *client) closeConns() {
	c.mu.Lock()
	var conns []*trackedConn
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// boundedTransport limits the size of responses.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBytes)
	return resp, nil
}
