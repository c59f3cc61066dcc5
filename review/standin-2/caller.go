package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The times at which requesters send copies of an opening packet, and give up.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
)

// callers are the requesters, at one address. Their fields are guarded by the world's mutex.
type callers struct {
	w     *world
	conn  *net.UDPConn
	ip    netip.Addr
	port  uint16
	flows map[gdflow.Key]*flow
	ids   int
}

// flow is a requester's end of a flow.
type flow struct {
	c       *callers
	key     gdflow.Key
	seq     uint32
	end     *gdstream.Endpoint
	buffer  []byte
	request string    // the id of the request that waits for its answer
	sentAt  time.Time // when that was sent
	opened  chan bool
	answer  chan string // how the request has ended
	gone    bool
	reset   time.Time // when the flow was reset by the system while it was open
	via     *machine  // gets all packets of the flow, instead of the one that the routers choose
}

func newCallers(w *world) (*callers, error) {
	c := &callers{w: w, ip: w.network.Addr(callerNet, 1), port: 1024, flows: make(map[gdflow.Key]*flow)}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, callerPort))); err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *callers) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if c.w.ctx.Err() != nil {
				return
			}
			continue
		}
		p, err := platformsim.Decode(bytes.Clone(buf[:n]))
		c.w.mu.Lock()
		if err != nil {
			c.w.noteLocked("altered", "at a requester: %v", err)
		} else if f := c.flows[gdflow.NewKey(p.To, p.From)]; f != nil && !f.gone {
			f.receive(time.Now(), p)
		}
		c.w.mu.Unlock()
	}
}

// send sends a packet through the frontend machine that the routers choose.
func (f *flow) send(p platformsim.Packet) {
	to := f.via
	if to == nil {
		list := f.c.w.inRotation()
		if len(list) == 0 {
			return
		}
		to = list[f.key.Hash()%uint64(len(list))]
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(to.ip, callerPort))
	f.c.w.noteLocked("sends", "%s flags %d seq %d ack %d len %d through %s", f.key, p.Flags, p.Seq, p.Ack, len(p.Data), to.name)
}

// open opens a flow to a route. It sends on opened whether it was opened.
func (c *callers) open(routePort uint16, via *machine) *flow {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.port++
	f := &flow{
		c: c, key: gdflow.NewKey(gdflow.AddressFrom(c.ip.As4(), c.port), c.w.routeAddress(routePort)), seq: rand.Uint32(),
		opened: make(chan bool, 1), via: via,
	}
	c.flows[f.key] = f
	for i, at := range []time.Duration{0, firstCopy, secondCopy} {
		copies := uint32(i)
		time.AfterFunc(at, func() {
			c.w.mu.Lock()
			defer c.w.mu.Unlock()
			if f.end == nil && !f.gone {
				f.send(platformsim.Packet{From: f.key.Caller(), To: f.key.Service(), Seq: f.seq, Ack: copies, Flags: platformsim.Open})
			}
		})
	}
	time.AfterFunc(openLimit, func() {
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		if f.end == nil && !f.gone {
			f.gone = true
			c.w.noteLocked("gives up", "%s was not opened", f.key)
			f.opened <- false
		}
	})
	return f
}

func (f *flow) receive(now time.Time, p platformsim.Packet) {
	switch {
	case p.Has(platformsim.Reset):
		f.receiveReset(now, p)
	case f.end == nil && p.Has(platformsim.Open|platformsim.Ack):
		f.end = gdstream.New(f.key.Caller(), f.key.Service(), f.seq+1, p.Seq+1)
		f.c.w.noteLocked("opens", "%s at sequence number %d", f.key, p.Seq)
		f.poll()
		f.opened <- true
	case f.end == nil || p.Has(platformsim.Open):
	default:
		f.receiveData(now, p)
	}
}

func (f *flow) receiveReset(now time.Time, p platformsim.Packet) {
	const window = 76800
	if f.end != nil {
		if p.Unsigned && p.Seq-f.end.ExpectedSeq()+window > 2*window {
			return
		}
		if p.Unsigned {
			f.reset = now
		}
	}
	f.gone = true
	f.c.w.noteLocked("reset", "%s, open %t, by the system %t", f.key, f.end != nil, p.Unsigned)
	if f.end == nil {
		f.opened <- false
	}
	f.finish("reset")
}

func (f *flow) receiveData(now time.Time, p platformsim.Packet) {
	f.buffer = append(f.buffer, f.end.Receive(now, p)...)
	if head, rest, ok := bytes.Cut(f.buffer, []byte("\r\n\r\n")); ok && f.request != "" {
		id := requestID(string(head))
		body := "done " + f.request
		switch {
		case id != f.request:
			f.finish("answer of another request: " + id)
		case len(rest) >= len(body):
			f.buffer = rest[len(body):]
			f.finish("answered")
		}
	}
	if f.end.PeerFinished() {
		f.end.Finish()
	}
	f.poll()
}

// finish ends the request in progress.
func (f *flow) finish(outcome string) {
	if f.request == "" {
		return
	}
	f.c.w.noteLocked("ends", "%s on %s after %s: %s", f.request, f.key, time.Since(f.sentAt).Round(time.Millisecond), outcome)
	f.request = ""
	f.answer <- outcome
}

// ask sends a request on the flow. The returned channel gets how it ends. A requester whose
// deadline passes gives up the flow.
func (f *flow) ask(deadline time.Duration) <-chan string {
	w := f.c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := make(chan string, 1)
	if f.gone || f.end == nil {
		answer <- "no flow"
		return answer
	}
	f.c.ids++
	id := fmt.Sprintf("r%05d", f.c.ids)
	f.request, f.answer, f.sentAt = id, answer, time.Now()
	w.noteLocked("asks", "%s on %s", id, f.key)
	f.end.Write(fmt.Appendf(nil, "GET /feed HTTP/1.1\r\nX-Request-Id: %s\r\n\r\n", id))
	f.poll()
	time.AfterFunc(deadline, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if f.request == id {
			f.gone = true
			f.finish("deadline")
		}
	})
	return answer
}

// poll sends what the flow has to send, now and later.
func (f *flow) poll() {
	if f.gone {
		return
	}
	for _, p := range f.end.Poll(time.Now()) {
		f.send(p)
	}
	if at := f.end.RetransmitAt(); !at.IsZero() {
		time.AfterFunc(time.Until(at)+time.Millisecond, func() {
			f.c.w.mu.Lock()
			defer f.c.w.mu.Unlock()
			f.poll()
		})
	}
}
