package gdrequest

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// An upstream that sends more than one answer to a request leaves bytes on the connection
// that the next request would take for its answer. http.Transport closes a connection on
// which bytes arrive while it is idle, but may use it again before it has looked. A request
// therefore waits until the transport reads from the idle connection: it does so only when
// nothing is left of the answer before.

const (
	// idleWait limits the wait for the transport: the time in which a busy host runs
	// a goroutine that is ready.
	idleWait = 20 * time.Millisecond
	// idlePoll is the interval of the checks.
	idlePoll = 20 * time.Microsecond
)

// watchedConn is a connection to the upstream that knows whether it is being read.
type watchedConn struct {
	net.Conn
	reading atomic.Bool
	closed  atomic.Bool
}

func (c *watchedConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	return c.Conn.Read(b)
}

func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// awaitIdle waits until the connection is read, so that nothing is left of the answer
// before, or closed. If neither happens in time it closes the connection.
func (c *watchedConn) awaitIdle() {
	for end := time.Now().Add(idleWait); !c.reading.Load() && !c.closed.Load(); time.Sleep(idlePoll) {
		if time.Now().After(end) {
			_ = c.Close() // the request then fails or gets another connection
			return
		}
	}
}

// watchConns returns a dial function whose connections are watched.
func watchConns(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: c}, nil
	}
}

// checkReused makes a request wait until a connection that was used before is idle.
func checkReused(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*watchedConn); ok && info.Reused {
		c.awaitIdle()
	}
}
