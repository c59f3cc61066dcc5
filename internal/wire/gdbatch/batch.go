// Package gdbatch reads and writes datagrams many at a time, so that one system
// call serves a whole batch when datagrams arrive faster than they are handled.
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
//		failed := w.Flush()
//	}
//
// A Reader and a Writer each belong to one goroutine. What At returns is valid
// until the next Read.
package gdbatch

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// Size is the largest number of datagrams in a batch. A batch starts with one
// and doubles when it was full, so that the thousands of sockets on which little
// arrives cost little memory.
const Size = 16

// conn is what ipv4.PacketConn and ipv6.PacketConn share.
type conn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

func wrap(c *net.UDPConn) conn {
	local, ok := c.LocalAddr().(*net.UDPAddr)
	if ok && local.IP.To4() == nil {
		return ipv6.NewPacketConn(c)
	}
	return ipv4.NewPacketConn(c)
}

// grow returns the messages with room for twice as many, at most Size.
func grow(ms []ipv4.Message, size int) []ipv4.Message {
	for want := min(max(2*len(ms), 1), Size); len(ms) < want; {
		ms = append(ms, ipv4.Message{Buffers: [][]byte{make([]byte, size)}})
	}
	return ms
}

// Reader reads batches from a socket.
type Reader struct {
	conn conn
	size int
	ms   []ipv4.Message
	full bool
}

// NewReader returns a reader for datagrams of at most size bytes. A longer one
// is cut, so size should be one more than the largest that is of use.
func NewReader(c *net.UDPConn, size int) *Reader {
	return &Reader{conn: wrap(c), size: size, ms: grow(nil, size)}
}

// Read waits for at least one datagram and returns how many it read.
func (r *Reader) Read() (int, error) {
	if r.full {
		r.ms = grow(r.ms, r.size)
	}
	n, err := r.conn.ReadBatch(r.ms, 0)
	r.full = n == len(r.ms)
	return n, errors.Wrap(err, "read a batch of datagrams")
}

// At returns datagram i of the last batch and its sender.
func (r *Reader) At(i int) ([]byte, netip.AddrPort) {
	m := &r.ms[i]
	from, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return nil, netip.AddrPort{}
	}
	ap := from.AddrPort()
	return m.Buffers[0][:m.N], netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// Writer gathers datagrams and writes them as a batch.
type Writer struct {
	conn  conn
	size  int
	ms    []ipv4.Message
	addrs [Size]net.UDPAddr
	ips   [Size][net.IPv6len]byte
	n     int
	lost  int
}

// NewWriter returns a writer with room for datagrams of size bytes.
func NewWriter(c *net.UDPConn, size int) *Writer {
	return &Writer{conn: wrap(c), size: size, ms: grow(nil, size)}
}

// Buffer returns an empty slice with room for the next datagram, to be appended
// to and handed to Queue.
func (w *Writer) Buffer() []byte { return w.ms[w.n].Buffers[0][:0] }

// Queue adds a datagram to the batch. A full batch is written at once.
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

// Flush writes what is queued and returns how many datagrams the host did not
// take since the last Flush.
func (w *Writer) Flush() int {
	w.write()
	lost := w.lost
	w.lost = 0
	return lost
}

// write sends the batch. A datagram that the host refuses is skipped, so that
// one bad address does not hold up the others.
func (w *Writer) write() {
	for ms := w.ms[:w.n]; len(ms) > 0; {
		n, err := w.conn.WriteBatch(ms, 0)
		if err != nil || n <= 0 {
			w.lost++
			n = max(n, 0) + 1
		}
		ms = ms[min(n, len(ms)):]
	}
	w.n = 0
}
