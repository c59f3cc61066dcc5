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
	// mostRetries is how often a caller tries again.
	mostRetries = 2
	// firstPort and lastCallerPort bound the ports of the callers' flows.
	firstPort      = 1024
	lastCallerPort = 65535
	// probeClass is the class of the flows that try single entry hosts with routes
	// that come and go.
	probeClass    = "probe"
	probeOut      = 200
	probeWork     = 2 * time.Millisecond
	probeDeadline = 1500 * time.Millisecond
	probePause    = 250 * time.Millisecond
)

// callers are the stand-ins of all callers, at one address.
type callers struct {
	rig     *Rig
	conn    *net.UDPConn
	at      netip.Addr
	classes map[string]*Class
	flows   map[gdflow.Key]*callerFlow
	port    uint16
	ids     int
	stopped bool
}

// operation is what a caller wants, with all its attempts.
type operation struct {
	id     string
	class  *Class
	domain string
	began  time.Time
	tries  int
	done   bool
	user   *user // of a flow that is held, or nil
}

// user is a caller that holds a flow and sends a request on it again and again.
type user struct {
	class  *Class
	domain string
	flow   *callerFlow
}

func (c *callers) init(r *Rig) error {
	c.rig, c.at, c.port = r, r.addr(callerNet, 1), firstPort
	c.flows, c.classes = make(map[gdflow.Key]*callerFlow), make(map[string]*Class)
	probe := Class{Name: probeClass, AnswerSize: probeOut, ServiceTime: probeWork, LatencyObjective: probeDeadline, Deadline: probeDeadline, Idempotent: true}
	for _, cl := range append([]Class{probe}, r.Shape.Classes...) {
		c.classes[cl.Name] = &cl
	}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.at, callersPort))); err != nil {
		return errors.Wrap(err, "open the callers' socket")
	}
	go r.readPackets(c.conn, c.take)
	return nil
}

func (c *callers) close() error { return errors.WithStack(c.conn.Close()) }

// workOf returns how long a slot works on a request of the class.
func (c *callers) workOf(class string) time.Duration {
	if cl := c.classes[class]; cl != nil {
		return cl.ServiceTime
	}
	return 0
}

// begin begins the load.
func (c *callers) begin(time.Time) {
	for _, cl := range c.rig.Shape.Classes {
		class := c.classes[cl.Name]
		for range class.HeldFlows {
			u := &user{class: class, domain: c.domain()}
			c.rig.After(c.spread(class.ThinkTime), func(now time.Time) { c.useFlow(now, u) })
		}
		if class.RequestsPerSecond > 0 {
			c.rig.After(c.spread(time.Second), func(now time.Time) { c.arrive(now, class) })
		}
	}
	c.rig.After(probePause, c.probe)
}

// stop lets no new request begin.
func (c *callers) stop(time.Time) { c.stopped = true }

func (c *callers) spread(d time.Duration) time.Duration {
	return time.Duration(c.rig.rand.Float64() * float64(d))
}

func (c *callers) domain() string {
	return c.rig.Shape.Domains[c.rig.rand.IntN(len(c.rig.Shape.Domains))]
}

// arrive begins one request and lets the next one come.
func (c *callers) arrive(now time.Time, class *Class) {
	if c.stopped {
		return
	}
	pause := time.Duration(c.rig.rand.ExpFloat64() / class.RequestsPerSecond * float64(time.Second))
	c.rig.After(pause, func(now time.Time) { c.arrive(now, class) })
	op := c.operation(now, class, c.domain())
	c.attempt(now, op, c.open(c.routeOf(class.Name), op.domain, nil))
}

// useFlow sends a user's next request, on the flow that it holds if there is one.
func (c *callers) useFlow(now time.Time, u *user) {
	if c.stopped {
		return
	}
	op := c.operation(now, u.class, u.domain)
	op.user = u
	if u.flow == nil || !u.flow.usable() {
		u.flow = c.open(c.routeOf(u.class.Name), u.domain, nil)
		u.flow.user = u
	}
	c.attempt(now, op, u.flow)
}

// probe tries each entry host that takes packets with a route that was added or
// removed lately, or never was.
func (c *callers) probe(now time.Time) {
	if c.stopped {
		return
	}
	c.rig.After(probePause, c.probe)
	for _, h := range c.rig.Hosts(RoleEntry) {
		if h.misses > 0 {
			continue
		}
		op := c.operation(now, c.classes[probeClass], h.domain)
		op.tries = mostRetries // it is not tried again
		c.attempt(now, op, c.open(c.rig.probeRoute(), h.domain, h))
	}
}

func (c *callers) operation(now time.Time, class *Class, domain string) *operation {
	c.ids++
	op := &operation{id: class.Name + "-" + strconv.Itoa(c.ids), class: class, domain: domain, began: now}
	c.rig.After(class.Deadline, func(now time.Time) { c.finish(now, op, false) })
	return op
}

// finish ends an operation, unless it has ended.
func (c *callers) finish(now time.Time, op *operation, whole bool) {
	if op.done {
		return
	}
	op.done = true
	c.rig.saw(Event{
		At: now, Kind: OperationDone, Op: op.id, Class: op.class.Name, OK: whole, InTime: whole && now.Sub(op.began) <= op.class.LatencyObjective,
	})
	if u := op.user; u != nil {
		if !whole && u.flow != nil && u.flow.op == op {
			u.flow.drop(now)
		}
		c.rig.After(u.class.ThinkTime, func(now time.Time) { c.useFlow(now, u) })
	}
}

// attempt sends an operation's request on a flow.
func (c *callers) attempt(now time.Time, op *operation, f *callerFlow) {
	c.ids++
	f.op, f.id = op, op.id+"/"+strconv.Itoa(c.ids)
	f.request = requestHead{id: f.id, class: op.class.Name, in: op.class.RequestSize, out: op.class.AnswerSize}
	c.rig.saw(Event{
		At: now, Kind: RequestSent, Flow: f.key, ID: f.id, Op: op.id, Class: op.class.Name, Route: f.route.Name,
		Service: serviceOf(f.route), Version: c.rig.config.Version, Host: f.hostName(),
	})
	if f.end != nil {
		f.sendRequest(now)
	}
}

// ended handles the end of an attempt without an answer.
func (c *callers) ended(now time.Time, op *operation, mayRepeat bool) {
	if op.done || !mayRepeat && !op.class.Idempotent || op.tries >= mostRetries || c.stopped {
		return
	}
	op.tries++
	f := c.open(c.routeOf(op.class.Name), op.domain, nil)
	if op.user != nil {
		op.user.flow, f.user = f, op.user
	}
	c.attempt(now, op, f)
}

func (c *callers) routeOf(class string) gddiscovery.Route {
	for _, r := range c.rig.config.Routes {
		if r.Name == class {
			return r
		}
	}
	return gddiscovery.Route{Name: class}
}

func serviceOf(r gddiscovery.Route) string {
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// take takes in what a host sends to a caller.
func (c *callers) take(now time.Time, raw []byte, from netip.AddrPort) {
	p, err := platformsim.Decode(raw)
	key := gdflow.NewKey(p.To, p.From)
	if err != nil {
		c.rig.saw(Event{At: now, Kind: PacketAltered, Host: c.rig.names[from.Addr()], Flow: key, Text: err.Error()})
		return
	}
	if f := c.flows[key]; f != nil {
		f.take(now, p, c.rig.names[from.Addr()])
	}
}
