// Package gdsocket opens sockets, reads them until they are closed, and closes them.
//
// # Usage
//
//	conn, err := gdsocket.Listen("agents", at)
//	p := &gdsocket.Pump{
//		In: gdbatch.NewReader(conn, gdsocket.MaxDatagram), Lock: &mu,
//		Handle: handle, Batch: batch, Flush: out.flush, Failed: failed,
//	}
//	err = p.Run(ctx)
package gdsocket

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
)

// MaxDatagramSize is longer than any packet with what is put before it, in bytes.
const MaxDatagramSize = 1500

// Listen opens a socket at which others send.
func Listen(others string, at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	return c, errors.Wrapf(err, "listen for %s at %s", others, at)
}

// Close closes all, and returns the first error. One that is closed already is fine.
func Close(all ...io.Closer) error {
	var first error
	for _, c := range all {
		if err := c.Close(); first == nil && !errors.Is(err, net.ErrClosed) {
			first = err
		}
	}
	return errors.Wrap(first, "close sockets")
}

// ReadLoop reads a socket. Its fields are set before Run.
type ReadLoop struct {
	Reader *gdbatch.Reader
	Lock   sync.Locker
	// Handle takes a datagram, and Batch is called after those of a read; both with the
	// lock held.
	Handle   func(now time.Time, b []byte, from netip.AddrPort)
	EndBatch func(now time.Time)
	// Flush sends what the batch has brought about.
	Flush func()
	// OnReadError counts errors of a read, after which the next one may succeed.
	OnReadError func()
}

// Run returns when the socket is closed or the context has ended.
func (p *ReadLoop) Run(ctx context.Context) error {
	for {
		n, err := p.Reader.Read()
		if err == nil {
			p.take(time.Now(), n)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		p.OnReadError()
	}
}

func (p *ReadLoop) take(now time.Time, n int) {
	p.Lock.Lock()
	for i := range n {
		b, from := p.Reader.At(i)
		p.Handle(now, b, from)
	}
	p.EndBatch(now)
	p.Lock.Unlock()
	p.Flush()
}
