package main

import (
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

// requestDeadline is how long a requester waits for an answer.
const requestDeadline = 2 * time.Second

// clients stands in for all requesters, at one address.
type clients struct {
	w       *world
	conn    *net.UDPConn
	ip      netip.Addr
	port    uint16
	flows   map[gdflow.Key]*clientFlow
	lastID  int
	stopped bool
}

// clientFlow is the requester's end of a flow.
type clientFlow struct {
	c        *clients
	key      gdflow.Key
	route    gddiscovery.Route
	seq      uint32
	ep       *gdstream.Endpoint // nil until the flow is open
	started  time.Time
	opened   time.Time
	last     time.Time // the last request or answer
	ended    bool
	once     bool     // the flow ends after its answer
	via      *machine // the entry host that gets the packets, or nil for the router's choice
	refused  bool     // the system has reset the flow before it was open
	request  string
	pending  bool // the request has no answer yet
	received string
}

func newClients(w *world, ip netip.Addr) (*clients, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	c := &clients{w: w, conn: conn, ip: ip, port: 20000, flows: make(map[gdflow.Key]*clientFlow)}
	go c.read()
	return c, nil
}

func (c *clients) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		c.w.mu.Lock()
		p, err := platformsim.Decode(buf[:n])
		if f := c.flows[gdflow.NewKey(p.To, p.From)]; err != nil {
			c.w.fail("MIXED a requester got a packet that its sender did not write so: %v", err)
		} else if f != nil && !f.ended {
			f.receive(time.Now(), p)
		}
		c.w.mu.Unlock()
	}
}

// open opens a flow and sends a request on it. It is called with mu locked.
func (c *clients) open(r gddiscovery.Route, once bool) *clientFlow { return c.openVia(nil, r, once) }

// openVia is open through one entry host.
func (c *clients) openVia(via *machine, r gddiscovery.Route, once bool) *clientFlow {
	c.port++
	from, _ := gdflow.AddressFromAddrPort(netip.AddrPortFrom(c.ip, c.port))
	f := &clientFlow{c: c, key: gdflow.NewKey(from, r.Address), route: r, seq: rand.Uint32(), once: once, via: via}
	c.flows[f.key], f.started = f, time.Now()
	f.request = c.newRequest(r)
	c.w.log("requester: %s opens, request %s", f.key, f.request)
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		f.sendOpening(copies, at)
	}
	c.w.after(1400*time.Millisecond, func(time.Time) {
		if f.ep == nil {
			f.end("no answer to the opening packets")
		}
	})
	return f
}

func (f *clientFlow) sendOpening(copies int, at time.Duration) {
	send := func(time.Time) {
		if f.ep == nil && !f.ended {
			f.send(platformsim.Packet{From: f.key.Caller(), To: f.key.Service(), Seq: f.seq, Ack: uint32(copies), Flags: platformsim.Open})
		}
	}
	if at == 0 {
		send(time.Time{})
		return
	}
	f.c.w.after(at, send)
}

func (c *clients) newRequest(r gddiscovery.Route) string {
	c.lastID++
	return fmt.Sprintf("%s-%d", r.Name, c.lastID)
}

// next sends another request on an open flow.
func (f *clientFlow) next(now time.Time) {
	f.request = f.c.newRequest(f.route)
	f.c.w.log("requester: %s sends request %s, idle for %s", f.key, f.request, now.Sub(f.last).Round(time.Millisecond))
	f.write(now)
}

func (f *clientFlow) write(now time.Time) {
	f.last, f.pending = now, true
	f.ep.Write([]byte("GET / HTTP/1.1\r\nHost: t\r\nX-Request-Id: " + f.request + "\r\n\r\n"))
	f.poll(now)
}

// send sends a packet through the entry host that the router picks for the flow.
func (f *clientFlow) send(p platformsim.Packet) {
	m := f.via
	if m == nil {
		in := f.c.w.rotation()
		m = in[f.key.Hash()%uint64(len(in))]
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(m.ip, datagramPort))
}

func (f *clientFlow) end(why string) {
	if !f.ended {
		f.ended = true
		f.c.w.log("requester: %s ends: %s", f.key, why)
	}
}

func (f *clientFlow) receive(now time.Time, p platformsim.Packet) {
	switch {
	case p.Has(platformsim.Reset):
		f.reset(now, p)
	case p.Has(platformsim.Open | platformsim.Ack):
		if f.ep == nil && p.Ack == f.seq+1 {
			f.ep = gdstream.New(f.key.Caller(), f.key.Service(), f.seq+1, p.Seq+1)
			f.opened = now
			f.write(now)
		}
	case f.ep != nil:
		f.received += string(f.ep.Receive(now, p))
		f.readAnswers(now)
		f.poll(now)
	}
}

func (f *clientFlow) readAnswers(now time.Time) {
	for {
		head, rest, ok := strings.Cut(f.received, "\r\n\r\n")
		if !ok {
			return
		}
		f.received = rest
		if !f.pending || !strings.Contains(head+"\r\n", "X-Response-Signature: "+f.request+"\r\n") {
			f.c.w.fail("MIXED %s: the answer to %s is %q", f.key, f.request, head)
		}
		f.last, f.pending = now, false
		f.c.w.log("requester: %s got the answer to %s", f.key, f.request)
		if f.once {
			f.ep.Finish()
		}
	}
}

// reset handles a reset. One of the system's own on an open flow whose target lives breaks FLOW.
func (f *clientFlow) reset(now time.Time, p platformsim.Packet) {
	if !p.Unsigned {
		f.end("reset by the target")
		return
	}
	t, holds := f.c.w.holder(f.key)
	switch {
	case f.ep == nil:
		f.refused = true
		f.end("refused with a reset of the system")
		return
	case !holds:
		f.end("reset by the system, no target holds the flow")
		return
	}
	age, idle := now.Sub(f.opened), now.Sub(f.last)
	f.end(fmt.Sprintf("reset by the system while target %s holds it", t.id))
	if age <= flowMaxTime && idle <= f.c.w.config.IdleTimeout {
		f.c.w.fail("FLOW %s: reset that target %s did not send; the flow is open there, %s old", f.key, t.id, age.Round(time.Millisecond))
	}
}

// holder returns the running target that holds the flow open.
func (w *world) holder(k gdflow.Key) (*target, bool) {
	for _, t := range w.targets {
		if f := t.flows[k]; t.conn != nil && f != nil && f.open && !f.ended {
			return t, true
		}
	}
	return nil, false
}

func (f *clientFlow) poll(now time.Time) {
	if f.ended {
		return
	}
	for _, p := range f.ep.Poll(now) {
		f.send(p)
	}
	switch {
	case f.ep.Closed():
		f.end("finished")
	case f.ep.TimedOut():
		f.end("no acknowledgement")
	default:
		if at := f.ep.RetransmitAt(); !at.IsZero() {
			f.c.w.after(max(at.Sub(now), time.Millisecond), f.poll)
		}
	}
}

// feed keeps a flow open and sends a request on it at intervals; when the flow ends, it opens
// another one.
func (c *clients) feed(r gddiscovery.Route, pause time.Duration) {
	f := c.open(r, false)
	var tick func(now time.Time)
	tick = func(now time.Time) {
		switch {
		case c.stopped:
			return
		case f.ended:
			f = c.open(r, false)
		case f.ep != nil && !f.pending:
			f.next(now)
		case f.ep != nil && now.Sub(f.last) > requestDeadline:
			f.end("the deadline of " + f.request + " has passed")
		}
		c.w.after(pause, tick)
	}
	c.w.after(pause, tick)
}

// fresh opens a flow for each request, so many a second.
func (c *clients) fresh(r gddiscovery.Route, perSecond float64) {
	var tick func(now time.Time)
	tick = func(time.Time) {
		if c.stopped {
			return
		}
		c.open(r, true)
		c.w.after(time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)), tick)
	}
	tick(time.Time{})
}
