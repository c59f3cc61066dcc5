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
}

type callerFlow struct {
	c        *callers
	key      gdflow.Key
	id       string
	seq      uint32
	sentAt   time.Time
	deadline time.Time
	entry    *process
	end      *gdstream.Endpoint
	buf      []byte
	closed   bool
}

func newCallers(w *world) (*callers, error) {
	c := &callers{w: w, ip: w.network.Addr(callerNet, 1), flows: make(map[gdflow.Key]*callerFlow), port: firstPort, results: make(map[string]int)}
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
		c.request(now, to, deadline)
	})
}

func (c *callers) request(now time.Time, to gdflow.Address, deadline time.Duration) {
	c.port++
	c.sent++
	f := &callerFlow{
		c: c, key: gdflow.NewKey(address(netip.AddrPortFrom(c.ip, c.port)), to), id: fmt.Sprintf("request-%d", c.sent),
		seq: rand.Uint32(), sentAt: now, deadline: now.Add(deadline),
	}
	f.entry = c.entries[f.key.Hash()%uint64(len(c.entries))]
	c.flows[f.key] = f
	c.w.record("%s sent on flow %s through %s", f.id, f.key, f.entry.name)
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
	c.w.after(deadline, func(time.Time) { f.finish("no answer before the deadline") })
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
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(f.entry.ip, callerPort)) // may be lost
}

func (c *callers) receive(now time.Time, raw []byte) {
	p, err := platformsim.Decode(raw)
	if err != nil {
		c.w.failed = err
		return
	}
	f := c.flows[gdflow.NewKey(p.To, p.From)]
	switch {
	case f == nil || f.closed && f.end == nil:
	case p.Has(platformsim.Reset):
		f.finish(map[bool]string{true: "reset by the system", false: "reset by the target"}[p.Unsigned])
	case p.Has(platformsim.Open | platformsim.Ack):
		if f.end == nil {
			f.end = gdstream.New(f.key.Caller(), f.key.Service(), f.seq+1, p.Seq+1)
			head := f.id + "\n"
			f.end.Write([]byte(head + strings.Repeat(".", requestSize-len(head))))
			f.poll(now)
		}
	case f.end != nil:
		f.buf = append(f.buf, f.end.Receive(now, p)...)
		if len(f.buf) >= answerSize {
			line, _, _ := bytes.Cut(f.buf, []byte{'\n'})
			f.finish("answered: " + strings.TrimPrefix(string(line), f.id+" "))
			f.end.Finish()
		}
		f.poll(now)
	}
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
