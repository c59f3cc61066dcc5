package gdnode

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
)

// recordsPerSecond bounds the decisions on packets that one goroutine records,
// so that a flood does not wipe out the records of everything else.
const recordsPerSecond = 50

// Decision is the record of a decision on a packet.
type Decision struct {
	Time     time.Time
	Caller   netip.AddrPort
	Service  gdconf.ServiceID
	Verdict  gdroute.Verdict
	Reason   gdroute.Reason
	Upstream string
}

// Recorder passes on the decisions that explain where a flow went: those on
// packets that may open one, and those on dropped packets. Packets in the middle
// of a flow follow their token and are not recorded. It belongs to one goroutine.
type Recorder struct {
	// OnDecision takes the records; it may be nil.
	OnDecision func(Decision)
	// Self is the name of the agent's own upstream, which takes the packets that
	// are accepted; a balancer has none.
	Self string

	second int64
	n      int
}

// Record records a decision, unless there were too many within this second.
func (r *Recorder) Record(now time.Time, caller netip.AddrPort, p gdroute.Packet, d gdroute.Decision) {
	if r.OnDecision == nil || !p.MayOpen() && d.Verdict() != gdroute.Drop {
		return
	}
	if s := now.Unix(); s != r.second {
		r.second, r.n = s, 0
	}
	if r.n >= recordsPerSecond {
		return
	}
	r.n++
	rec := Decision{Time: now, Caller: caller, Service: p.Service(), Verdict: d.Verdict(), Reason: d.Reason()}
	if u := d.Upstream(); u != nil {
		rec.Upstream = u.Name()
	} else if d.Verdict() == gdroute.Accept {
		rec.Upstream = r.Self
	}
	r.OnDecision(rec)
}
