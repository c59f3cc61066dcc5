package gdhostrig

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
)

const (
	// loopQueue is how many functions wait for the loop before those who bring one wait.
	loopQueue = 4096
	// maxDatagram is longer than any packet, in bytes.
	maxDatagram = 2048
)

// loop runs functions one after the other.
type loop struct {
	ctx  context.Context
	work chan func(time.Time)
	over chan struct{} // closed when run has returned
}

func newLoop(ctx context.Context) *loop {
	return &loop{ctx: ctx, work: make(chan func(time.Time), loopQueue), over: make(chan struct{})}
}

// post brings a function to the loop.
func (l *loop) post(f func(time.Time)) {
	select {
	case l.work <- f:
	case <-l.ctx.Done():
	}
}

// After runs a function in the loop some time from now.
func (l *loop) After(d time.Duration, f func(time.Time)) { time.AfterFunc(d, func() { l.post(f) }) }

// readPackets brings the datagrams of a socket to the loop until it is closed.
func (l *loop) readPackets(c *net.UDPConn, take func(now time.Time, raw []byte, from netip.AddrPort)) {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier packet found nobody
		}
		raw := append([]byte(nil), b[:n]...)
		l.post(func(now time.Time) { take(now, raw, from) })
	}
}

// pollAgain polls a flow's end when a packet is to be sent again.
func (l *loop) pollAgain(now time.Time, end *gdstream.Endpoint, poll func(time.Time)) {
	next := end.RetransmitAt()
	if next.IsZero() {
		return
	}
	l.After(next.Sub(now), func(now time.Time) {
		if next := end.RetransmitAt(); !next.IsZero() && !next.After(now) {
			poll(now)
		}
	})
}

// run runs what is brought until the context ends.
func (l *loop) run() {
	defer close(l.over)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.work:
			f(time.Now())
		}
	}
}
