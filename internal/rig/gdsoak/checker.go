package gdsoak

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// The bounds of the promises, as the users state them.
const (
	// stableTime is how long a host must have been undisturbed before promises with a
	// time bound apply to it.
	stableTime = 4 * time.Second
	// drainBound, domainOutBound and configBound count from the store's answer to the
	// change.
	drainBound     = gdhostrig.DrainTime
	domainOutBound = 5 * time.Second
	configBound    = 3 * time.Second
	// oldVersionSlack is how long an entry host may still apply an older configuration
	// version after a newer one has taken effect there.
	oldVersionSlack = 250 * time.Millisecond
	// maxColdFlowsPerSecond is the number of flows that a cold upstream may receive in
	// any second.
	maxColdFlowsPerSecond = gdhostrig.ColdFlowsPerSecond*3/2 + 5
	// A flow is lost if minMisrouted of its packets reach other upstreams within
	// misroutedWindow and none reaches its own.
	misroutedWindow = 2 * time.Second
	minMisrouted    = 3
	// recoverTime is how long after the last fault a deployment must again complete at
	// least minSuccessRatio of the operations.
	recoverTime     = 12 * time.Second
	minSuccessRatio = 0.25
)

// The names of the promises in reports.
const (
	// The flows and requests of a service reach only its upstreams.
	rightService = "right-service"
	// Upstreams receive only flows and requests that a caller sent.
	onlyAsked = "only-asked"
	// The request of an attempt runs at most once, and so does an operation that is not
	// idempotent.
	atMostOnce = "at-most-once"
	// A caller receives exactly the upstream's answer to its request.
	wholeAnswer = "whole-answer"
	// Packets arrive as their sender sent them.
	unaltered = "unaltered"
	// A request does not run if its caller is notified that it has not run.
	trulyNotRun = "truly-not-run"
	// An open flow stays at its upstream, also during planned work.
	flowStays = "flow-stays"
	// An upstream accepts no flow later than drainBound after it began to drain.
	drained = "drained"
	// The upstreams of a failure domain accept no flow later than domainOutBound after it
	// went out of service.
	domainOut = "domain-out"
	// A cold upstream receives at most maxColdFlowsPerSecond flows in any second.
	coldStart = "cold-start"
	// A configuration is in effect at an entry host within configBound.
	configInTime = "config-in-time"
	// An entry host does not revert to an older configuration version.
	configNeverBack = "config-never-back"
	// Operations succeed again after the last fault; see recoverTime.
	recovers = "recovers"
	// No process exits unless the rig stops it.
	keepsRunning = "keeps-running"
)

// Breach is a broken promise.
type Breach struct {
	At      time.Time `json:"at"`
	Promise string    `json:"promise"`
	Text    string    `json:"text"`
}

// Checker checks the events that callers and upstreams observe against the promises and
// records each breach. Its zero value is not usable; use [NewChecker]. It is not safe for
// concurrent use.
type Checker struct {
	checks   map[string]int
	breaches []Breach

	attempts     map[string]*attempt
	opRuns       map[string]int
	flows        map[gdflow.Key]*flow
	upstreams    map[string]*upstream
	services     map[string]string    // those that each route has had, between spaces
	domainsOut   map[string]time.Time // when each failure domain went out of service
	versions     []version
	applied      map[string]appliedVersion // by entry host
	disturbances disturbances
	operations   operationCounts
}

type attempt struct {
	gdhostrig.Event
	idempotent  bool
	runs        int
	knownNotRun bool // the caller was notified that the request has not run
}

type flow struct {
	upstream      string
	open          bool
	request       gdhostrig.Event
	lastDelivered time.Time
	misrouted     []time.Time
}

type upstream struct {
	gdhostrig.Event
	drainedAt time.Time
	stopped   bool
	coldFlows []time.Time
}

type version struct {
	number uint64
	at     time.Time
	routes string
}

// appliedVersion is the newest configuration version that took effect at an entry host.
type appliedVersion struct {
	number uint64
	at     time.Time
}

// operationCounts counts all operations in total and inTime. Those that ended after since
// also count in ended and succeeded.
type operationCounts struct {
	since            time.Time
	ended, succeeded int
	total, inTime    int
}

// NewChecker returns a checker without events. Operations count for the promise "recovers"
// only after [Checker.MeasureFrom] is called.
func NewChecker() *Checker {
	return &Checker{
		checks: make(map[string]int), attempts: make(map[string]*attempt), opRuns: make(map[string]int),
		flows: make(map[gdflow.Key]*flow), upstreams: make(map[string]*upstream), domainsOut: make(map[string]time.Time),
		applied: make(map[string]appliedVersion), services: make(map[string]string), disturbances: newDisturbances(),
	}
}

// MeasureFrom sets the time after which the operations that end count for the promise
// "recovers".
func (c *Checker) MeasureFrom(at time.Time) { c.operations.since = at }

// Finish checks the promises that can be checked only at the end of a run.
func (c *Checker) Finish(now time.Time) {
	if s := c.operations; s.ended > 0 {
		c.check(now, recovers, float64(s.succeeded) >= minSuccessRatio*float64(s.ended), "%d of %d operations succeeded after the recovery time", s.succeeded, s.ended)
	}
}

// Breaches returns the broken promises in the order of their events.
func (c *Checker) Breaches() []Breach { return c.breaches }

// Checks returns how often each promise was checked.
func (c *Checker) Checks() map[string]int { return c.checks }

func (c *Checker) check(now time.Time, promise string, kept bool, format string, args ...any) {
	c.checks[promise]++
	if !kept {
		c.breaches = append(c.breaches, Breach{At: now, Promise: promise, Text: fmt.Sprintf(format, args...)})
	}
}

// Observe checks one event. Events come in the order in which they happened.
func (c *Checker) Observe(ev gdhostrig.Event) {
	switch ev.Kind {
	case gdhostrig.RequestSent:
		c.requestSent(ev)
	case gdhostrig.FlowAccepted:
		c.flowAccepted(ev)
	case gdhostrig.FlowOpened, gdhostrig.PacketDelivered, gdhostrig.FlowClosed:
		c.trackFlow(ev)
	case gdhostrig.PacketMisrouted:
		c.packetMisrouted(ev)
	case gdhostrig.FlowReset:
		c.flowReset(ev)
	case gdhostrig.RequestStarted:
		c.requestStarted(ev)
	case gdhostrig.AnswerReceived, gdhostrig.NotRun, gdhostrig.OpenFailed, gdhostrig.AttemptFailed:
		c.attemptEnded(ev)
	case gdhostrig.PacketAltered:
		c.check(ev.At, unaltered, false, "flow %s at %s%s: %s", ev.Flow, ev.Host, ev.Upstream, ev.Text)
	case gdhostrig.OperationDone:
		c.operationDone(ev)
	default:
		c.deploymentChanged(ev)
	}
}

// deploymentChanged records an action of the operator, a fault or its end.
func (c *Checker) deploymentChanged(ev gdhostrig.Event) {
	switch ev.Kind {
	case gdhostrig.Registered:
		c.upstreams[ev.Upstream] = &upstream{Event: ev}
	case gdhostrig.Draining, gdhostrig.UpstreamStopped:
		c.upstreams[ev.Upstream].recordDeparture(ev)
	case gdhostrig.DomainOut:
		c.domainsOut[ev.Domain] = ev.At
	case gdhostrig.DomainBack:
		delete(c.domainsOut, ev.Domain)
	case gdhostrig.Configured:
		c.versions = append(c.versions, version{number: ev.Version, at: ev.At, routes: ev.Text})
		maps.Copy(c.services, ev.Services)
	case gdhostrig.ProcessExited:
		c.check(ev.At, keepsRunning, false, "process %s exited unexpectedly: %s", ev.Host, ev.Text)
	default:
		c.disturbances.observe(ev)
		if ev.Text == "start" {
			delete(c.applied, ev.Host)
			c.check(ev.At, keepsRunning, true, "")
		}
	}
}

// recordDeparture records that the upstream began to drain or has stopped.
func (u *upstream) recordDeparture(ev gdhostrig.Event) {
	switch {
	case u == nil:
	case ev.Kind == gdhostrig.UpstreamStopped:
		u.stopped = true
	case u.drainedAt.IsZero():
		u.drainedAt = ev.At
	}
}

// operationDone counts an operation, unless it is one of the configuration probes.
func (c *Checker) operationDone(ev gdhostrig.Event) {
	if ev.Class == "probe" {
		return
	}
	c.operations.total++
	if ev.InTime {
		c.operations.inTime++
	}
	if !c.operations.since.IsZero() && ev.At.After(c.operations.since) {
		c.operations.ended++
		if ev.OK {
			c.operations.succeeded++
		}
	}
}

// hasRoute reports whether the version has the route.
func (v version) hasRoute(name string) bool { return strings.Contains(v.routes, " "+name+" ") }
