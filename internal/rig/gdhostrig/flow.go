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
	// openTimeout is how long a caller waits until a flow is accepted.
	openTimeout = 1400 * time.Millisecond
	// resetWindow is the maximum distance, in bytes, of a reset's sequence number from
	// the one that the caller expects.
	resetWindow = 76800
	// closeDelay is how long a caller still replies to packets of a flow after the answer
	// to its only request.
	closeDelay = 3 * time.Second
)

// openCopyDelays are the times after the opening packet at which copies of it follow.
var openCopyDelays = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// callerFlow is the caller's side of a flow.
type callerFlow struct {
	c          *callers
	key        gdflow.Key
	route      gddiscovery.Route
	domain     string
	via        *Host // sends all packets through one entry host, if set
	session    *session
	op         *operation
	id         string // of the attempt in progress, or empty
	request    requestHead
	initialSeq uint32
	endpoint   *gdstream.Endpoint // nil until the flow is open
	received   []byte
	closed     bool
}

// open starts to open a flow.
func (c *callers) open(route gddiscovery.Route, domain string, via *Host) *callerFlow {
	c.port++
	if c.port == lastCallerPort {
		c.port = firstCallerPort
	}
	caller := address(netip.AddrPortFrom(c.addr, c.port))
	f := &callerFlow{
		c: c, key: gdflow.NewKey(caller, route.Address), route: route, domain: domain, via: via, initialSeq: c.rig.rand.Uint32(),
	}
	c.flows[f.key] = f
	f.sendOpen(0)
	for i, d := range openCopyDelays {
		c.rig.After(d, func(time.Time) { f.sendOpen(uint32(i + 1)) })
	}
	c.rig.After(openTimeout, func(now time.Time) {
		if f.endpoint == nil {
			f.fail(now)
		}
	})
	return f
}

// usable reports whether another request can be sent on the flow.
func (f *callerFlow) usable() bool {
	return !f.closed && f.endpoint != nil && !f.endpoint.PeerFinished() && (f.op == nil || f.op.ended)
}

// sendOpen sends a copy of the opening packet.
func (f *callerFlow) sendOpen(n uint32) {
	if f.endpoint == nil && !f.closed {
		f.send(platformsim.Packet{From: f.key.Caller(), To: f.key.Service(), Seq: f.initialSeq, Ack: n, Flags: platformsim.Open})
	}
}

func (f *callerFlow) entryHost() *Host {
	if f.via != nil {
		return f.via
	}
	return f.c.rig.pickEntryHost(f.domain, f.key.Hash())
}

func (f *callerFlow) entryHostName() string {
	return f.entryHost().nameOr("")
}

// send sends a packet through the routers. It is lost if no entry host is ready.
func (f *callerFlow) send(p platformsim.Packet) {
	if h := f.entryHost(); h != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(h.addr, callerPort))
	}
}

// receive handles a packet that the named host sent.
func (f *callerFlow) receive(now time.Time, p platformsim.Packet, host string) {
	switch {
	case p.Has(platformsim.Reset):
		f.reset(now, p, host)
	case f.closed && f.endpoint == nil:
	case p.Has(platformsim.Open | platformsim.Ack):
		if f.endpoint == nil {
			f.endpoint = gdstream.New(f.key.Caller(), f.key.Service(), f.initialSeq+1, p.Seq+1)
			f.sendRequest(now)
		}
	case f.endpoint != nil:
		f.received = append(f.received, f.endpoint.Receive(now, p)...)
		f.processAnswer(now)
		if f.endpoint.PeerFinished() {
			f.endpoint.Finish()
		}
		f.poll(now)
	}
}

func (f *callerFlow) reset(now time.Time, p platformsim.Packet, host string) {
	if f.closed {
		return
	}
	if f.endpoint != nil {
		if p.Seq-f.endpoint.ExpectedSeq()+resetWindow > 2*resetWindow {
			return
		}
		f.c.rig.observe(Event{At: now, Kind: FlowReset, Flow: f.key, Host: host, Via: f.entryHostName(), Signed: !p.Unsigned})
	}
	f.fail(now)
}

// fail closes the flow and retries the attempt on it.
func (f *callerFlow) fail(now time.Time) {
	if f.closed {
		return
	}
	op := f.op
	inProgress := op != nil && !op.ended && f.id != ""
	f.close(now)
	if inProgress {
		f.c.retry(now, op, f.endpoint == nil)
	}
}

// close ends the flow at the caller without sending a packet.
func (f *callerFlow) close(now time.Time) {
	if f.closed {
		return
	}
	f.closed = true
	if f.session != nil && f.session.flow == f {
		f.session.flow = nil
	}
	if f.id != "" {
		kind := AttemptFailed
		if f.endpoint == nil {
			kind = OpenFailed
		}
		f.c.rig.observe(Event{At: now, Kind: kind, ID: f.id, Flow: f.key, Route: f.route.Name})
	}
	delete(f.c.flows, f.key)
}

func (f *callerFlow) sendRequest(now time.Time) {
	f.endpoint.Write(appendRequest(nil, f.request))
	f.poll(now)
}

// processAnswer handles the next answer if it is complete.
func (f *callerFlow) processAnswer(now time.Time) {
	head, rest, correct, complete := parseAnswer(f.received, f.id, f.request.answerSize)
	if !complete || f.closed {
		return
	}
	f.received = rest
	op, id := f.op, f.id
	f.id = ""
	kind := AnswerReceived
	if head.outcome == answerNotRun {
		kind = NotRun
	}
	f.c.rig.observe(Event{At: now, Kind: kind, ID: id, Flow: f.key, OK: correct})
	if f.session == nil {
		f.endpoint.Finish()
		f.c.rig.After(closeDelay, f.close)
	}
	switch {
	case op == nil || op.ended:
	case kind == AnswerReceived:
		f.c.finish(now, op, correct)
	default:
		f.c.retry(now, op, true)
	}
}

// poll sends what the flow's endpoint has to send, now and when it is to retransmit.
func (f *callerFlow) poll(now time.Time) {
	for _, p := range f.endpoint.Poll(now) {
		f.send(p)
	}
	if f.endpoint.Closed() {
		f.close(now)
		return
	}
	f.c.rig.schedulePoll(now, f.endpoint, func(now time.Time) {
		if !f.closed {
			f.poll(now)
		}
	})
}
