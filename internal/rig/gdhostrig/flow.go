package gdhostrig

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// openWait is how long a caller waits for the acceptance of a flow.
	openWait = 1400 * time.Millisecond
	// resetWindow is how far a reset's number may be from what the caller expects.
	resetWindow = 76800
	// keepOver is how long a caller's flow answers after its end.
	keepOver = 3 * time.Second
)

// copyTimes are when copies of the opening packet follow.
var copyTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// callerFlow is a flow at its caller.
type callerFlow struct {
	c       *callers
	key     gdflow.Key
	route   gddiscovery.Route
	domain  string
	via     *Host // sends all packets through one entry host, if set
	user    *user
	op      *operation
	id      string // of the attempt at work
	request requestHead
	first   uint32
	end     *gdstream.Endpoint // nil until the flow is open
	in      []byte
	over    bool
}

// open begins a flow.
func (c *callers) open(route gddiscovery.Route, domain string, via *Host) *callerFlow {
	c.port++
	if c.port == lastCallerPort {
		c.port = firstPort
	}
	caller := address(netip.AddrPortFrom(c.at, c.port))
	f := &callerFlow{
		c: c, key: gdflow.NewKey(caller, route.Address), route: route, domain: domain, via: via, first: c.rig.rand.Uint32(),
	}
	c.flows[f.key] = f
	f.sendOpen(0)
	for i, d := range copyTimes {
		c.rig.After(d, func(time.Time) { f.sendOpen(uint32(i + 1)) })
	}
	c.rig.After(openWait, func(now time.Time) {
		if f.end == nil {
			f.fail(now)
		}
	})
	return f
}

// usable reports whether a further request can be sent on the flow.
func (f *callerFlow) usable() bool {
	return !f.over && f.end != nil && !f.end.PeerFinished() && (f.op == nil || f.op.done)
}

// sendOpen sends a copy of the opening packet.
func (f *callerFlow) sendOpen(n uint32) {
	if f.end == nil && !f.over {
		f.send(platformsim.Packet{From: f.key.Caller(), To: f.key.Service(), Seq: f.first, Ack: n, Flags: platformsim.Open})
	}
}

func (f *callerFlow) host() *Host {
	if f.via != nil {
		return f.via
	}
	return f.c.rig.route(f.domain, f.key.Hash())
}

func (f *callerFlow) hostName() string {
	return f.host().nameOr("")
}

// send sends a packet by way of the routers. It is lost when no host takes it.
func (f *callerFlow) send(p platformsim.Packet) {
	if h := f.host(); h != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(h.at, callersPort))
	}
}

// take takes in a packet that came from a host.
func (f *callerFlow) take(now time.Time, p platformsim.Packet, host string) {
	switch {
	case p.Has(platformsim.Reset):
		f.reset(now, p, host)
	case f.over && f.end == nil:
	case p.Has(platformsim.Open | platformsim.Ack):
		if f.end == nil {
			f.end = gdstream.New(f.key.Caller(), f.key.Service(), f.first+1, p.Seq+1)
			f.sendRequest(now)
		}
	case f.end != nil:
		f.in = append(f.in, f.end.Receive(now, p)...)
		f.answers(now)
		if f.end.PeerFinished() {
			f.end.Finish()
		}
		f.poll(now)
	}
}

func (f *callerFlow) reset(now time.Time, p platformsim.Packet, host string) {
	if f.over {
		return
	}
	if f.end != nil {
		if p.Seq-f.end.ExpectedSeq()+resetWindow > 2*resetWindow {
			return
		}
		f.c.rig.saw(Event{At: now, Kind: FlowReset, Flow: f.key, Host: host, Via: f.hostName(), Signed: !p.Unsigned})
	}
	f.fail(now)
}

// fail ends the flow and the attempt on it.
func (f *callerFlow) fail(now time.Time) {
	if f.over {
		return
	}
	op := f.op
	working := op != nil && !op.done && f.id != ""
	f.drop(now)
	if working {
		f.c.ended(now, op, f.end == nil)
	}
}

// drop ends the flow at the caller, which says nothing.
func (f *callerFlow) drop(now time.Time) {
	if f.over {
		return
	}
	f.over = true
	if f.user != nil && f.user.flow == f {
		f.user.flow = nil
	}
	if f.id != "" {
		kind := AttemptFailed
		if f.end == nil {
			kind = OpenFailed
		}
		f.c.rig.saw(Event{At: now, Kind: kind, ID: f.id, Flow: f.key, Route: f.route.Name})
	}
	delete(f.c.flows, f.key)
}

func (f *callerFlow) sendRequest(now time.Time) {
	f.end.Write(appendRequest(nil, f.request))
	f.poll(now)
}

// answers takes the answer that is complete, if there is one.
func (f *callerFlow) answers(now time.Time) {
	head, rest, whole, complete := takeAnswer(f.in, f.id, f.request.out)
	if !complete || f.over {
		return
	}
	f.in = rest
	op, id := f.op, f.id
	f.id = ""
	kind := AnswerReceived
	if head.outcome == answerNotRun {
		kind = NotRun
	}
	f.c.rig.saw(Event{At: now, Kind: kind, ID: id, Flow: f.key, OK: whole})
	if f.user == nil {
		f.end.Finish()
		f.c.rig.After(keepOver, f.drop)
	}
	switch {
	case op == nil || op.done:
	case kind == AnswerReceived:
		f.c.finish(now, op, whole)
	default:
		f.c.ended(now, op, true)
	}
}

// poll sends what the flow's end has to send, now and later.
func (f *callerFlow) poll(now time.Time) {
	for _, p := range f.end.Poll(now) {
		f.send(p)
	}
	if f.end.Closed() {
		f.drop(now)
		return
	}
	f.c.rig.pollAgain(now, f.end, func(now time.Time) {
		if !f.over {
			f.poll(now)
		}
	})
}
