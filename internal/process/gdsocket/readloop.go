// Package gdsocket opens UDP sockets, reads them until they are closed, and closes
// them.
//
// # Usage
//
//	conn, err := gdsocket.Listen("agents", addr)
//	l := &gdsocket.ReadLoop{
//		Reader: gdbatch.NewReader(conn, gdsocket.MaxDatagramSize), Lock: &mu,
//		Handle: handle, EndBatch: endBatch, Flush: out.flush, OnReadError: countError,
//	}
//	err = l.Run(ctx)
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

// MaxDatagramSize is the size of a read buffer in bytes. It exceeds the size of any
// packet with the headers that are put before it.
const MaxDatagramSize = 1500

// Listen opens a UDP socket at the address. senders names the hosts that send to it, for
// the error.
func Listen(senders string, addr netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	return c, errors.Wrapf(err, "listen for %s at %s", senders, addr)
}

// Close closes all sockets and returns the first error. Sockets that are already closed
// are no error.
func Close(sockets ...io.Closer) error {
	var first error
	for _, c := range sockets {
		if err := c.Close(); first == nil && !errors.Is(err, net.ErrClosed) {
			first = err
		}
	}
	return errors.Wrap(first, "close sockets")
}

// ReadLoop reads datagrams from a socket in batches. Its fields are set before Run.
type ReadLoop struct {
	Reader *gdbatch.Reader
	Lock   sync.Locker
	// Handle is called with each datagram, and EndBatch after the datagrams of a batch.
	// Both are called with the lock held.
	Handle   func(now time.Time, b []byte, from netip.AddrPort)
	EndBatch func(now time.Time)
	// Flush is called after EndBatch, without the lock, to send the resulting packets.
	Flush func()
	// OnReadError is called after a failed read. The loop then reads again.
	OnReadError func()
}

// Run reads until the socket is closed, or a read fails after the context has ended.
func (l *ReadLoop) Run(ctx context.Context) error {
	for {
		n, err := l.Reader.Read()
		if err == nil {
			l.handleBatch(time.Now(), n)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		l.OnReadError()
	}
}

func (l *ReadLoop) handleBatch(now time.Time, n int) {
	l.Lock.Lock()
	for i := range n {
		b, from := l.Reader.At(i)
		l.Handle(now, b, from)
	}
	l.EndBatch(now)
	l.Lock.Unlock()
	l.Flush()
}
