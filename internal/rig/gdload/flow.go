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
	packetSize     = 1280 // bytes; leaves room for the balancer's envelope
	idleTimeout    = 15 * time.Second
	keepAlive      = 3 * time.Second
	connectTimeout = 5 * time.Second
	// connectWithin is the time over which all flows connect.
	connectWithin   = 100 * time.Millisecond
	reconnectPause  = 100 * time.Millisecond
	maxOnceAttempts = 4
)

// errOwnWish ends a connection because the run is over.
var errOwnWish = errors.New("the run is over")

// flow is one caller with one connection at a time.
type flow struct {
	load   *Load
	target Target
	kind   kind
	name   string
	rng    *rand.Rand
	sent   int
	stamps bool // chooses the keys of its at-most-once requests itself
}

func newFlow(l *Load, t Target, k kind, n uint64) *flow {
	t.OncePath = or(t.OncePath, defaultOnce)
	return &flow{
		load:   l,
		target: t,
		kind:   k,
		name:   fmt.Sprintf("%s-%s-%d-%d", t.Service, k, l.Seed, n),
		rng:    rand.New(rand.NewPCG(l.Seed, n)),
		stamps: n%2 == 0,
	}
}

// run connects and uses the connection, again and again, until ctx ends.
func (f *flow) run(ctx context.Context) {
	f.pause(ctx, connectWithin/2)
	for ctx.Err() == nil {
		c, err := f.connect(ctx)
		if err != nil {
			f.connectFailed(ctx, err)
			continue
		}
		f.load.tally.change(func(r *Result) { r.Connects++ })
		err = f.use(ctx, c)
		c.close()
		f.ended(ctx, c, err)
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
	f.load.tally.fault(f.name+": connect: "+err.Error(), func(r *Result) { r.FailedConnects++ })
	f.pause(ctx, reconnectPause)
}

// ended counts the end of a connection.
func (f *flow) ended(ctx context.Context, c *conn, err error) {
	switch {
	case ctx.Err() != nil || errors.Is(err, errOwnWish):
	case domainOut(err) || domainOut(c.cause):
		f.load.tally.change(func(r *Result) { r.AbortedFlows++ })
	default:
		words := fmt.Sprintf("%s: flow from %s broken: %v", f.name, c.local, err)
		f.load.tally.fault(words, func(r *Result) { r.BrokenFlows++ })
	}
}

// domainOut reports whether the agent closed the flow with its failure domain.
func domainOut(err error) bool {
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.Remote && app.ErrorCode == CodeDomainOut
	}
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.Remote && h3.ErrorCode == CodeDomainOut
}

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
	cause     error // why the connection ended before it was closed here
}

func (f *flow) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	socket, err := f.open()
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	c := &conn{local: socket.LocalAddr().String(), socket: socket, transport: &quic.Transport{Conn: socket}}
	c.quic, err = c.transport.Dial(ctx, net.UDPAddrFromAddrPort(f.target.Addr), f.tls(), quicConfig())
	if err != nil {
		c.close()
		return nil, errors.Wrap(err, "dial "+f.target.Addr.String())
	}
	c.http = (&http3.Transport{DisableCompression: true}).NewClientConn(c.quic)
	return c, nil
}

func (f *flow) open() (net.PacketConn, error) {
	if f.target.ListenPacket != nil {
		return f.target.ListenPacket()
	}
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func (f *flow) tls() *tls.Config {
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

// dead reports whether the connection has ended.
func (c *conn) dead() bool { return c.quic.Context().Err() != nil }
