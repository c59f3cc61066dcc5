// Package gdbatch reads and writes UDP datagrams in batches. When datagrams arrive
// faster than they are handled, one system call transfers a whole batch.
//
// # Usage
//
//	r := gdbatch.NewReader(conn, size)
//	w := gdbatch.NewWriter(conn, size)
//	for {
//		n, err := r.Read()
//		...
//		for i := range n {
//			data, from := r.At(i)
//			out := append(w.Buffer(), data...)
//			w.Queue(out, to)
//		}
//		dropped := w.Flush()
//	}
//
// A [Reader] and a [Writer] may each be used by one goroutine only. The slice
// returned by [Reader.At] is valid until the next call to [Reader.Read].
package gdbatch

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// Size is the maximum number of datagrams in a batch. A batch starts with room
// for one datagram and doubles each time it is full, which keeps memory use low
// on thousands of mostly idle sockets.
const Size = 16

// batchConn is the method set that ipv4.PacketConn and ipv6.PacketConn share.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

func newBatchConn(c *net.UDPConn) batchConn {
	local, ok := c.LocalAddr().(*net.UDPAddr)
	if ok && local.IP.To4() == nil {
		return ipv6.NewPacketConn(c)
	}
	return ipv4.NewPacketConn(c)
}

// grow doubles the number of messages, up to Size, and allocates a buffer of the
// given size for each new one.
func grow(ms []ipv4.Message, size int) []ipv4.Message {
	for want := min(max(2*len(ms), 1), Size); len(ms) < want; {
		ms = append(ms, ipv4.Message{Buffers: [][]byte{make([]byte, size)}})
	}
	return ms
}

// Reader reads batches of datagrams from a socket.
type Reader struct {
	conn batchConn
	size int
	ms   []ipv4.Message
	full bool
}

// NewReader returns a reader for datagrams of at most size bytes. Longer datagrams
// are truncated, so size should be one more than the largest valid datagram.
func NewReader(c *net.UDPConn, size int) *Reader {
	return &Reader{conn: newBatchConn(c), size: size, ms: grow(nil, size)}
}

// Read blocks until at least one datagram arrives and returns the number of
// datagrams read.
func (r *Reader) Read() (int, error) {
	if r.full {
		r.ms = grow(r.ms, r.size)
	}
	n, err := r.conn.ReadBatch(r.ms, 0)
	r.full = n == len(r.ms)
	return n, errors.Wrap(err, "read datagram batch")
}

// At returns datagram i of the last batch and its source address.
func (r *Reader) At(i int) ([]byte, netip.AddrPort) {
	m := &r.ms[i]
	from, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return nil, netip.AddrPort{}
	}
	ap := from.AddrPort()
	return m.Buffers[0][:m.N], netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// Writer queues datagrams and writes them to a socket in batches.
type Writer struct {
	conn    batchConn
	size    int
	ms      []ipv4.Message
	addrs   [Size]net.UDPAddr
	ips     [Size][net.IPv6len]byte
	n       int
	dropped int
}

// NewWriter returns a writer for datagrams of at most size bytes.
func NewWriter(c *net.UDPConn, size int) *Writer {
	return &Writer{conn: newBatchConn(c), size: size, ms: grow(nil, size)}
}

// Buffer returns an empty slice with capacity for one datagram. Append the
// datagram to it and pass the result to Queue.
func (w *Writer) Buffer() []byte { return w.ms[w.n].Buffers[0][:0] }

// Queue adds a datagram to the batch. A full batch is written immediately.
func (w *Writer) Queue(data []byte, to netip.AddrPort) {
	m := &w.ms[w.n]
	m.Buffers[0] = data
	a := &w.addrs[w.n]
	w.ips[w.n] = to.Addr().As16()
	a.IP = w.ips[w.n][:]
	a.Port = int(to.Port())
	m.Addr = a
	w.n++
	if w.n < len(w.ms) {
		return
	}
	if w.n == Size {
		w.write()
		return
	}
	w.ms = grow(w.ms, w.size)
}

// Flush writes the queued datagrams and returns the number of datagrams that the
// host's network stack did not accept since the last Flush.
func (w *Writer) Flush() int {
	w.write()
	dropped := w.dropped
	w.dropped = 0
	return dropped
}

// write sends the batch. It drops and counts a datagram that the host's network
// stack refuses, so that one bad address does not block the datagrams after it.
func (w *Writer) write() {
	for ms := w.ms[:w.n]; len(ms) > 0; {
		n, err := w.conn.WriteBatch(ms, 0)
		if err != nil || n <= 0 {
			w.dropped++
			n = max(n, 0) + 1
		}
		ms = ms[min(n, len(ms)):]
	}
	w.n = 0
}
