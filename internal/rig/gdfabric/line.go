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
	// maxDatagram is the largest datagram that the fabric carries, in bytes.
	maxDatagram = 2048
	// lineLength bounds the datagrams that wait on one delay line.
	lineLength = 16384
)

// packet is one datagram on its way.
type packet struct {
	buf  []byte
	from *net.UDPConn
	to   netip.AddrPort
	due  time.Time
}

func (p packet) send() {
	_, _ = p.from.WriteToUDPAddrPort(p.buf, p.to)
	freeBuffer(p.buf)
}

var buffers = sync.Pool{New: func() any { return new([maxDatagram]byte) }}

func newBuffer() []byte { return buffers.Get().(*[maxDatagram]byte)[:] }

func freeBuffer(b []byte) { buffers.Put((*[maxDatagram]byte)(b[:maxDatagram])) }

// line holds datagrams for one fixed delay, so that the first in is the first
// due.
type line struct {
	delay time.Duration
	queue chan packet
}

// lines are the delay lines by their delay. A line starts when it is first
// needed.
type lines struct {
	mu       sync.Mutex
	ctx      context.Context
	wg       sync.WaitGroup
	byDelay  map[time.Duration]*line
	overflow atomic.Uint64
}

func (l *lines) put(p packet, delay time.Duration) {
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

func (l *lines) line(delay time.Duration) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ln, ok := l.byDelay[delay]; ok {
		return ln
	}
	if l.byDelay == nil {
		l.byDelay = make(map[time.Duration]*line)
	}
	ln := &line{delay: delay, queue: make(chan packet, lineLength)}
	l.byDelay[delay] = ln
	ctx := l.ctx
	l.wg.Go(func() { ln.run(ctx) })
	return ln
}

func (ln *line) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-ln.queue:
			if wait := time.Until(p.due); wait > 0 {
				time.Sleep(wait)
			}
			p.send()
		}
	}
}
