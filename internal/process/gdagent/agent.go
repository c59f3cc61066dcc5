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
	// socketBuffer is the size in bytes that is asked for the node socket's
	// buffers. The host may grant less.
	socketBuffer = 4 << 20
	// packetSize is the size in bytes of the datagrams that the agent sends, so
	// that they fit a network's usual 1500 bytes inside an envelope.
	packetSize = 1280
	// idleTimeout closes a flow from which nothing comes. It bounds how long
	// either end waits for a flow whose path was lost.
	idleTimeout = 30 * time.Second
	// keepAlive is the interval of the agent's probes on an idle flow.
	keepAlive = 10 * time.Second
	// watchInterval is how often the agent compares its state with the
	// configuration.
	watchInterval = 100 * time.Millisecond
	// drainInterval is how often a draining agent looks whether it is done.
	drainInterval = 10 * time.Millisecond
	// firstRepeat is the time until a flow's close is repeated; each repeat waits
	// twice as long as the one before.
	firstRepeat = 50 * time.Millisecond
	// closeRepeats is how often the close of a flow is repeated: over 3 s.
	closeRepeats = 6
	// stopRepeats is how often it is repeated when the process ends: over 0.35 s.
	stopRepeats = 3
	// shortLimit bounds the wait for short requests after the drain time.
	shortLimit = 5 * time.Second
	// maxNamedFlows bounds the callers that the log names when a drain is held.
	maxNamedFlows = 20
	// streamsPerFlow bounds the requests that one caller has open on a flow.
	streamsPerFlow = 100
)

// Requests serves the requests of callers.
type Requests interface {
	http.Handler
	// Stop makes it take no new work: new requests move to peers, and those in
	// progress go on.
	Drain()
	// Refuse makes it refuse each new request; those in progress go on.
	RefuseNew()
	// Busy returns the number of requests in progress that are no open streams.
	NonStreamsInProgress() int
	// InProgress returns the number of requests in progress.
	InProgress() int
	// AcceptsFlow reports whether a new flow should stay at this agent.
	AcceptsFlow() bool
}

// Agent is the process. Its exported fields are set before Run.
type Agent struct {
	// NodeAddress is where balancers and other agents send envelopes.
	NodeAddress netip.AddrPort
	// Name is the name of the upstream, for decision records.
	Name string
	// Upstream is the upstream beside which the agent runs.
	Upstream gdconf.UpstreamID
	// Incarnation tells this process from earlier ones in its place. It is random
	// for each run.
	Incarnation uint32
	// Requests serves what callers ask for.
	Requests Requests
	// Fleet is the key that all processes share.
	Fleet gdkey.FleetKey
	// Config is the configuration in force.
	Config gdnode.ConfigSource
	// Certificate gives the certificate for callers; it may change.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// MaxFlows bounds the open flows.
	MaxFlows int
	// Counters counts decisions.
	Counters gdnode.Counters
	// OnDecision is called with the decisions on packets that open a flow and on
	// dropped ones, within a rate. It may be nil.
	OnDecision func(gdnode.Decision)
	// Log takes the events.
	Log gdlog.Logger

	node     *net.UDPConn
	flows    flows
	callers  *callerConn
	openings openings
	// closing waits for the repeats of closes.
	closing  sync.WaitGroup
	stopping atomic.Bool
}

// Run serves until the context ends, then drains: it takes no new work and
// closes once the requests in progress have finished or the service's drain
// time is over.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.open(); err != nil {
		return err
	}
	defer a.node.Close()
	conn, transport, err := a.transport()
	if err != nil {
		return err
	}
	d, err := newDoor(a, conn)
	if err != nil {
		return err
	}
	listener, err := transport.Listen(a.tlsConfig(), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	var wg sync.WaitGroup
	wg.Go(d.run)
	wg.Go(func() { a.accept(listener) })
	a.watch(ctx)
	a.drain()
	listener.Close()
	transport.Close()
	a.node.Close()
	wg.Wait()
	return nil
}

// open prepares what the duties share.
func (a *Agent) open() error {
	node, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.NodeAddress))
	if err != nil {
		return errors.Wrap(err, "open the node address")
	}
	// A host that grants less than this still serves, with more drops in bursts.
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
		// All agents share the key, so that an agent that took another's place
		// can end the flows that its predecessor held.
		StatelessResetKey:   &reset,
		VerifySourceAddress: a.needsProof,
	}, nil
}

// self returns the agent's upstream in the configuration in force, and the version
// of that configuration.
func (a *Agent) self() (*gdconf.Upstream, gdconf.Version, bool) {
	v := a.Config.View()
	if v == nil {
		return nil, gdconf.Version{}, false
	}
	u, ok := v.Upstream(a.Upstream)
	return u, v.Version(), ok
}

// service returns the service to which the agent's upstream belongs.
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
		KeepAlivePeriod:         keepAlive,
		MaxIncomingStreams:      streamsPerFlow,
		// A request that was replayed from an early flight could run twice.
		Allow0RTT: false,
	}
}

// accept serves each connection. It only takes connections off the transport's
// short queue, so that a burst of callers finds it empty.
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
			a.Log.Failure(flowEnd(err), err, "caller", c.RemoteAddr().String())
		}()
	}
}

// State is the part of the dump that only agents have.
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
