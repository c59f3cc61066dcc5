package gdnode

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
)

// maxRecordsPerSecond is the maximum number of decisions that one goroutine records each
// second, so that a flood of packets does not displace all other records.
const maxRecordsPerSecond = 50

// Decision is the record of a decision on a packet.
type Decision struct {
	Time     time.Time
	Caller   netip.AddrPort
	Service  gdconf.ServiceID
	Verdict  gdroute.Verdict
	Reason   gdroute.Reason
	Upstream string
}

// Recorder records the decisions that explain the route of a flow: those on packets
// that may open a flow, and those on dropped packets. Other packets follow their token
// and are not recorded. A Recorder belongs to one goroutine.
type Recorder struct {
	// OnDecision, if set, is called with each record.
	OnDecision func(Decision)
	// Self is the name of the agent's upstream, to which accepted packets go. It is
	// empty for a balancer.
	Self string

	second int64
	n      int
}

// Record records a decision, unless the limit for the current second is reached.
func (r *Recorder) Record(now time.Time, caller netip.AddrPort, p gdroute.Packet, d gdroute.Decision) {
	if r.OnDecision == nil || !p.MayOpen() && d.Verdict() != gdroute.Drop {
		return
	}
	if s := now.Unix(); s != r.second {
		r.second, r.n = s, 0
	}
	if r.n >= maxRecordsPerSecond {
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
