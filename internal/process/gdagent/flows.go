package gdagent

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// CodeDomainOut is the application error code with which the agent aborts flows when
// their failure domain goes out of service. Callers reconnect at once and reach
// another failure domain.
const CodeDomainOut quic.ApplicationErrorCode = 0x6764

// CodeStopping is the application error code with which the agent closes the
// remaining flows when it stops and its drain time is over.
const CodeStopping quic.ApplicationErrorCode = 0x6765

// flows is the set of open connections. It is safe for concurrent use.
type flows struct {
	mu   sync.Mutex
	open map[*quic.Conn]struct{}
}

func (f *flows) add(c *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = make(map[*quic.Conn]struct{})
	}
	f.open[c] = struct{}{}
}

func (f *flows) remove(c *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}

func (f *flows) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// closeAll closes every flow with the code and returns their number.
func (f *flows) closeAll(code quic.ApplicationErrorCode, reason string) int {
	f.mu.Lock()
	conns := make([]*quic.Conn, 0, len(f.open))
	for c := range f.open {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	for _, c := range conns {
		// An error means that the connection has ended already.
		_ = c.CloseWithError(code, reason)
	}
	return len(conns)
}

// callers returns the addresses of at most limit open flows.
func (f *flows) callers(limit int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for c := range f.open {
		if len(out) == limit {
			break
		}
		out = append(out, c.RemoteAddr().String())
	}
	return out
}
