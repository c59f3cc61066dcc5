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
	// loopQueue is the number of functions that may be queued for the loop before post
	// blocks.
	loopQueue = 4096
	// maxDatagramSize is a buffer size, in bytes, larger than any packet.
	maxDatagramSize = 2048
)

// loop is an event loop, which runs functions one at a time.
type loop struct {
	ctx     context.Context
	queue   chan func(time.Time)
	stopped chan struct{} // closed when run has returned
}

func newLoop(ctx context.Context) *loop {
	return &loop{ctx: ctx, queue: make(chan func(time.Time), loopQueue), stopped: make(chan struct{})}
}

// post queues a function for the loop. It drops the function if the context has ended.
func (l *loop) post(f func(time.Time)) {
	select {
	case l.queue <- f:
	case <-l.ctx.Done():
	}
}

// After runs a function in the loop after the duration d.
func (l *loop) After(d time.Duration, f func(time.Time)) { time.AfterFunc(d, func() { l.post(f) }) }

// readPackets calls handle in the loop for each datagram of a socket, until the socket is
// closed.
func (l *loop) readPackets(c *net.UDPConn, handle func(now time.Time, raw []byte, from netip.AddrPort)) {
	b := make([]byte, maxDatagramSize)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the destination of an earlier packet was unreachable
		}
		raw := append([]byte(nil), b[:n]...)
		l.post(func(now time.Time) { handle(now, raw, from) })
	}
}

// schedulePoll calls poll when the endpoint's retransmission timer expires.
func (l *loop) schedulePoll(now time.Time, endpoint *gdstream.Endpoint, poll func(time.Time)) {
	next := endpoint.RetransmitAt()
	if next.IsZero() {
		return
	}
	l.After(next.Sub(now), func(now time.Time) {
		if next := endpoint.RetransmitAt(); !next.IsZero() && !next.After(now) {
			poll(now)
		}
	})
}

// run runs the queued functions until the context ends.
func (l *loop) run() {
	defer close(l.stopped)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.queue:
			f(time.Now())
		}
	}
}
