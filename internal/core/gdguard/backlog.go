package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdbacklog"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// A request is kept back only if it gets a slot within half of its objective, or within
	// three quarters if the upstream would reject it now. The rest is for its processing and
	// for the error of the estimate.
	hopelessDivisor     = 2.0
	fullHopelessDivisor = 4.0 / 3
	// maxKeptPackets and maxKeptBytes limit what is kept back for one upstream.
	maxKeptPackets = 512
	maxKeptBytes   = 512 << 10
)

// waiting is what the guard needs to deliver a kept request.
type waiting struct {
	key   gdflow.Key
	f     *flow
	ahead int
}

type keptRequest = gdbacklog.Request[waiting]

// Kept returns the number of requests that are kept back.
func (g *Guard) Kept() int { return g.backlog.Len() }

// KeptPackets returns the number of their packets.
func (g *Guard) KeptPackets() int { return g.backlog.Packets() }

// NextTick returns when Tick is to be called, or the zero time if nothing is due.
// It changes with each other call.
func (g *Guard) NextTick() time.Time {
	kept, settled := g.backlog.NextDue(), g.nextSettled()
	if kept.IsZero() || !settled.IsZero() && settled.Before(kept) {
		return settled
	}
	return kept
}

// Tick releases kept requests and settles probed flows as time has passed.
func (g *Guard) Tick(now time.Time) []Action {
	g.init(now)
	g.work.expire(now)
	g.settleProbed(now)
	g.releaseKept(now)
	return g.actions
}

// begin decides on a packet with data beyond all that was delivered on the flow: it
// begins a request, unless one is in progress. It reports whether the request is kept back.
func (g *Guard) begin(now time.Time, f *flow, p gdflow.Packet, earlier earlierData) bool {
	if f.processing && !f.offered {
		return false
	}
	class, known := g.classes.get(now, p.Key().Service())
	caller := p.Key().Caller().IP()
	g.usage.Note(now, caller, f.origin)
	o := gdbacklog.Order{Priority: class.Priority, Share: g.usage.Rank(now, caller, f.origin), KeptAt: now}
	f.level = levels - 1
	if known {
		f.level = level(o)
	}
	if !known || class.Objective == 0 || g.leaving || !f.begins(p, earlier) || g.hasRoom(now, f.level) {
		g.work.begin(g.requestOn(now, p.Key(), f))
		return false
	}
	queue := g.queueOf(now, class)
	o.Latest, o.Due = g.keepUntil(now, queue, p.Key().Service(), class)
	if !g.backlog.HasRoom(p.Size) || queue == upstreamQueue && g.hopeless(now, p.Key().Service(), o, class.Objective) {
		g.overflow(now, f, p, o)
		return false
	}
	f.earlier = earlier
	g.work.keep(f)
	f.kept = g.backlog.Keep(waiting{key: p.Key(), f: f, ahead: g.backlog.AheadOf(o)}, o, p)
	g.add(Action{Verb: Keep, Key: p.Key(), Kept: g.backlog.LastID()})
	return true
}

// overflow delivers a request that is not kept back because too much is kept or the wait is
// too long, behind those that go before it. If the upstream is full, it refuses the request,
// and those before it wait on.
func (g *Guard) overflow(now time.Time, f *flow, p gdflow.Packet, o gdbacklog.Order) {
	for g.backlog.AheadOf(o) > 0 && !g.full(now) {
		g.release(now, g.backlog.First(), Overflow)
	}
	g.work.begin(g.requestOn(now, p.Key(), f))
	g.reportRelease(now, Release{Key: p.Key(), Priority: o.Priority, Share: o.Share, Cause: Overflow})
}

// begins reports whether it is certain that the packet begins a request: the caller has
// received the first bytes of the previous answer, or it is the first data of the flow.
func (f *flow) begins(p gdflow.Packet, earlier earlierData) bool {
	if f.answered && int32(p.Ack-f.answerSeq) <= 0 {
		return false
	}
	return f.state == open && (f.observed || earlier.any)
}

// earlierData is the data of a flow that was delivered before a kept request.
type earlierData struct {
	end uint32
	any bool
}

// has reports whether all data of the packet was delivered before.
func (e earlierData) has(p gdflow.Packet) bool {
	return e.any && int32(p.Seq+uint32(p.Size)-e.end) <= 0
}

// handleBehind decides on a caller's packet of a flow whose request is kept back.
func (g *Guard) handleBehind(now time.Time, f *flow, p gdflow.Packet) {
	switch {
	case p.Kind == gdflow.Reset:
		g.dropKept(now, f.kept, FlowEnded)
	case p.Kind != gdflow.Finish && (p.Size == 0 || f.earlier.has(p)):
	case f.kept.Has(p):
		g.add(Action{Verb: Drop, Key: p.Key()})
		return
	case g.backlog.HasRoom(p.Size):
		f.extends(p)
		g.backlog.Append(f.kept, p)
		g.add(Action{Verb: Keep, Key: p.Key(), Kept: g.backlog.LastID()})
		return
	default:
		f.extends(p)
		g.release(now, f.kept, Overflow)
	}
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// releaseKept delivers the kept requests for which there is room, and those that may not be
// kept any longer.
func (g *Guard) releaseKept(now time.Time) {
	cause := SlotFree
	if g.leaving {
		cause = Stopping
	}
	g.backlog.Postpone(now)
	for r := g.backlog.First(); r != nil && (g.leaving || g.hasRoom(now, level(r.Order))); r = g.backlog.First() {
		g.release(now, r, cause)
	}
	for r := g.backlog.Due(now); r != nil; r = g.backlog.Due(now) {
		g.release(now, r, BoundReached)
	}
}

// release delivers a kept request.
func (g *Guard) release(now time.Time, r *keptRequest, c Cause) {
	k, f := r.Value.key, r.Value.f
	g.remove(now, r, c)
	cached, known := g.flows.Get(now, k)
	if !known { // it was evicted
		g.flows.Put(now, k, f)
	}
	if !known || cached == f {
		g.work.begin(g.requestOn(now, k, f))
	}
	for _, p := range r.Packets {
		g.add(Action{Verb: Deliver, Key: k, Kept: p.ID})
	}
}

// remove removes a kept request, which has not begun.
func (g *Guard) remove(now time.Time, r *keptRequest, c Cause) {
	g.backlog.Remove(r)
	g.work.end(r.Value.f)
	r.Value.f.kept = nil
	g.reportRelease(now, Release{
		Key: r.Value.key, Priority: r.Priority, Share: r.Share, Ahead: r.Value.ahead, KeptFor: now.Sub(r.KeptAt), Cause: c,
	})
}

func (g *Guard) reportRelease(now time.Time, r Release) {
	if g.OnRelease != nil {
		g.OnRelease(now, r)
	}
}

// dropKept drops a kept request.
func (g *Guard) dropKept(now time.Time, r *keptRequest, c Cause) {
	g.remove(now, r, c)
	for _, p := range r.Packets {
		g.add(Action{Verb: Drop, Key: r.Value.key, Kept: p.ID})
	}
}

// returnKept returns the packets of a kept request to the entry host, because the
// upstream does not hold the flow.
func (g *Guard) returnKept(now time.Time, r *keptRequest) {
	g.remove(now, r, FlowLost)
	for _, p := range r.Packets {
		g.add(Action{Verb: Return, Key: r.Value.key, Entry: r.Value.f.entry, Reason: notHeld(r.Value.f.exact), Kept: p.ID})
	}
}

// endKept decides on the kept request of a flow of which the upstream has sent the packet.
func (g *Guard) endKept(now time.Time, f *flow, p gdflow.Packet) {
	switch {
	case f == nil || f.kept == nil:
	case p.Returned:
		g.returnKept(now, f.kept)
	case p.Kind == gdflow.Finish || p.Kind == gdflow.Reset:
		g.release(now, f.kept, FlowEnded)
	}
}
