package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	slots      = 3
	queueSize  = 12
	coldTime   = 2 * time.Second // warmup_s of the sites
	answerSize = 600
	maxPacket  = 2048
	// Each end acknowledges every second packet.
	packetsPerAck = 2
)

// target is a stand-in for a target, beside its agent. It registers in the store at each start.
type target struct {
	w         *world
	name      string
	service   string
	zone      string
	ip        netip.Addr
	conn      *net.UDPConn
	health    net.Listener
	boot      int
	startedAt time.Time
	coldUntil time.Time
	draining  bool
	flows     map[gdflow.Key]*targetFlow
	busy      int
	queue     []work
	sequence  int
	work      time.Duration
	coldWork  time.Duration // per request while it is cold
	checkInAt time.Time     // it does not write its entry before
	agent     *process
	accepted  []accepted // the opening packets that it took
}

// accepted is an opening packet that a target took.
type accepted struct {
	at, sent time.Time
	cold     bool
}

type targetFlow struct {
	key    gdflow.Key
	seq    uint32
	open   bool
	closed bool
	end    *gdstream.Endpoint
	buf    []byte
	got    int // packets since the last acknowledgement
}

type work struct {
	f  *targetFlow
	id string
}

// addTarget starts a target and the agent beside it.
func (w *world) addTarget(n byte, service, zone string, workTime, coldWork time.Duration) (*target, error) {
	t := &target{
		w: w, name: fmt.Sprintf("target-%d", n), service: service, zone: zone, ip: w.network.Addr(sideNet, n), work: workTime, coldWork: coldWork,
	}
	var err error
	w.do(func(now time.Time) { err = t.startProcess(now, false) })
	if err != nil {
		return nil, err
	}
	w.targets = append(w.targets, t)
	t.agent, err = w.startProcess("agent", zone, n, t)
	return t, err
}

// startProcess stands for a start of the target's process.
func (t *target) startProcess(now time.Time, cold bool) error {
	at := netip.AddrPortFrom(t.ip, appPort)
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return err
	}
	if t.health, err = net.Listen("tcp4", at.String()); err != nil {
		return err
	}
	t.boot++
	t.startedAt, t.coldUntil, t.draining = now, time.Time{}, false
	t.flows, t.busy, t.queue, t.sequence = make(map[gdflow.Key]*targetFlow), 0, nil, 0
	if cold {
		t.coldUntil = now.Add(coldTime)
	}
	conn, health := t.conn, t.health
	go t.read(conn)
	go func() {
		for {
			c, err := health.Accept()
			if err != nil {
				return // closed
			}
			_ = c.Close()
		}
	}()
	t.w.record("%s started, boot %d, cold: %t", t.name, t.boot, cold)
	t.register(now)
	return nil
}

// crash stops the process. It starts again after the downtime, cold.
func (t *target) crash(now time.Time, downtime time.Duration) {
	t.closeSockets()
	t.w.record("%s crashed", t.name)
	t.w.after(downtime, func(now time.Time) {
		if err := t.startProcess(now, true); err != nil {
			t.w.failed = err
		}
	})
}

func (t *target) closeSockets() {
	if t.conn == nil {
		return
	}
	_, _ = t.conn.Close(), t.health.Close()
	t.conn = nil
}

func (t *target) id() string { return fmt.Sprintf("i-%s-%d", t.name, t.boot) }

// register writes the entry of the running process.
func (t *target) register(now time.Time) {
	if now.Before(t.checkInAt) {
		return
	}
	t.sequence++
	t.w.store.PutUpstream(now, gddiscovery.Upstream{
		ID: t.id(), Service: t.service, Domain: t.zone, Address: address(netip.AddrPortFrom(t.ip, appPort)), Slots: slots,
		Draining: t.draining, ColdFor: max(t.coldUntil.Sub(now), 0), StartUnixMilli: t.startedAt.UnixMilli(),
	}, t.sequence)
	t.w.record("entry of %s (%s): draining: %t, acked", t.name, t.id(), t.draining)
}

func (t *target) read(conn *net.UDPConn) {
	b := make([]byte, maxPacket)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if t.running(conn) {
				continue // nothing listened where an earlier packet went
			}
			return
		}
		raw := bytes.Clone(b[:n])
		t.w.do(func(now time.Time) {
			if t.conn == conn {
				t.receive(now, raw)
			}
		})
	}
}

func (t *target) running(conn *net.UDPConn) bool {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	return t.conn == conn
}

func (t *target) send(raw []byte) {
	_, _ = t.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(t.ip, outboundPort)) // lost while no agent runs
}

func (t *target) receive(now time.Time, raw []byte) {
	p, err := platformsim.Decode(raw)
	if err != nil {
		t.w.failed = err
		return
	}
	key := gdflow.NewKey(p.From, p.To)
	f := t.flows[key]
	switch {
	case p.Has(platformsim.Open):
		t.open(now, key, p)
	case f == nil || !f.open && p.Ack != f.seq+1:
		platformsim.MarkReturned(raw)
		t.send(raw)
	case f.closed:
	default:
		f.open = true
		t.data(now, f, p)
	}
}

// open answers an opening packet or a copy of it.
func (t *target) open(now time.Time, key gdflow.Key, p platformsim.Packet) {
	f := t.flows[key]
	if f == nil {
		f = &targetFlow{key: key, seq: rand.Uint32()}
		f.end = gdstream.New(key.Service(), key.Caller(), f.seq+1, p.Seq+1)
		t.flows[key] = f
		sent := t.w.callers.sentAt(key)
		t.accepted = append(t.accepted, accepted{at: now, sent: sent, cold: now.Before(t.coldUntil)})
		t.w.record("%s (%s) takes flow %s, sent %.1f ms before, cold: %t, draining: %t", t.name, t.id(), key, now.Sub(sent).Seconds()*1000, now.Before(t.coldUntil), t.draining)
	}
	t.sendPackets([]platformsim.Packet{{From: p.To, To: p.From, Seq: f.seq, Ack: p.Seq + 1, Flags: platformsim.Open | platformsim.Ack}})
}

func (t *target) data(now time.Time, f *targetFlow, p platformsim.Packet) {
	if p.Has(platformsim.Reset) {
		f.closed = true
		return
	}
	f.got++
	f.buf = append(f.buf, f.end.Receive(now, p)...)
	for line, _, ok := bytes.Cut(f.buf, []byte{'\n'}); ok && len(f.buf) >= t.w.callers.size; line, _, ok = bytes.Cut(f.buf, []byte{'\n'}) {
		f.buf = f.buf[t.w.callers.size:]
		t.schedule(now, work{f: f, id: string(line)})
	}
	if f.end.PeerFinished() {
		f.end.Finish()
	}
	t.poll(now, f)
}

func (t *target) schedule(now time.Time, q work) {
	switch {
	case t.busy < slots:
		t.serve(now, q)
	case len(t.queue) < queueSize:
		t.queue = append(t.queue, q)
	default:
		t.w.record("%s rejects %s, not run", t.name, q.id)
		t.answer(now, q, "not-run")
	}
}

func (t *target) serve(now time.Time, q work) {
	t.busy++
	t.w.record("%s runs %s", t.name, q.id)
	d := t.work
	if now.Before(t.coldUntil) {
		d = t.coldWork
	}
	conn := t.conn
	t.w.after(d, func(now time.Time) {
		if t.conn != conn {
			return
		}
		t.busy--
		t.answer(now, q, "done")
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.serve(now, next)
		}
	})
}

func (t *target) answer(now time.Time, q work, outcome string) {
	b := fmt.Appendf(nil, "%s %s\n", q.id, outcome)
	q.f.end.Write(append(b, bytes.Repeat([]byte{'.'}, answerSize-len(b))...))
	if t.draining {
		q.f.end.Finish()
	}
	t.poll(now, q.f)
}

func (t *target) poll(now time.Time, f *targetFlow) {
	if f.closed || t.conn == nil {
		return
	}
	t.sendDue(now, f)
	if f.end.Closed() || f.end.TimedOut() {
		f.closed = true
		return
	}
	if next := f.end.RetransmitAt(); !next.IsZero() {
		conn := t.conn
		t.w.after(next.Sub(now), func(now time.Time) {
			if t.conn == conn && !f.end.RetransmitAt().IsZero() && !f.end.RetransmitAt().After(now) {
				t.poll(now, f)
			}
		})
	}
}

// sendDue sends what the flow's endpoint has to send. A mere acknowledgement waits for the second
// packet.
func (t *target) sendDue(now time.Time, f *targetFlow) {
	for _, p := range f.end.Poll(now) {
		if len(p.Data) > 0 || p.Has(platformsim.Finish) || f.got >= packetsPerAck {
			t.sendPackets([]platformsim.Packet{p})
			f.got = 0
		}
	}
}

func (t *target) sendPackets(packets []platformsim.Packet) {
	for _, p := range packets {
		t.send(p.Append(nil))
	}
}
