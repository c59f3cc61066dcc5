package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// serviceTime is how long a target works on a request.
const serviceTime = 8 * time.Millisecond

// target is a stand-in for a target beside an agent.
type target struct {
	w         *world
	machine   *machine
	id        string
	slots     int
	conn      *net.UDPConn
	health    net.Listener
	flows     map[gdflow.Key]*targetFlow
	born      time.Time
	coldUntil time.Time
	sequence  int
	busy      int
	queue     []func()
	opened    []opening
}

// opening is the arrival of an opening packet of a flow that the target did not hold.
type opening struct {
	at   time.Time
	cold bool
}

// targetFlow is a flow that the target holds.
type targetFlow struct {
	t          *target
	ep         *gdstream.Endpoint
	initialSeq uint32
	open       bool
	ended      bool
	lastUsed   time.Time
	buffer     []byte
}

// addTarget adds a side machine with a target and its agent.
func (w *world) addTarget(service, zone string, cold bool) (*target, error) {
	n := byte(len(w.targets) + 1)
	m := &machine{name: fmt.Sprintf("side-%s-%d", zone, n), role: "agent", zone: zone, ip: w.network.Addr(sideNet, n), service: service}
	t := &target{w: w, machine: m, slots: 3}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines, w.targets = append(w.machines, m), append(w.targets, t)
	if err := t.start(cold); err != nil {
		return nil, err
	}
	t.register()
	return t, w.start(m)
}

// start starts the target's process, under a new id. It is called with mu locked.
func (t *target) start(cold bool) error {
	at := netip.AddrPortFrom(t.machine.ip, appPort)
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return err
	}
	if t.health, err = net.Listen("tcp4", at.String()); err != nil {
		return err
	}
	t.id = fmt.Sprintf("i-%08x", rand.Uint32())
	t.born, t.sequence, t.busy, t.queue, t.coldUntil = time.Now(), 0, 0, nil, time.Time{}
	if cold {
		t.coldUntil = t.born.Add(t.w.coldFor(t.machine.service))
	}
	t.flows = make(map[gdflow.Key]*targetFlow)
	conn, health := t.conn, t.health
	go t.read(conn)
	go func() {
		for {
			c, err := health.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	t.w.log("target %s (%s, %s, %s): started, cold %t", t.id, t.machine.service, t.machine.zone, t.address(), cold)
	return nil
}

func (w *world) coldFor(service string) time.Duration {
	for _, s := range w.config.Services {
		if s.Name == service {
			return s.ColdFor
		}
	}
	return 0
}

func (t *target) address() netip.AddrPort { return netip.AddrPortFrom(t.machine.ip, appPort) }

// register writes the target's entry to the store.
func (t *target) register() {
	a, _ := gdflow.AddressFromAddrPort(t.address())
	t.sequence++
	rev := t.w.store.PutUpstream(time.Now(), gddiscovery.Upstream{
		ID: t.id, Service: t.machine.service, Domain: t.machine.zone, Address: a, Slots: t.slots,
		ColdFor: max(time.Until(t.coldUntil), 0), StartUnixMilli: t.born.UnixMilli(),
	}, t.sequence)
	t.w.log("target %s: entry acknowledged at revision %d", t.id, rev)
}

// stop ends the target's process. It is called with mu locked.
func (t *target) stop() {
	_, _ = t.conn.Close(), t.health.Close()
	t.conn = nil
	t.w.log("target %s: stopped", t.id)
}

func (t *target) read(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		t.w.mu.Lock()
		if t.conn == conn {
			t.receive(time.Now(), buf[:n])
		}
		t.w.mu.Unlock()
	}
}

func (t *target) send(raw []byte) {
	if t.conn != nil {
		_, _ = t.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(t.machine.ip, outboundPort))
	}
}

// receive handles a packet from the agent.
func (t *target) receive(now time.Time, raw []byte) {
	p, err := platformsim.Decode(raw)
	if err != nil || p.Unsigned || p.Has(platformsim.Open|platformsim.Ack) || p.Has(platformsim.Returned) {
		t.w.fail("UNASKED target %s got a packet that its sender did not write so", t.id)
		return
	}
	key := gdflow.NewKey(p.From, p.To)
	f := t.flows[key]
	switch {
	case p.Has(platformsim.Open):
		t.accept(now, key, p)
	case f == nil || !f.open && p.Ack-f.initialSeq-1 > 1<<20:
		platformsim.MarkReturned(raw)
		t.send(raw)
	case f.ended:
		t.receiveAfterEnd(p)
	default:
		f.receive(now, p)
	}
}

// receiveAfterEnd answers a packet of a flow that has ended: a finish is acknowledged, and data is
// answered with a reset.
func (t *target) receiveAfterEnd(p platformsim.Packet) {
	switch {
	case p.Has(platformsim.Finish):
		t.send(platformsim.Packet{From: p.To, To: p.From, Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)) + 1, Flags: platformsim.Ack}.Append(nil))
	case len(p.Data) > 0:
		t.send(platformsim.Packet{From: p.To, To: p.From, Seq: p.Ack, Flags: platformsim.Reset}.Append(nil))
	}
}

func (t *target) accept(now time.Time, key gdflow.Key, p platformsim.Packet) {
	f := t.flows[key]
	if f == nil {
		f = &targetFlow{t: t, initialSeq: rand.Uint32(), lastUsed: now}
		f.ep = gdstream.New(key.Service(), key.Caller(), f.initialSeq+1, p.Seq+1)
		t.flows[key] = f
		t.opened = append(t.opened, opening{at: now, cold: now.Before(t.coldUntil)})
		t.w.log("target %s: opening packet of %s", t.id, key)
		t.expire(key, f)
	}
	if !f.ended {
		t.send(platformsim.Packet{From: p.To, To: p.From, Seq: f.initialSeq, Ack: p.Seq + 1, Flags: platformsim.Open | platformsim.Ack}.Append(nil))
	}
}

// expire discards the flow when it has been idle for the configured time.
func (t *target) expire(key gdflow.Key, f *targetFlow) {
	t.w.after(time.Second, func(now time.Time) {
		if t.flows[key] != f {
			return
		}
		if now.Sub(f.lastUsed) > t.w.config.IdleTimeout {
			delete(t.flows, key)
			t.w.log("target %s: %s discarded, idle for over %s", t.id, key, t.w.config.IdleTimeout)
			return
		}
		t.expire(key, f)
	})
}

func (f *targetFlow) receive(now time.Time, p platformsim.Packet) {
	f.open, f.lastUsed = true, now
	if p.Has(platformsim.Reset) {
		f.ended = true
		return
	}
	f.buffer = append(f.buffer, f.ep.Receive(now, p)...)
	for {
		head, rest, ok := bytes.Cut(f.buffer, []byte("\r\n\r\n"))
		if !ok {
			break
		}
		f.buffer = rest
		f.t.schedule(f, requestID(string(head)))
	}
	if f.ep.PeerFinished() {
		f.ep.Finish()
	}
	f.poll(now)
}

// requestID returns the value of X-Request-Id.
func requestID(head string) string {
	_, after, _ := strings.Cut(head, "X-Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

// schedule works on the request when a slot is free.
func (t *target) schedule(f *targetFlow, id string) {
	work := func() {
		t.busy++
		t.w.log("target %s: runs %s", t.id, id)
		conn := t.conn
		t.w.after(serviceTime, func(now time.Time) {
			if t.conn != conn {
				return
			}
			t.busy--
			f.lastUsed = now
			f.ep.Write([]byte("HTTP/1.1 200 OK\r\nX-Response-Signature: " + id + "\r\nContent-Length: 0\r\n\r\n"))
			f.poll(now)
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	if t.busy < t.slots {
		work()
		return
	}
	t.queue = append(t.queue, work)
}

func (f *targetFlow) poll(now time.Time) {
	if f.ended {
		return
	}
	for _, p := range f.ep.Poll(now) {
		f.t.send(p.Append(nil))
	}
	if f.ep.Closed() || f.ep.TimedOut() {
		f.ended = true
		return
	}
	if at := f.ep.RetransmitAt(); !at.IsZero() {
		f.t.w.after(max(at.Sub(now), time.Millisecond), f.poll)
	}
}
