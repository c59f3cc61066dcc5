package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	requestSize = 900
	openTimeout = 1400 * time.Millisecond
	firstPort   = 20000
)

// callers stand for all requesters, at one address. Each request has a flow of its own.
type callers struct {
	w       *world
	conn    *net.UDPConn
	ip      netip.Addr
	entries []*process
	flows   map[gdflow.Key]*callerFlow
	port    uint16
	stopped bool
	sent    int
	results map[string]int
	resets  []reset
	perFlow int // the requests after which a flow that is held is closed, or 0
	size    int // of a request, in bytes
}

// reset is a reset of the system's own on a flow that was open.
type reset struct {
	at  time.Time
	key gdflow.Key
	id  string
	// holder is the running target at which the flow was open, or empty.
	holder string
}

type callerFlow struct {
	c        *callers
	key      gdflow.Key
	id       string
	seq      uint32
	sentAt   time.Time
	deadline time.Time
	limit    time.Duration
	sent     int  // requests on this flow
	once     bool // no other flow follows this one
	end      *gdstream.Endpoint
	buf      []byte
	closed   bool          // the request has ended, or none was sent yet
	ended    bool          // the flow can't be used any more
	think    time.Duration // for a flow that is held: the pause between requests
}

func newCallers(w *world) (*callers, error) {
	c := &callers{w: w, ip: w.network.Addr(callerNet, 1), flows: make(map[gdflow.Key]*callerFlow), port: firstPort, results: make(map[string]int), size: requestSize}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, callerPort)))
	if err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *callers) read() {
	b := make([]byte, maxPacket)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if c.w.ctx.Err() != nil {
				return
			}
			continue
		}
		raw := bytes.Clone(b[:n])
		c.w.do(func(now time.Time) { c.receive(now, raw) })
	}
}

// load sends requests at the rate, evenly, until stop is called.
func (c *callers) load(perSecond float64, to gdflow.Address, deadline time.Duration) {
	c.w.after(time.Duration(float64(time.Second)/perSecond), func(now time.Time) {
		if c.stopped {
			return
		}
		c.load(perSecond, to, deadline)
		c.request(now, to, deadline, 0)
	})
}

// hold keeps flows open on which one request follows another, after a pause.
func (c *callers) hold(n int, to gdflow.Address, deadline, think time.Duration) {
	for range n {
		c.w.after(rand.N(think), func(now time.Time) { c.request(now, to, deadline, think) })
	}
}

// request sends a request on a new flow. The flow is held if there is a pause.
func (c *callers) request(now time.Time, to gdflow.Address, deadline, think time.Duration) *callerFlow {
	c.port++
	c.sent++
	f := &callerFlow{
		c: c, key: gdflow.NewKey(address(netip.AddrPortFrom(c.ip, c.port)), to), id: fmt.Sprintf("request-%d", c.sent),
		seq: rand.Uint32(), sentAt: now, deadline: now.Add(deadline), limit: deadline, think: think,
	}
	c.flows[f.key] = f
	c.w.record("%s sent on flow %s through %s", f.id, f.key, c.pick(f.key).name)
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if i == 0 {
			f.sendOpen(0)
			continue
		}
		c.w.after(d, func(time.Time) { f.sendOpen(uint32(i)) })
	}
	c.w.after(openTimeout, func(time.Time) {
		if f.end == nil {
			f.finish("flow not opened")
		}
	})
	id := f.id
	c.w.after(deadline, func(time.Time) {
		if f.id == id {
			f.giveUp()
		}
	})
	return f
}

func (c *callers) sentAt(k gdflow.Key) time.Time {
	if f := c.flows[k]; f != nil {
		return f.sentAt
	}
	return time.Time{}
}

func (f *callerFlow) sendOpen(n uint32) {
	if f.end == nil && !f.closed {
		f.send(platformsim.Packet{From: f.key.Caller(), To: f.key.Service(), Seq: f.seq, Ack: n, Flags: platformsim.Open})
	}
}

func (f *callerFlow) send(p platformsim.Packet) {
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(f.c.pick(f.key).ip, callerPort)) // may be lost
}

func (c *callers) receive(now time.Time, raw []byte) {
	p, err := platformsim.Decode(raw)
	if err != nil {
		c.w.failed = err
		return
	}
	f := c.flows[gdflow.NewKey(p.To, p.From)]
	switch {
	case f == nil || f.ended || f.closed && f.end == nil:
	case p.Has(platformsim.Reset):
		f.reset(now, p)
	case p.Has(platformsim.Open | platformsim.Ack):
		if f.end == nil {
			f.end = gdstream.New(f.key.Caller(), f.key.Service(), f.seq+1, p.Seq+1)
			f.write(now)
		}
	case f.end != nil:
		f.answered(now, p)
	}
}

// answered handles a packet of the target on the open flow.
func (f *callerFlow) answered(now time.Time, p platformsim.Packet) {
	f.buf = append(f.buf, f.end.Receive(now, p)...)
	if len(f.buf) >= answerSize {
		line, _, _ := bytes.Cut(f.buf, []byte{'\n'})
		f.finish("answered: " + strings.TrimPrefix(string(line), f.id+" "))
		f.buf = f.buf[answerSize:]
		if f.think == 0 {
			f.end.Finish()
		}
	}
	if f.end.PeerFinished() {
		f.end.Finish()
	}
	f.poll(now)
}

// reset ends the flow, if the reset is near enough to what the requester expects.
func (f *callerFlow) reset(now time.Time, p platformsim.Packet) {
	const window = 76800
	if f.end != nil && p.Seq-f.end.ExpectedSeq()+window > 2*window {
		return
	}
	if f.end != nil && p.Unsigned {
		f.c.resets = append(f.c.resets, reset{at: now, key: f.key, id: f.id, holder: f.c.w.holderOf(f.key)})
	}
	f.ended = true
	who := "the target"
	if p.Unsigned {
		who = "the system"
	}
	f.c.w.record("flow %s is reset by %s", f.key, who)
	f.finish("reset by " + who)
}

// finish records the result of the request. The flow is still served until both ends have
// closed it.
func (f *callerFlow) finish(result string) {
	if f.closed {
		return
	}
	f.closed = true
	f.c.results[result]++
	f.c.w.record("%s: %s", f.id, result)
	if f.think > 0 {
		f.c.w.after(f.pause(), f.next)
	}
}

// giveUp ends the request at its deadline, and the flow with it.
func (f *callerFlow) giveUp() {
	if !f.closed {
		f.ended = true
		f.finish("no answer before the deadline")
	}
}

// pause returns a pause between half of the flow's and one and a half times that.
func (f *callerFlow) pause() time.Duration {
	return f.think/2 + rand.N(f.think)
}

// next sends the next request on a flow that is held, or opens another one.
func (f *callerFlow) next(now time.Time) {
	c := f.c
	if c.stopped {
		return
	}
	if f.sent++; c.perFlow > 0 && f.sent >= c.perFlow && f.end != nil && !f.ended {
		f.end.Finish()
		f.poll(now)
		f.ended = true // what still comes on it is not looked at
		if f.once {
			return
		}
	}
	if f.ended || f.end == nil || f.end.PeerFinished() {
		c.request(now, f.key.Service(), f.limit, f.think)
		return
	}
	c.sent++
	f.id, f.closed, f.buf = fmt.Sprintf("request-%d", c.sent), false, nil
	f.sentAt, f.deadline = now, now.Add(f.limit)
	c.w.record("%s sent on flow %s through %s", f.id, f.key, c.pick(f.key).name)
	f.write(now)
	id := f.id
	c.w.after(f.limit, func(time.Time) {
		if f.id == id {
			f.giveUp()
		}
	})
}

// write sends the request on the open flow.
func (f *callerFlow) write(now time.Time) {
	head := f.id + "\n"
	f.end.Write([]byte(head + strings.Repeat(".", f.c.size-len(head))))
	f.poll(now)
}

func (f *callerFlow) poll(now time.Time) {
	for _, p := range f.end.Poll(now) {
		f.send(p)
	}
	next := f.end.RetransmitAt()
	if next.IsZero() || f.end.Closed() || now.After(f.deadline) {
		return
	}
	f.c.w.after(next.Sub(now), func(now time.Time) {
		if at := f.end.RetransmitAt(); !at.IsZero() && !at.After(now) {
			f.poll(now)
		}
	})
}

// holderOf returns the name of the running target at which the flow is open, or nothing.
func (w *world) holderOf(k gdflow.Key) string {
	for _, t := range w.targets {
		if f := t.flows[k]; t.conn != nil && f != nil && f.open && !f.closed {
			return t.name
		}
	}
	return ""
}
