package gdhostrig

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// maxRetries is the maximum number of retries of an operation.
	maxRetries = 2
	// firstCallerPort and lastCallerPort bound the ports of the callers' flows.
	firstCallerPort = 1024
	lastCallerPort  = 65535
	// probeClass is the class of the flows that test single entry hosts with routes
	// that are added and removed during the run.
	probeClass         = "probe"
	probeAnswerSize    = 200
	probeServiceTime   = 2 * time.Millisecond
	probeDeadline      = 1500 * time.Millisecond
	routeProbeInterval = 250 * time.Millisecond
)

// callers simulates all callers, at one address.
type callers struct {
	rig     *Rig
	conn    *net.UDPConn
	addr    netip.Addr
	classes map[string]*Class
	flows   map[gdflow.Key]*callerFlow
	port    uint16
	lastID  int
	stopped bool
}

// operation is a request of a caller with all its attempts.
type operation struct {
	id        string
	class     *Class
	domain    string
	startedAt time.Time
	retries   int
	ended     bool
	session   *session // the session that holds the flow, or nil
}

// session is a caller that holds a flow open and sends one request after another on it.
type session struct {
	class  *Class
	domain string
	flow   *callerFlow
	pooled bool // it belongs to a pool, which starts its requests
	idle   bool // no request of a pooled session is in progress
}

func (c *callers) init(r *Rig) error {
	c.rig, c.addr, c.port = r, r.addr(callerNet, 1), firstCallerPort
	c.flows, c.classes = make(map[gdflow.Key]*callerFlow), make(map[string]*Class)
	probe := Class{Name: probeClass, AnswerSize: probeAnswerSize, ServiceTime: probeServiceTime, LatencyObjective: probeDeadline, Deadline: probeDeadline, Idempotent: true}
	for _, cl := range append([]Class{probe}, r.Shape.Classes...) {
		c.classes[cl.Name] = &cl
	}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, callerPort))); err != nil {
		return errors.Wrap(err, "open the callers' socket")
	}
	go r.readPackets(c.conn, c.receive)
	return nil
}

func (c *callers) close() error {
	if c.conn == nil {
		return nil
	}
	return errors.WithStack(c.conn.Close())
}

// serviceTime returns how long a slot takes for a request of the class.
func (c *callers) serviceTime(class string) time.Duration {
	if cl := c.classes[class]; cl != nil {
		return cl.ServiceTime
	}
	return 0
}

// startLoad starts the held flows, the single requests and the route probes.
func (c *callers) startLoad(time.Time) {
	for _, cl := range c.rig.Shape.Classes {
		class := c.classes[cl.Name]
		for range class.HeldFlows {
			s := &session{class: class, domain: c.randomDomain()}
			c.rig.After(c.randomDelay(class.ThinkTime), func(now time.Time) { c.sendOnHeldFlow(now, s) })
		}
		if class.RequestsPerSecond > 0 {
			c.rig.After(c.randomDelay(time.Second), func(now time.Time) { c.startArrival(now, class) })
		}
	}
	c.rig.After(routeProbeInterval, c.probeRoutes)
}

// stop prevents new requests and retries.
func (c *callers) stop(time.Time) { c.stopped = true }

func (c *callers) randomDelay(d time.Duration) time.Duration {
	return time.Duration(c.rig.rand.Float64() * float64(d))
}

func (c *callers) randomDomain() string {
	return c.rig.Shape.Domains[c.rig.rand.IntN(len(c.rig.Shape.Domains))]
}

// startArrival sends one request in a flow of its own and schedules the next one. The
// pauses between them are exponentially distributed.
func (c *callers) startArrival(now time.Time, class *Class) {
	if c.stopped {
		return
	}
	pause := time.Duration(c.rig.rand.ExpFloat64() / class.RequestsPerSecond * float64(time.Second))
	c.rig.After(pause, func(now time.Time) { c.startArrival(now, class) })
	op := c.newOperation(now, class, c.randomDomain())
	c.attempt(now, op, c.open(c.configuredRoute(class.Name), op.domain, nil))
}

// sendOnHeldFlow sends a session's next request, on the flow that it holds if that is usable.
func (c *callers) sendOnHeldFlow(now time.Time, s *session) {
	if c.stopped {
		return
	}
	op := c.newOperation(now, s.class, s.domain)
	op.session, s.idle = s, false
	if s.flow == nil || !s.flow.usable() {
		s.flow = c.open(c.configuredRoute(s.class.Name), s.domain, nil)
		s.flow.session = s
	}
	c.attempt(now, op, s.flow)
}

// probeRoutes opens a flow through each ready entry host, to a route that was added or
// removed recently, or never existed.
func (c *callers) probeRoutes(now time.Time) {
	if c.stopped {
		return
	}
	c.rig.After(routeProbeInterval, c.probeRoutes)
	for _, h := range c.rig.Hosts(RoleEntry) {
		if h.failedProbes > 0 {
			continue
		}
		op := c.newOperation(now, c.classes[probeClass], h.domain)
		op.retries = maxRetries // a probe is not retried
		c.attempt(now, op, c.open(c.rig.probeRoute(), h.domain, h))
	}
}

func (c *callers) newOperation(now time.Time, class *Class, domain string) *operation {
	c.lastID++
	op := &operation{id: class.Name + "-" + strconv.Itoa(c.lastID), class: class, domain: domain, startedAt: now}
	c.rig.After(class.Deadline, func(now time.Time) { c.finish(now, op, false) })
	return op
}

// finish ends an operation unless it has ended before.
func (c *callers) finish(now time.Time, op *operation, success bool) {
	if op.ended {
		return
	}
	op.ended = true
	c.rig.observe(Event{
		At: now, Kind: OperationDone, Op: op.id, Class: op.class.Name, OK: success, InTime: success && now.Sub(op.startedAt) <= op.class.LatencyObjective,
	})
	if s := op.session; s != nil {
		if !success && s.flow != nil && s.flow.op == op {
			s.flow.close(now)
		}
		if s.idle = s.pooled; !s.pooled {
			c.rig.After(s.class.ThinkTime, func(now time.Time) { c.sendOnHeldFlow(now, s) })
		}
	}
}

// attempt sends an operation's request on a flow.
func (c *callers) attempt(now time.Time, op *operation, f *callerFlow) {
	c.lastID++
	f.op, f.id = op, op.id+"/"+strconv.Itoa(c.lastID)
	f.request = requestHead{id: f.id, class: op.class.Name, requestSize: op.class.RequestSize, answerSize: op.class.AnswerSize}
	c.rig.observe(Event{
		At: now, Kind: RequestSent, Flow: f.key, ID: f.id, Op: op.id, Class: op.class.Name, Route: f.route.Name,
		Service: c.rig.servicesOf(f.route), Version: c.rig.config.Version, Host: f.entryHostName(),
	})
	if f.endpoint != nil {
		f.sendRequest(now)
	}
}

// retry starts another attempt after one that ended without an answer. An operation that
// is not idempotent is retried only if its request is known not to have run.
func (c *callers) retry(now time.Time, op *operation, notRun bool) {
	if op.ended || !notRun && !op.class.Idempotent || op.retries >= maxRetries || c.stopped {
		return
	}
	op.retries++
	f := c.open(c.configuredRoute(op.class.Name), op.domain, nil)
	if op.session != nil {
		op.session.flow, f.session = f, op.session
	}
	c.attempt(now, op, f)
}

func (c *callers) configuredRoute(class string) gddiscovery.Route {
	for _, r := range c.rig.config.Routes {
		if r.Name == class {
			return r
		}
	}
	return gddiscovery.Route{Name: class}
}

// receive handles a packet that a host sends to a caller.
func (c *callers) receive(now time.Time, raw []byte, from netip.AddrPort) {
	p, err := platformsim.Decode(raw)
	key := gdflow.NewKey(p.To, p.From)
	if err != nil {
		c.rig.observe(Event{At: now, Kind: PacketAltered, Host: c.rig.names[from.Addr()], Flow: key, Text: err.Error()})
		return
	}
	if f := c.flows[key]; f != nil {
		f.receive(now, p, c.rig.names[from.Addr()])
	}
}
