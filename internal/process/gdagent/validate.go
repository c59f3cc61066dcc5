package gdagent

import (
	"net"
	"sync"
	"time"
)

// freeOpenings is the number of flows a second that may be opened without a proof
// that the caller's address is its own. Above it, a caller needs one more round
// trip (QUIC's Retry), and made-up addresses cost the agent no handshake.
const freeOpenings = 100

// openings counts the first packets of flows within each second. Its zero value is
// ready; it is safe for concurrent use.
type openings struct {
	mu     sync.Mutex
	second int64
	n      int
}

// crowded counts one opening and reports whether it needs a proof.
func (o *openings) crowded(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := now.Unix(); s != o.second {
		o.second, o.n = s, 0
	}
	o.n++
	return o.n > freeOpenings
}

// needsProof is what the QUIC transport asks for each opening.
func (a *Agent) needsProof(net.Addr) bool { return a.openings.crowded(time.Now()) }
