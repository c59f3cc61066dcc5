package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// doubt is kept for a flow whose upstream is known from an agent that may be of an older build. Such an
// agent claims each flow that it is asked about while its upstream is silent. If the caller then sends its data
// again, the flow is looked up at the other upstreams.
type doubt struct {
	claimants  []holder  // the upstreams whose claims are in doubt, the latest last
	nextLookup time.Time // no lookup before this time
	lookups    uint8     // that have not found another upstream
}

// orNew returns the doubt, or a new one if there is none.
func (u *doubt) orNew() *doubt {
	if u == nil {
		return &doubt{}
	}
	return u
}

// noteLookupData records the end of the data that the lookup was started with, so that the caller's first
// retransmission is noticed.
func (f *flow) noteLookupData() {
	if f.lookup != nil && f.lookup.packet.size > 0 && !f.hasData {
		f.callerEnd, f.hasData = f.lookup.packet.seq+uint32(f.lookup.packet.size), true
	}
}

// doubts reports whether the host's agent has claimed the flow, and the caller has sent its data again since.
func (f *flow) doubts(host gdflow.Address) bool {
	return f.doubt != nil && slices.ContainsFunc(f.doubt.claimants, func(h holder) bool { return h.address.IP() == host.IP() })
}

// resolveWithoutDoubt resolves the flow by a report that leaves no doubt.
func (d *Dispatcher) resolveWithoutDoubt(now time.Time, from gdflow.Address, k gdflow.Key, f *flow) {
	f.doubt = nil
	if f.state != resolved || f.upstream.address.IP() != from.IP() {
		d.holderFound(now, from, k, f)
	}
}

// lookUpAgain looks the flow up at the upstreams that have not claimed it.
func (d *Dispatcher) lookUpAgain(now time.Time, r *gddiscovery.Route, f *flow, p gdflow.Packet, raw []byte) {
	believed := f.upstream
	if !f.doubts(believed.address) {
		f.doubt.claimants = append(f.doubt.claimants, believed)
	}
	d.startLookup(now, f, lookingUp, p, raw)
	f.lookup.believed = believed
	for _, h := range f.doubt.claimants {
		f.lookup.attempts = append(f.lookup.attempts, attempt{holder: h, answered: true, unsure: true})
	}
	d.queryNext(now, r, p.Key(), f)
}

// believeAgain resolves a flow whose lookup has not found another upstream.
func (d *Dispatcher) believeAgain(now time.Time, k gdflow.Key, f *flow, at holder) {
	d.resolve(now, k, f, at)
	f.doubt = f.doubt.orNew()
	f.doubt.claimants = nil
	f.doubt.nextLookup = now.Add(min(notFoundDelay<<f.doubt.lookups, maxNotFoundDelay))
	f.doubt.lookups = min(f.doubt.lookups+1, maxFailedLookups)
}
