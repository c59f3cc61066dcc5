package gdpacketagent_test

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
	"godwitdrift.example/godwitdrift/internal/process/gdpacketagent"
	"godwitdrift.example/godwitdrift/internal/wire/gdhop"
	"godwitdrift.example/godwitdrift/platform"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// patience is how long a test waits for what happens within milliseconds.
const patience = 20 * time.Second

// bench is an agent between sockets of the test: the upstream, an entry host, and the
// caller.
type bench struct {
	t                       *testing.T
	agent                   *gdpacketagent.Agent
	metrics                 *gdmetric.Metrics
	upstream, entry, caller *net.UDPConn
	stop                    context.CancelFunc
	ended                   chan error
	key                     gdflow.Key
}

func listen(t *testing.T, ip string, port uint16) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), port)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func start(t *testing.T) *bench {
	t.Helper()
	const sideIP, entryIP, callerIP = "127.0.0.11", "127.0.0.12", "127.0.0.13"
	b := &bench{
		t: t, upstream: listen(t, sideIP, 0), entry: listen(t, entryIP, 0), caller: listen(t, callerIP, 0),
		metrics: gdmetric.New("godwitdrift_agent", nil), ended: make(chan error, 1),
	}
	free := listen(t, sideIP, 0)
	outbound := addr(free)
	require.NoError(t, free.Close())
	b.key = gdflow.NewKey(gdflow.AddressFrom([4]byte{127, 0, 0, 13}, 40001), gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))
	b.agent = &gdpacketagent.Agent{
		Guard:           gdguard.Guard{Service: "booking", ObservedFromStart: true},
		HopAddress:      netip.AddrPortFrom(netip.MustParseAddr(sideIP), addr(b.entry).Port()),
		UpstreamAddress: addr(b.upstream), OutboundAddress: outbound, CallerPort: addr(b.caller).Port(),
		Codec: platform.Codec{}, Scope: b.metrics.Scope(), Grace: time.Second,
	}
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	go func() { b.ended <- b.agent.Run(ctx) }()
	require.Eventually(t, b.agent.Ready, patience, time.Millisecond)
	return b
}

func (b *bench) finish() {
	b.t.Helper()
	b.stop()
	require.NoError(b.t, <-b.ended)
	require.NoError(b.t, b.metrics.Close())
}

func (b *bench) read(c *net.UDPConn) ([]byte, netip.AddrPort) {
	b.t.Helper()
	require.NoError(b.t, c.SetReadDeadline(time.Now().Add(patience)))
	buf := make([]byte, 2000)
	n, from, err := c.ReadFromUDPAddrPort(buf)
	require.NoError(b.t, err)
	return buf[:n], from
}

// packet returns a packet from the caller, or from the upstream.
func (b *bench) packet(fromCaller bool, flags platformsim.Flags, seq, ack uint32, data string) []byte {
	p := platformsim.Packet{From: b.key.Caller(), To: b.key.Service(), Seq: seq, Ack: ack, Flags: flags, Data: []byte(data)}
	if !fromCaller {
		p.From, p.To = p.To, p.From
	}
	return p.Append(nil)
}

// carry sends a packet as an entry host does.
func (b *bench) carry(service string, standing gdguard.UpstreamStatus, packet []byte, opens bool) {
	b.t.Helper()
	c := gdguard.Header{Service: gddiscovery.ServiceHash(service), Status: standing}
	_, err := b.entry.WriteToUDPAddrPort(append(gdhop.AppendForward(nil, c, opens), packet...), b.agent.HopAddress)
	require.NoError(b.t, err)
}

func (b *bench) message() gdhop.Message {
	b.t.Helper()
	raw, from := b.read(b.entry)
	require.Equal(b.t, b.agent.HopAddress, from)
	m, err := gdhop.Parse(raw)
	require.NoError(b.t, err)
	return m
}

func (b *bench) upstreamSends(packet []byte) {
	b.t.Helper()
	_, err := b.upstream.WriteToUDPAddrPort(packet, b.agent.OutboundAddress)
	require.NoError(b.t, err)
}

// open opens the flow at the upstream.
func (b *bench) open() {
	b.t.Helper()
	syn := b.packet(true, platformsim.Open, 10, 0, "")
	b.carry("booking", gdguard.UpstreamStatus{Revision: 5, AcceptsNew: true, Slots: 2}, syn, true)
	got, _ := b.read(b.upstream)
	require.Equal(b.t, syn, got)
	accept := b.packet(false, platformsim.Open|platformsim.Ack, 1000, 11, "")
	b.upstreamSends(accept)
	require.Equal(b.t, gdhop.Accepted, b.message().Type)
	got, _ = b.read(b.caller)
	require.Equal(b.t, accept, got)
}

// TestWayThroughTheAgent: both directions to the byte, and the answer's time is in the
// metrics.
func TestWayThroughTheAgent(t *testing.T) {
	b := start(t)
	b.open()
	request := b.packet(true, platformsim.Ack, 11, 1001, "request")
	b.carry("booking", gdguard.UpstreamStatus{}, request, false)
	got, _ := b.read(b.upstream)
	require.Equal(t, request, got)
	answer := b.packet(false, platformsim.Ack, 1001, 18, "answer")
	b.upstreamSends(answer)
	got, _ = b.read(b.caller)
	require.Equal(t, answer, got)
	st := b.agent.State(time.Now())
	require.Equal(t, gdpacketagent.State{Revision: 5, AcceptsNew: true, Slots: 2, Flows: 1, Ready: true}, st)
	b.finish()
	require.Contains(t, metricsText(b.metrics), `godwitdrift_agent_answer_seconds_count 1`)
}

// TestRefusals: what is not the upstream's to take comes back with its reason, and
// nothing of it reaches the upstream.
func TestRefusals(t *testing.T) {
	b := start(t)
	takes := gdguard.UpstreamStatus{Revision: 5, AcceptsNew: true, Slots: 2}
	syn, data := b.packet(true, platformsim.Open, 10, 0, ""), b.packet(true, platformsim.Ack, 11, 1001, "request")
	for _, tc := range []struct {
		service  string
		standing gdguard.UpstreamStatus
		packet   []byte
		opens    bool
		want     gdguard.Reason
	}{
		{"gallery", takes, syn, true, gdguard.WrongService},
		{"booking", takes, data, false, gdguard.NotHeld},
		{"booking", gdguard.UpstreamStatus{Revision: 6, Slots: 2}, syn, true, gdguard.Draining},
	} {
		b.carry(tc.service, tc.standing, tc.packet, tc.opens)
		m := b.message()
		require.Equal(t, gdhop.Return, m.Type)
		require.Equal(t, tc.want, m.Reason)
		require.Equal(t, tc.packet, m.Packet)
	}
	// Rubbish, and a packet that is not from the upstream, are dropped.
	_, err := b.entry.WriteToUDPAddrPort([]byte("rubbish"), b.agent.HopAddress)
	require.NoError(t, err)
	_, err = b.entry.WriteToUDPAddrPort([]byte("rubbish"), b.agent.OutboundAddress)
	require.NoError(t, err)
	b.carry("booking", gdguard.UpstreamStatus{Revision: 7, AcceptsNew: true, Slots: 2}, syn, true)
	got, _ := b.read(b.upstream)
	require.Equal(t, syn, got, "the first packet that reaches the upstream")
	b.finish()
	require.Contains(t, metricsText(b.metrics), "godwitdrift_agent_malformed_datagrams 2")
}

// TestLeavingAgent: it refuses new flows, carries those that it has, and ends when the
// upstream has answered.
func TestLeavingAgent(t *testing.T) {
	b := start(t)
	b.open()
	request := b.packet(true, platformsim.Ack, 11, 1001, "request")
	b.carry("booking", gdguard.UpstreamStatus{}, request, false)
	_, _ = b.read(b.upstream)
	b.stop()
	require.Eventually(t, func() bool { return !b.agent.Ready() }, patience, time.Millisecond)
	answer := b.packet(false, platformsim.Ack, 1001, 18, "answer")
	b.upstreamSends(answer)
	got, _ := b.read(b.caller)
	require.Equal(t, answer, got)
	b.finish()
}

// metricsText returns what the metrics address shows.
func metricsText(m *gdmetric.Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
