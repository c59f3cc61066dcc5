package gdentry_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/wire/gdfeed"
	"godwitdrift.example/godwitdrift/internal/wire/gdhop"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// TestHostileDatagrams sends 60 datagrams of each kind to sockets of an entry host and an
// agent: valid ones with changed bytes, cut ones, long ones and noise of each length. After
// those that callers and upstreams can send, a flow is served. Hosts trust each other's
// revisions, so that after those on the hosts' ports both only have to go on.
func TestHostileDatagrams(t *testing.T) {
	const perKind, longest = 60, 1600
	for _, hosts := range []bool{false, true} {
		t.Run(map[bool]string{false: "from callers and upstreams", true: "from hosts"}[hosts], func(t *testing.T) {
			d := deploy(t)
			rnd := rand.New(rand.NewPCG(27, 4))
			targets := []netip.AddrPort{d.entry.CallerAddress, d.outbound}
			if hosts {
				agent := netip.AddrPortFrom(d.outbound.Addr(), d.entry.HopAddress.Port())
				targets = []netip.AddrPort{d.entry.HopAddress, agent, d.entry.FeedAddress}
			}
			for _, to := range targets {
				c := listen(t, d.network.Addr(1, 4), to.Port()) // hosts send from the port at which they receive
				for n := range longest {
					_, err := c.WriteToUDPAddrPort(noise(rnd, n), to)
					require.NoError(t, err)
				}
				for _, valid := range d.validDatagrams(t) {
					for range perKind {
						_, err := c.WriteToUDPAddrPort(distort(rnd, valid), to)
						require.NoError(t, err)
					}
				}
				require.NoError(t, c.Close())
			}
			if !hosts {
				d.serveFlow(40999)
			}
			require.True(t, d.entry.Ready())
			require.Positive(t, d.entry.State(time.Now()).Upstreams)
			d.stop()
			require.NoError(t, <-d.ended)
		})
	}
}

// serveFlow opens a flow and sends a request on it, among the packets of others.
func (d *deployment) serveFlow(port uint16) {
	d.t.Helper()
	d.key = gdflow.NewKey(gdflow.AddressFrom(d.key.Caller().IP(), port), d.key.Service())
	exchange := func(to *net.UDPConn, send func([]byte), packet []byte) {
		d.t.Helper()
		require.Eventually(d.t, func() bool {
			send(packet)
			require.NoError(d.t, to.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			buf := make([]byte, 2000)
			for {
				n, err := to.Read(buf)
				if err != nil {
					return false
				}
				if bytes.Equal(packet, buf[:n]) {
					return true
				}
			}
		}, eventTimeout, time.Millisecond)
	}
	exchange(d.upstream, d.callerSends, d.packet(true, syn, 10, 0, ""))
	exchange(d.caller, d.upstreamSends, d.packet(false, syn|ack, 1000, 11, ""))
	exchange(d.upstream, d.callerSends, d.packet(true, ack, 11, 1001, "request"))
}

// validDatagrams returns one datagram of each kind that the sockets receive.
func (d *deployment) validDatagrams(t *testing.T) [][]byte {
	t.Helper()
	status := gdguard.UpstreamStatus{Revision: 2, AcceptsNew: true, Slots: 3}
	h := gdguard.Header{Service: gddiscovery.ServiceHash("booking"), Status: status}
	open, data := d.packet(true, platformsim.Open, 1, 0, ""), d.packet(true, platformsim.Ack, 2, 7, "GET / HTTP/1.1")
	reset := d.packet(true, platformsim.Reset, 2, 7, "")
	returned := append([]byte(nil), data...)
	platformsim.MarkReturned(returned)
	key := gdflow.NewKey(gdflow.AddressFrom([4]byte{127, 0, 0, 5}, 1), d.key.Service())
	all := [][]byte{
		open, data, reset, returned,
		append(gdhop.AppendForward(nil, h, true), open...), append(gdhop.AppendForward(nil, h, false), data...),
		gdhop.AppendStatus(nil, h.Service, status), gdhop.AppendQuery(nil, h.Service, status, []gdflow.Key{key, d.key}),
		append(gdhop.AppendReturn(nil, gdguard.NotHeld, 1, 0, 2), data...), append(gdhop.AppendReturn(nil, gdguard.Busy, 1, 0, 2), open...),
		gdhop.AppendFlowNotice(nil, gdhop.Accepted, key, 1, 0), gdhop.AppendFlowNotice(nil, gdhop.Held, key, 1, 0),
		gdhop.AppendHolding(gdhop.AppendQueryReply(nil, 2), key, gdguard.Absent),
	}
	member := gdflow.AddressFrom([4]byte{127, 0, 0, 6}, 1)
	beacons, err := gdfeed.EncodeBeacons(gdfeed.Beacon{
		Beacon: gdreaders.Beacon{Revision: 2, Reading: true, Members: []gdreaders.Member{{Address: member}}}, BaseRevision: 1,
		Update: gddiscovery.Update{Revision: 2, Changes: d.source.changes},
	})
	require.NoError(t, err)
	for _, b := range beacons {
		all = append(all, b, gdfeed.AppendToRelay(nil, b, []gdflow.Address{member}), gdfeed.AppendRelayed(nil, b, member))
	}
	return all
}

// distort returns a copy of the datagram with some bytes changed, and at times cut or
// extended. The first byte stays mostly, so that its decoder goes on.
func distort(rnd *rand.Rand, valid []byte) []byte {
	b := append([]byte(nil), valid...)
	for range rnd.IntN(6) {
		b[rnd.IntN(len(b))] = byte(rnd.Uint32())
	}
	switch rnd.IntN(3) {
	case 0:
		return b[:rnd.IntN(len(b)+1)]
	case 1:
		return append(b, noise(rnd, rnd.IntN(40))...)
	}
	return b
}

func noise(rnd *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rnd.Uint32())
	}
	return b
}

// TestStopBetweenAcceptanceAndRequest: entry host and agent are told to stop while a flow is
// offered to an upstream. The request that its caller then sends is served and answered.
func TestStopBetweenAcceptanceAndRequest(t *testing.T) {
	d := deploy(t)
	d.callerSends(d.packet(true, syn, 10, 0, ""))
	require.Equal(t, d.packet(true, syn, 10, 0, ""), d.read(d.upstream))
	d.stop()
	require.Eventually(t, func() bool { return !d.entry.Ready() }, eventTimeout, time.Millisecond)
	d.upstreamSends(d.packet(false, syn|ack, 1000, 11, ""))
	require.Equal(t, d.packet(false, syn|ack, 1000, 11, ""), d.read(d.caller))
	d.callerSends(d.packet(true, ack, 11, 1001, "request"))
	require.Equal(t, d.packet(true, ack, 11, 1001, "request"), d.read(d.upstream))
	d.upstreamSends(d.packet(false, ack, 1001, 18, "answer"))
	require.Equal(t, d.packet(false, ack, 1001, 18, "answer"), d.read(d.caller))
	require.NoError(t, <-d.ended)
}
