package gdagent

import (
	"net"
	"sync"
	"time"
)

// unvalidatedPerSecond is the number of flows that may be opened each second without
// address validation. Above it, a caller needs one more round trip (a QUIC Retry), and
// packets from spoofed addresses cost the agent no handshake.
const unvalidatedPerSecond = 100

// openings counts the first packets of flows in the current second. The zero value is
// ready for use. It is safe for concurrent use.
type openings struct {
	mu     sync.Mutex
	second int64
	n      int
}

// overLimit counts an opening and reports whether it needs address validation.
func (o *openings) overLimit(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := now.Unix(); s != o.second {
		o.second, o.n = s, 0
	}
	o.n++
	return o.n > unvalidatedPerSecond
}

// needsValidation reports whether the transport must validate a caller's address. The
// transport calls it for each opening.
func (a *Agent) needsValidation(net.Addr) bool { return a.openings.overLimit(time.Now()) }
