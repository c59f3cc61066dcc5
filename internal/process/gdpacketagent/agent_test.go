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

// eventTimeout is the timeout for events that normally happen within milliseconds.
const eventTimeout = 20 * time.Second

// fixture is an agent with sockets of the test for the upstream, an entry host, and the
// caller.
type fixture struct {
	t                       *testing.T
	agent                   *gdpacketagent.Agent
	metrics                 *gdmetric.Metrics
	upstream, entry, caller *net.UDPConn
	stop                    context.CancelFunc
	ended                   chan error
	key                     gdflow.Key
	header                  gdguard.Header // what forward sends besides its arguments
}

func listen(t *testing.T, ip string, port uint16) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), port)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func start(t *testing.T) *fixture {
	t.Helper()
	return startWith(t, gdguard.Guard{Service: "booking", ObservedFromStart: true})
}

func startWith(t *testing.T, g gdguard.Guard) *fixture {
	t.Helper()
	const agentIP, entryIP, callerIP = "127.0.0.11", "127.0.0.12", "127.0.0.13"
	f := &fixture{
		t: t, upstream: listen(t, agentIP, 0), entry: listen(t, entryIP, 0), caller: listen(t, callerIP, 0),
		metrics: gdmetric.New("godwitdrift_agent", nil), ended: make(chan error, 1),
	}
	if !g.ObservedFromStart { // the agent checks first whether the upstream's process is there
		l, err := net.Listen("tcp4", addr(f.upstream).String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
	}
	free := listen(t, agentIP, 0)
	outbound := addr(free)
	require.NoError(t, free.Close())
	f.key = gdflow.NewKey(gdflow.AddressFrom([4]byte{127, 0, 0, 13}, 40001), gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))
	f.agent = &gdpacketagent.Agent{
		Guard:           g,
		HopAddress:      netip.AddrPortFrom(netip.MustParseAddr(agentIP), addr(f.entry).Port()),
		UpstreamAddress: addr(f.upstream), OutboundAddress: outbound, CallerPort: addr(f.caller).Port(),
		Codec: platform.Codec{}, Scope: f.metrics.Scope(), Grace: time.Second,
	}
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() { f.ended <- f.agent.Run(ctx) }()
	require.Eventually(t, f.agent.Ready, eventTimeout, time.Millisecond)
	return f
}

func (f *fixture) finish() {
	f.t.Helper()
	f.stop()
	require.NoError(f.t, <-f.ended)
	require.NoError(f.t, f.metrics.Close())
}

func (f *fixture) read(c *net.UDPConn) ([]byte, netip.AddrPort) {
	f.t.Helper()
	require.NoError(f.t, c.SetReadDeadline(time.Now().Add(eventTimeout)))
	buf := make([]byte, 2000)
	n, from, err := c.ReadFromUDPAddrPort(buf)
	require.NoError(f.t, err)
	return buf[:n], from
}

// packet returns a packet from the caller, or from the upstream.
func (f *fixture) packet(fromCaller bool, flags platformsim.Flags, seq, ack uint32, data string) []byte {
	p := platformsim.Packet{From: f.key.Caller(), To: f.key.Service(), Seq: seq, Ack: ack, Flags: flags, Data: []byte(data)}
	if !fromCaller {
		p.From, p.To = p.To, p.From
	}
	return p.Append(nil)
}

// forward sends a packet to the agent, as an entry host does.
func (f *fixture) forward(service string, status gdguard.UpstreamStatus, packet []byte, opens bool) {
	f.t.Helper()
	h := f.header
	h.Service, h.Status = gddiscovery.ServiceHash(service), status
	_, err := f.entry.WriteToUDPAddrPort(append(gdhop.AppendForward(nil, h, opens), packet...), f.agent.HopAddress)
	require.NoError(f.t, err)
}

func (f *fixture) message() gdhop.Message {
	f.t.Helper()
	raw, from := f.read(f.entry)
	require.Equal(f.t, f.agent.HopAddress, from)
	m, err := gdhop.Parse(raw)
	require.NoError(f.t, err)
	return m
}

func (f *fixture) upstreamSends(packet []byte) {
	f.t.Helper()
	_, err := f.upstream.WriteToUDPAddrPort(packet, f.agent.OutboundAddress)
	require.NoError(f.t, err)
}

// open opens the flow at the upstream.
func (f *fixture) open() {
	f.t.Helper()
	syn := f.packet(true, platformsim.Open, 10, 0, "")
	f.forward("booking", gdguard.UpstreamStatus{Revision: 5, AcceptsNew: true, Slots: 2}, syn, true)
	got, _ := f.read(f.upstream)
	require.Equal(f.t, syn, got)
	accept := f.packet(false, platformsim.Open|platformsim.Ack, 1000, 11, "")
	f.upstreamSends(accept)
	require.Equal(f.t, gdhop.Accepted, f.message().Type)
	got, _ = f.read(f.caller)
	require.Equal(f.t, accept, got)
}

// TestRestartedAgentReportsByEvidence: an agent that does not know a flow says so while its upstream sends nothing,
// and reports the flow as held when it does, also in the form that entry hosts of older builds know.
func TestRestartedAgentReportsByEvidence(t *testing.T) {
	f := startWith(t, gdguard.Guard{Service: "booking"})
	f.header.Confirm = true
	request := f.packet(true, platformsim.Ack, 11, 1001, "request")
	f.forward("booking", gdguard.UpstreamStatus{}, request, false)
	got, _ := f.read(f.upstream)
	require.Equal(t, request, got)
	reports := func(want gdguard.Holding) {
		t.Helper()
		m := f.message()
		require.Equal(t, gdhop.QueryReply, m.Type)
		require.Equal(t, []gdflow.Key{f.key}, m.Keys)
		require.Equal(t, []gdguard.Holding{want}, m.Holdings)
	}
	reports(gdguard.Unsure)
	f.upstreamSends(f.packet(false, platformsim.Ack, 1001, 18, "answer"))
	reports(gdguard.Present)
	m := f.message()
	require.Equal(t, gdhop.Held, m.Type)
	require.Equal(t, f.key, m.Key)
	f.finish()
}

// TestPacketsPassInBothDirections: packets pass in both directions byte for byte, and
// the answer's latency is in the metrics.
func TestPacketsPassInBothDirections(t *testing.T) {
	f := start(t)
	f.open()
	request := f.packet(true, platformsim.Ack, 11, 1001, "request")
	f.forward("booking", gdguard.UpstreamStatus{}, request, false)
	got, _ := f.read(f.upstream)
	require.Equal(t, request, got)
	answer := f.packet(false, platformsim.Ack, 1001, 18, "answer")
	f.upstreamSends(answer)
	got, _ = f.read(f.caller)
	require.Equal(t, answer, got)
	st := f.agent.State(time.Now())
	require.Equal(t, gdpacketagent.State{Revision: 5, AcceptsNew: true, Slots: 2, Flows: 1, Ready: true}, st)
	f.finish()
	require.Contains(t, metricsText(f.metrics), `godwitdrift_agent_answer_seconds_count 1`)
}

// TestRefusals: packets that the upstream must not get are returned with the reason, and
// none of them reaches the upstream.
func TestRefusals(t *testing.T) {
	f := start(t)
	accepting := gdguard.UpstreamStatus{Revision: 5, AcceptsNew: true, Slots: 2}
	syn, data := f.packet(true, platformsim.Open, 10, 0, ""), f.packet(true, platformsim.Ack, 11, 1001, "request")
	for _, tc := range []struct {
		service string
		status  gdguard.UpstreamStatus
		packet  []byte
		opens   bool
		want    gdguard.Reason
	}{
		{"gallery", accepting, syn, true, gdguard.WrongService},
		{"booking", accepting, data, false, gdguard.NotHeld},
		{"booking", gdguard.UpstreamStatus{Revision: 6, Slots: 2}, syn, true, gdguard.Draining},
	} {
		f.forward(tc.service, tc.status, tc.packet, tc.opens)
		m := f.message()
		require.Equal(t, gdhop.Return, m.Type)
		require.Equal(t, tc.want, m.Reason)
		require.Equal(t, tc.packet, m.Packet)
	}
	// Garbage, and a packet that is not from the upstream, are dropped.
	_, err := f.entry.WriteToUDPAddrPort([]byte("rubbish"), f.agent.HopAddress)
	require.NoError(t, err)
	_, err = f.entry.WriteToUDPAddrPort([]byte("rubbish"), f.agent.OutboundAddress)
	require.NoError(t, err)
	f.forward("booking", gdguard.UpstreamStatus{Revision: 7, AcceptsNew: true, Slots: 2}, syn, true)
	got, _ := f.read(f.upstream)
	require.Equal(t, syn, got, "the first packet that reaches the upstream")
	f.finish()
	require.Contains(t, metricsText(f.metrics), "godwitdrift_agent_malformed_datagrams 2")
}

// TestLeavingAgent: after the context is cancelled the agent refuses new flows, serves the
// existing ones, and stops when the upstream has answered.
func TestLeavingAgent(t *testing.T) {
	f := start(t)
	f.open()
	request := f.packet(true, platformsim.Ack, 11, 1001, "request")
	f.forward("booking", gdguard.UpstreamStatus{}, request, false)
	_, _ = f.read(f.upstream)
	f.stop()
	require.Eventually(t, func() bool { return !f.agent.Ready() }, eventTimeout, time.Millisecond)
	answer := f.packet(false, platformsim.Ack, 1001, 18, "answer")
	f.upstreamSends(answer)
	got, _ := f.read(f.caller)
	require.Equal(t, answer, got)
	f.finish()
}

// TestKeptRequest: two slots have three requests in progress, so that the next one is kept
// back. It reaches the upstream byte for byte at the end of its bound, or when the agent
// stops, which waits for its answer.
func TestKeptRequest(t *testing.T) {
	for _, tc := range []struct {
		cause     gdguard.Cause
		objective time.Duration
	}{{gdguard.BoundReached, 400 * time.Millisecond}, {gdguard.Stopping, time.Hour}} {
		t.Run(tc.cause.String(), func(t *testing.T) {
			f := start(t)
			f.header = gdguard.Header{Forced: true, Class: gdguard.RouteClass{Objective: tc.objective, Priority: 1}}
			var answers [][]byte
			for i := range 4 {
				f.key = gdflow.NewKey(f.key.Caller().WithPort(uint16(40001+i)), f.key.Service())
				f.open()
				answers = append(answers, f.packet(false, platformsim.Ack, 1001, 18, "answer"))
				request := f.packet(true, platformsim.Ack, 11, 1001, "request")
				f.forward("booking", gdguard.UpstreamStatus{}, request, false)
				if i == 3 && tc.cause == gdguard.Stopping {
					require.Eventually(t, func() bool { return f.agent.State(time.Now()).Kept == 1 }, eventTimeout, time.Millisecond)
					f.stop()
				}
				got, _ := f.read(f.upstream)
				require.Equal(t, request, got)
			}
			require.Equal(t, 4, f.agent.State(time.Now()).Load)
			for _, b := range answers {
				f.upstreamSends(b)
				got, _ := f.read(f.caller)
				require.Equal(t, b, got)
			}
			f.finish()
			require.Contains(t, metricsText(f.metrics), `requests_released{priority="1",reason="`+tc.cause.String()+`"} 1`)
		})
	}
}

// metricsText returns the text of the metrics endpoint.
func metricsText(m *gdmetric.Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
