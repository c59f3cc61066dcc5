package gdagent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

const (
	// socketBuffer is the requested size in bytes of the node socket's buffers. The
	// host may grant less.
	socketBuffer = 4 << 20
	// packetSize is the size in bytes of the QUIC packets that the agent sends. Inside
	// an envelope they fit an MTU of 1500 bytes.
	packetSize = 1280
	// idleTimeout closes a flow on which nothing arrives. It bounds how long either
	// end waits after the path of the flow is lost.
	idleTimeout = 30 * time.Second
	// keepAliveInterval is the interval of keep-alive packets on an idle flow.
	keepAliveInterval = 10 * time.Second
	// watchInterval is the interval at which the agent checks the configuration.
	watchInterval = 100 * time.Millisecond
	// drainInterval is the interval at which a draining agent checks whether its
	// requests have finished.
	drainInterval = 10 * time.Millisecond
	// firstResendDelay is the delay before the close of a flow is sent again. The
	// delay doubles with each resend.
	firstResendDelay = 50 * time.Millisecond
	// closeResends is the number of resends of a close: 6 within about 3 s.
	closeResends = 6
	// stopResends is the number of resends when the process ends: 3 within 0.35 s.
	stopResends = 3
	// nonStreamTimeout bounds the wait for requests that are not streams after the
	// drain time.
	nonStreamTimeout = 5 * time.Second
	// maxLoggedCallers is the maximum number of callers in the event of a drain that
	// exceeds its time.
	maxLoggedCallers = 20
	// streamsPerFlow is the maximum number of open requests on one flow.
	streamsPerFlow = 100
)

// Requests serves the requests of callers.
type Requests interface {
	http.Handler
	// Drain relays new requests to peers. Requests in progress continue.
	Drain()
	// RefuseNew refuses new requests. Requests in progress continue.
	RefuseNew()
	// NonStreamsInProgress returns the number of requests in progress that are not
	// open streams.
	NonStreamsInProgress() int
	// InProgress returns the number of requests in progress.
	InProgress() int
	// AcceptsFlow reports whether this agent should accept a new flow.
	AcceptsFlow() bool
}

// Agent is the agent process. Its exported fields must be set before Run.
type Agent struct {
	// NodeAddress is where balancers and other agents send envelopes.
	NodeAddress netip.AddrPort
	// Name is the name of the upstream in decision records.
	Name string
	// Upstream is the upstream beside which the agent runs.
	Upstream gdconf.UpstreamID
	// Incarnation distinguishes this process from earlier ones at the same address.
	// It is a random number for each run.
	Incarnation uint32
	// Requests serves the callers' requests.
	Requests Requests
	// Fleet is the key that all processes share.
	Fleet gdkey.FleetKey
	// Config provides the active configuration.
	Config gdnode.ConfigSource
	// Certificate returns the certificate for callers, which may change.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// MaxFlows is the maximum number of open flows.
	MaxFlows int
	// Counters counts decisions.
	Counters gdnode.Counters
	// OnDecision, if set, is called with decisions on packets that open a flow and on
	// dropped packets. The rate of calls is limited.
	OnDecision func(gdnode.Decision)
	// Log receives the events.
	Log gdlog.Logger

	node     *net.UDPConn
	flows    flows
	callers  *callerConn
	openings openings
	// closing waits for the goroutines that resend closes.
	closing  sync.WaitGroup
	stopping atomic.Bool
}

// Run serves until the context ends, then drains: it relays new requests to peers
// and closes the flows once the requests in progress have finished or the service's
// drain time is over.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.open(); err != nil {
		return err
	}
	defer a.node.Close()
	conn, transport, err := a.transport()
	if err != nil {
		return err
	}
	filter, err := newPacketFilter(a, conn)
	if err != nil {
		return err
	}
	listener, err := transport.Listen(a.tlsConfig(), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	var wg sync.WaitGroup
	wg.Go(filter.run)
	wg.Go(func() { a.accept(listener) })
	a.watch(ctx)
	a.drain()
	listener.Close()
	transport.Close()
	a.node.Close()
	wg.Wait()
	return nil
}

// open opens the node socket.
func (a *Agent) open() error {
	node, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.NodeAddress))
	if err != nil {
		return errors.Wrap(err, "open node address")
	}
	// With smaller buffers than requested, the agent drops more packets in bursts.
	_ = node.SetReadBuffer(socketBuffer)
	_ = node.SetWriteBuffer(socketBuffer)
	a.node = node
	return nil
}

func (a *Agent) transport() (*callerConn, *quic.Transport, error) {
	sealer, err := gdenvelope.NewSealer(a.Fleet)
	if err != nil {
		return nil, nil, err
	}
	conn := newCallerConn(a.node, sealer, 2*a.MaxFlows, uint64(a.Incarnation))
	conn.counters = &a.Counters
	conn.service = a.service
	a.callers = conn
	var reset quic.StatelessResetKey
	copy(reset[:], a.Fleet.Derive("stateless-reset", len(reset)))
	return conn, &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: newTokens(a),
		// All agents share the key, so that an agent that replaces another one can
		// reset the flows of its predecessor.
		StatelessResetKey:   &reset,
		VerifySourceAddress: a.needsValidation,
	}, nil
}

// self returns the agent's upstream and the version of the active configuration.
func (a *Agent) self() (*gdconf.Upstream, gdconf.Version, bool) {
	v := a.Config.View()
	if v == nil {
		return nil, gdconf.Version{}, false
	}
	u, ok := v.Upstream(a.Upstream)
	return u, v.Version(), ok
}

// service returns the service of the agent's upstream and the version of the active
// configuration.
func (a *Agent) service() (gdconf.ServiceID, gdconf.Version, bool) {
	u, v, ok := a.self()
	if !ok {
		return 0, gdconf.Version{}, false
	}
	return u.Service().ID(), v, true
}

func (a *Agent) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         a.Certificate,
		SessionTicketsDisabled: true,
	})
}

func quicConfig() *quic.Config {
	return &quic.Config{
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAliveInterval,
		MaxIncomingStreams:      streamsPerFlow,
		// A replayed 0-RTT request could run twice.
		Allow0RTT: false,
	}
}

// accept accepts connections and serves each one in a goroutine of its own. It does
// nothing else, so that a burst of callers does not fill the transport's short queue.
func (a *Agent) accept(l *quic.Listener) {
	server := &http3.Server{Handler: a.Requests}
	for {
		c, err := l.Accept(context.Background())
		if err != nil {
			return
		}
		a.flows.add(c)
		go func() {
			defer a.flows.remove(c)
			a.Log.Event(gdlog.FlowOpened, "caller", c.RemoteAddr().String())
			err := server.ServeQUICConn(c)
			a.Log.Failure(flowEndEvent(err), err, "caller", c.RemoteAddr().String())
		}()
	}
}

// State is the part of a dump that is specific to agents.
type State struct {
	Flows      int  `json:"flows"`
	InProgress int  `json:"requests-in-progress"`
	Stopping   bool `json:"stopping"`
}

// State returns the agent's state for the dump.
func (a *Agent) State() State {
	return State{
		Flows:      a.flows.count(),
		InProgress: a.Requests.InProgress(),
		Stopping:   a.stopping.Load(),
	}
}
