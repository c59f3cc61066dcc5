package gdfabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDatagramBytes is the size of the largest datagram that the fabric forwards.
	maxDatagramBytes = 2048
	// maxQueued is the largest number of datagrams in one delay line. Further ones are
	// dropped.
	maxQueued = 16384
)

// packet is one datagram to send from a socket of the fabric.
type packet struct {
	buf  []byte
	from *net.UDPConn
	to   netip.AddrPort
	due  time.Time // when to send it
}

// send sends the datagram and frees its buffer.
func (p packet) send() {
	_, _ = p.from.WriteToUDPAddrPort(p.buf, p.to)
	freeBuffer(p.buf)
}

var buffers = sync.Pool{New: func() any { return new([maxDatagramBytes]byte) }}

func newBuffer() []byte { return buffers.Get().(*[maxDatagramBytes]byte)[:] }

func freeBuffer(b []byte) { buffers.Put((*[maxDatagramBytes]byte)(b[:maxDatagramBytes])) }

// delayLine delays datagrams by a fixed time. As the delay is fixed, the first one in
// the queue is always the first one due.
type delayLine struct {
	delay time.Duration
	queue chan packet
}

// delayLines holds a delay line for each delay. A line starts when it is first
// needed.
type delayLines struct {
	mu       sync.Mutex
	ctx      context.Context
	wg       sync.WaitGroup
	byDelay  map[time.Duration]*delayLine
	overflow atomic.Uint64
}

// enqueue sends the packet after the delay, or drops it if the delay line is full.
func (l *delayLines) enqueue(p packet, delay time.Duration) {
	if delay <= 0 {
		p.send()
		return
	}
	p.due = time.Now().Add(delay)
	select {
	case l.line(delay).queue <- p:
	default:
		l.overflow.Add(1)
		freeBuffer(p.buf)
	}
}

// line returns the delay line of the given delay and starts it if necessary.
func (l *delayLines) line(delay time.Duration) *delayLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ln, ok := l.byDelay[delay]; ok {
		return ln
	}
	if l.byDelay == nil {
		l.byDelay = make(map[time.Duration]*delayLine)
	}
	ln := &delayLine{delay: delay, queue: make(chan packet, maxQueued)}
	l.byDelay[delay] = ln
	ctx := l.ctx
	l.wg.Go(func() { ln.run(ctx) })
	return ln
}

// run sends the queued datagrams when they are due, until ctx ends.
func (ln *delayLine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-ln.queue:
			t := time.NewTimer(time.Until(p.due))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
			p.send()
		}
	}
}
