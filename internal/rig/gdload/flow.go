package gdload

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	packetSize     = 1280 // bytes; leaves room for the envelope that the balancer adds
	idleTimeout    = 15 * time.Second
	keepAlive      = 3 * time.Second
	connectTimeout = 5 * time.Second
	// connectSpread is the period over which the flows spread their first connects.
	connectSpread   = 100 * time.Millisecond
	reconnectPause  = 100 * time.Millisecond
	maxOnceAttempts = 4
)

// errNotBroken ends a connection whose flow does not count as broken: the run is
// over, or its feed was refused.
var errNotBroken = errors.New("flow ended without being broken")

// flow is one caller, which has one connection at a time.
type flow struct {
	load   *Load
	target Target
	kind   kind
	name   string
	rng    *rand.Rand
	sent   int  // number of requests sent, which numbers the request IDs
	stamps bool // creates the keys of its at-most-once requests itself; see nextKey
}

func newFlow(l *Load, t Target, k kind, n uint64) *flow {
	t.OncePath = orDefault(t.OncePath, defaultOncePath)
	return &flow{
		load:   l,
		target: t,
		kind:   k,
		name:   fmt.Sprintf("%s-%s-%d-%d", t.Service, k, l.Seed, n),
		rng:    rand.New(rand.NewPCG(l.Seed, n)),
		stamps: n%2 == 0,
	}
}

// run connects, uses the connection until it ends and repeats, until ctx ends.
func (f *flow) run(ctx context.Context) {
	f.pause(ctx, connectSpread/2)
	for ctx.Err() == nil {
		c, err := f.connect(ctx)
		if err != nil {
			f.connectFailed(ctx, err)
			continue
		}
		f.load.tally.update(func(r *Result) { r.Connects++ })
		err = f.use(ctx, c)
		c.close()
		f.countEnd(ctx, c, err)
	}
}

func (f *flow) use(ctx context.Context, c *conn) error {
	switch f.kind {
	case kindFeed:
		return f.feed(ctx, c)
	case kindOnce:
		return f.requests(ctx, c, f.once)
	default:
		return f.requests(ctx, c, f.echo)
	}
}

func (f *flow) connectFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.load.tally.recordError(f.name+": connect: "+err.Error(), func(r *Result) { r.FailedConnects++ })
	f.pause(ctx, reconnectPause)
}

// countEnd counts a connection that ended as aborted or broken, unless the load
// ended it.
func (f *flow) countEnd(ctx context.Context, c *conn, err error) {
	switch {
	case ctx.Err() != nil || errors.Is(err, errNotBroken):
	case isDomainOut(err) || isDomainOut(c.cause):
		f.load.tally.update(func(r *Result) { r.AbortedFlows++ })
	default:
		msg := fmt.Sprintf("%s: flow from %s broken: %v", f.name, c.local, err)
		f.load.tally.recordError(msg, func(r *Result) { r.BrokenFlows++ })
	}
}

// isDomainOut reports whether the agent aborted the flow because its failure
// domain went out of service.
func isDomainOut(err error) bool {
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.Remote && app.ErrorCode == CodeDomainOut
	}
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.Remote && h3.ErrorCode == CodeDomainOut
}

// pause waits for a random time, uniform between 0 and twice the mean, or until
// ctx ends.
func (f *flow) pause(ctx context.Context, mean time.Duration) {
	d := time.Duration(f.rng.Float64() * 2 * float64(mean))
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// conn is an established connection with its own socket.
type conn struct {
	local     string
	socket    net.PacketConn
	transport *quic.Transport
	quic      *quic.Conn
	http      *http3.ClientConn
	cause     error // why the connection ended, if it ended before close
}

func (f *flow) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	socket, err := f.listenPacket()
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	c := &conn{local: socket.LocalAddr().String(), socket: socket, transport: &quic.Transport{Conn: socket}}
	c.quic, err = c.transport.Dial(ctx, net.UDPAddrFromAddrPort(f.target.Addr), f.tlsConfig(), quicConfig())
	if err != nil {
		c.close()
		return nil, errors.Wrap(err, "dial "+f.target.Addr.String())
	}
	c.http = (&http3.Transport{DisableCompression: true}).NewClientConn(c.quic)
	return c, nil
}

func (f *flow) listenPacket() (net.PacketConn, error) {
	if f.target.ListenPacket != nil {
		return f.target.ListenPacket()
	}
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func (f *flow) tlsConfig() *tls.Config {
	return &tls.Config{
		RootCAs:    f.load.Roots,
		ServerName: f.target.Addr.Addr().String(),
		NextProtos: []string{http3.NextProtoH3},
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
	}
}

func (c *conn) close() {
	if c.quic != nil {
		if c.quic.Context().Err() != nil {
			c.cause = context.Cause(c.quic.Context())
		}
		_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
	_ = c.transport.Close()
	_ = c.socket.Close()
}

// ended reports whether the connection has ended.
func (c *conn) ended() bool { return c.quic.Context().Err() != nil }
