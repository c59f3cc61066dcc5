package gdfaultproxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// bufferSize is the size of the buffer for each direction of a connection, in bytes.
const bufferSize = 16 << 10

// StreamFaults are the faults of a host's connections.
type StreamFaults struct {
	// Delay is an additional delay in each direction.
	Delay time.Duration
	// HoldIn holds back the data to the host while it is set, and HoldOut the data from
	// the host. With both set the connections are silent.
	HoldIn, HoldOut bool
}

// StreamProxy forwards the TCP connections of one host. Set its exported fields before
// Listen.
type StreamProxy struct {
	// Target is the address that the connections are forwarded to.
	Target netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	faults   StreamFaults
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

// Listen starts to accept and forward connections.
func (s *StreamProxy) Listen(addr netip.AddrPort) error {
	var err error
	if s.listener, err = net.Listen("tcp4", addr.String()); err != nil {
		return errors.Wrap(err, "listen for the stream proxy")
	}
	s.changed, s.conns = make(chan struct{}), make(map[net.Conn]struct{})
	go s.accept()
	return nil
}

// Addr returns the address that the proxy listens on.
func (s *StreamProxy) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetFaults sets the faults of the present and future connections.
func (s *StreamProxy) SetFaults(f StreamFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reset resets all connections.
func (s *StreamProxy) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // best effort: if it fails, the connection is closed without a reset
		}
		_ = c.Close() // forward may have closed it
	}
}

// Close closes the listener and resets all connections.
func (s *StreamProxy) Close() error {
	err := s.listener.Close()
	s.SetFaults(StreamFaults{})
	s.Reset()
	return errors.Wrap(err, "close the stream proxy")
}

func (s *StreamProxy) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		go s.serve(c)
	}
}

func (s *StreamProxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp4", s.Target.String())
	if err != nil {
		return
	}
	defer server.Close()
	s.mu.Lock()
	s.conns[client], s.conns[server] = struct{}{}, struct{}{}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go s.forward(ctx, cancel, client, server, func(f StreamFaults) bool { return f.HoldOut })
	s.forward(ctx, cancel, server, client, func(f StreamFaults) bool { return f.HoldIn })
	s.mu.Lock()
	delete(s.conns, client)
	delete(s.conns, server)
	s.mu.Unlock()
}

// forward copies one direction until either connection fails or is closed. It then cancels
// the context, which closes both connections.
func (s *StreamProxy) forward(ctx context.Context, cancel func(), from, to net.Conn, held func(StreamFaults) bool) {
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _, _ = from.Close(), to.Close() })
	defer stop()
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if s.waitUntilReleased(ctx, held) != nil {
			return
		}
		if _, writeErr := to.Write(b[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// waitUntilReleased waits until the direction is not held, and then for the delay.
func (s *StreamProxy) waitUntilReleased(ctx context.Context, held func(StreamFaults) bool) error {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		s.mu.Unlock()
		var delay <-chan time.Time
		if !held(f) {
			if f.Delay == 0 {
				return nil
			}
			delay = time.After(f.Delay)
		}
		select {
		case <-ctx.Done():
			return io.ErrClosedPipe
		case <-delay:
			return nil
		case <-changed:
		}
	}
}
