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

// bufferSize is how much a stream's relay reads at a time, in bytes.
const bufferSize = 16 << 10

// StreamFaults are what happens to a host's connections.
type StreamFaults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// HoldIn and HoldOut hold what the host is sent, or sends, while they are set;
	// with both the connections are silent.
	HoldIn, HoldOut bool
}

// StreamProxy relays the connections of one host. Its exported fields are set before
// Listen.
type StreamProxy struct {
	// Target is where the connections go.
	Target netip.AddrPort

	l       net.Listener
	mu      sync.Mutex
	faults  StreamFaults
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// Listen begins to relay.
func (s *StreamProxy) Listen(at netip.AddrPort) error {
	var err error
	if s.l, err = net.Listen("tcp4", at.String()); err != nil {
		return errors.Wrap(err, "listen for a relay")
	}
	s.changed, s.conns = make(chan struct{}), make(map[net.Conn]struct{})
	go s.accept()
	return nil
}

// Addr returns where the relay listens.
func (s *StreamProxy) Addr() netip.AddrPort { return s.l.Addr().(*net.TCPAddr).AddrPort() }

// SetFaults sets what happens to the connections from now on.
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
			_ = t.SetLinger(0) // best effort: without it the connection ends in order
		}
		_ = c.Close() // the other side may have closed it
	}
}

// Close ends the relay and its connections.
func (s *StreamProxy) Close() error {
	err := s.l.Close()
	s.SetFaults(StreamFaults{})
	s.Reset()
	return errors.Wrap(err, "end relay")
}

func (s *StreamProxy) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return // closed
		}
		go s.serve(c)
	}
}

func (s *StreamProxy) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp4", s.Target.String())
	if err != nil {
		return
	}
	defer far.Close()
	s.mu.Lock()
	s.conns[near], s.conns[far] = struct{}{}, struct{}{}
	s.mu.Unlock()
	ctx, ended := context.WithCancel(context.Background())
	go s.copy(ctx, ended, near, far, func(f StreamFaults) bool { return f.HoldOut })
	s.copy(ctx, ended, far, near, func(f StreamFaults) bool { return f.HoldIn })
	s.mu.Lock()
	delete(s.conns, near)
	delete(s.conns, far)
	s.mu.Unlock()
}

// copy copies one direction until either connection ends, and then ends the other.
func (s *StreamProxy) copy(ctx context.Context, ended func(), from, to net.Conn, held func(StreamFaults) bool) {
	defer ended()
	stop := context.AfterFunc(ctx, func() { _, _ = from.Close(), to.Close() })
	defer stop()
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if s.await(ctx, held) != nil {
			return
		}
		if _, writeErr := to.Write(b[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// await waits until the direction is no longer held, and then for its delay.
func (s *StreamProxy) await(ctx context.Context, held func(StreamFaults) bool) error {
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
