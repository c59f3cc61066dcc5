package gdsoak

import (
	"fmt"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// The bounds of the promises, as the users state them.
const (
	// stableTime is how long a host must have been without trouble for promises with
	// a time to bind it.
	stableTime = 4 * time.Second
	// drainBound, outBound and configBound are from the store's answer.
	drainBound  = gdhostrig.DrainTime
	outBound    = 5 * time.Second
	configBound = 3 * time.Second
	// backSlack is how long after a version's effect an older one may still show.
	backSlack = 250 * time.Millisecond
	// coldBurst is what a cold upstream may get in any second.
	coldBurst = gdhostrig.ColdFlowsPerSecond*3/2 + 5
	// wrongTime and mostWrong: a flow is lost if so many of its packets reach other
	// upstreams in the time and none its own.
	wrongTime = 2 * time.Second
	mostWrong = 3
	// recoverTime is how long after the last trouble a deployment has to serve again
	// at least leastServed of what comes.
	recoverTime = 12 * time.Second
	leastServed = 0.25
)

// The promises, as reports name them.
const (
	rightService = "right-service"
	onlyAsked    = "only-asked"
	atMostOnce   = "at-most-once"
	wholeAnswer  = "whole-answer"
	unaltered    = "unaltered"
	trulyNotRun  = "truly-not-run"
	flowStays    = "flow-stays"
	drained      = "drained"
	domainOut    = "domain-out"
	coldStart    = "cold-start"
	configInTime = "config-in-time"
	neverBack    = "config-never-back"
	recovers     = "recovers"
	keepsRunning = "keeps-running"
)

// Breach is a broken promise.
type Breach struct {
	At      time.Time `json:"at"`
	Promise string    `json:"promise"`
	Text    string    `json:"text"`
}

// Checker follows what callers and upstreams see and notes broken promises. Its zero
// value is not ready; use NewLedger. It belongs to one goroutine.
type Checker struct {
	checks   map[string]int
	breaches []Breach

	attempts  map[string]*attempt
	opRuns    map[string]int
	flows     map[gdflow.Key]*flow
	upstreams map[string]*upstream
	out       map[string]time.Time // since when a failure domain is out
	versions  []version
	shown     map[string]shown // by entry host
	touch     touch
	served    service
}

type attempt struct {
	gdhostrig.Event
	repeatable bool
	runs       int
	over       bool // the caller knows that it has not run
}

type flow struct {
	upstream string
	open     bool
	asked    gdhostrig.Event
	own      time.Time
	wrong    []time.Time
}

type upstream struct {
	gdhostrig.Event
	drainedAt time.Time
	gone      bool
	took      []time.Time
}

type version struct {
	number uint64
	at     time.Time
	routes string
}

// shown is the newest version that a host has shown the effect of.
type shown struct {
	number uint64
	at     time.Time
}

// service counts operations and those served, of those that ended late in the run.
type service struct {
	from          time.Time
	asked, served int
	total, inTime int
}

// NewChecker returns an empty ledger. Operations count for the recovery once From is
// called.
func NewChecker() *Checker {
	return &Checker{
		checks: make(map[string]int), attempts: make(map[string]*attempt), opRuns: make(map[string]int),
		flows: make(map[gdflow.Key]*flow), upstreams: make(map[string]*upstream), out: make(map[string]time.Time),
		shown: make(map[string]shown), touch: newTouch(),
	}
}

// MeasureFrom begins to count operations for the recovery.
func (l *Checker) MeasureFrom(at time.Time) { l.served.from = at }

// Finish checks what can be judged at the end only.
func (l *Checker) Finish(now time.Time) {
	if s := l.served; s.asked > 0 {
		l.check(now, recovers, float64(s.served) >= leastServed*float64(s.asked), "%d of %d served at the end", s.served, s.asked)
	}
}

// Breaches returns the broken promises.
func (l *Checker) Breaches() []Breach { return l.breaches }

// Checks returns how often each promise was checked.
func (l *Checker) Checks() map[string]int { return l.checks }

func (l *Checker) check(now time.Time, promise string, kept bool, format string, args ...any) {
	l.checks[promise]++
	if !kept {
		l.breaches = append(l.breaches, Breach{At: now, Promise: promise, Text: fmt.Sprintf(format, args...)})
	}
}

// Observe takes in what happened.
func (l *Checker) Observe(ev gdhostrig.Event) {
	switch ev.Kind {
	case gdhostrig.RequestSent:
		l.asked(ev)
	case gdhostrig.FlowAccepted:
		l.took(ev)
	case gdhostrig.FlowOpened, gdhostrig.PacketDelivered, gdhostrig.FlowClosed:
		l.progress(ev)
	case gdhostrig.PacketMisrouted:
		l.wrong(ev)
	case gdhostrig.FlowReset:
		l.cut(ev)
	case gdhostrig.RequestStarted:
		l.ran(ev)
	case gdhostrig.AnswerReceived, gdhostrig.NotRun, gdhostrig.OpenFailed, gdhostrig.AttemptFailed:
		l.attemptEnded(ev)
	case gdhostrig.PacketAltered:
		l.check(ev.At, unaltered, false, "flow %s at %s%s: %s", ev.Flow, ev.Host, ev.Upstream, ev.Text)
	case gdhostrig.OperationDone:
		l.done(ev)
	default:
		l.changed(ev)
	}
}

// changed takes in what the operator does and what goes wrong.
func (l *Checker) changed(ev gdhostrig.Event) {
	switch ev.Kind {
	case gdhostrig.Registered:
		l.upstreams[ev.Upstream] = &upstream{Event: ev}
	case gdhostrig.Draining, gdhostrig.UpstreamStopped:
		l.upstreams[ev.Upstream].leaves(ev)
	case gdhostrig.DomainOut:
		l.out[ev.Domain] = ev.At
	case gdhostrig.DomainBack:
		delete(l.out, ev.Domain)
	case gdhostrig.Configured:
		l.versions = append(l.versions, version{number: ev.Version, at: ev.At, routes: ev.Text})
	case gdhostrig.ProcessExited:
		l.check(ev.At, keepsRunning, false, "%s ended by itself %s", ev.Host, ev.Text)
	default:
		l.touch.saw(ev)
		if ev.Text == "start" {
			delete(l.shown, ev.Host)
			l.check(ev.At, keepsRunning, true, "")
		}
	}
}

// leaves notes that an upstream drains or has ended.
func (u *upstream) leaves(ev gdhostrig.Event) {
	switch {
	case u == nil:
	case ev.Kind == gdhostrig.UpstreamStopped:
		u.gone = true
	case u.drainedAt.IsZero():
		u.drainedAt = ev.At
	}
}

func (l *Checker) done(ev gdhostrig.Event) {
	if ev.Class == "probe" {
		return
	}
	l.served.total++
	if ev.InTime {
		l.served.inTime++
	}
	if !l.served.from.IsZero() && ev.At.After(l.served.from) {
		l.served.asked++
		if ev.OK {
			l.served.served++
		}
	}
}

// hasRoute reports whether the version has the route.
func (v version) hasRoute(name string) bool { return strings.Contains(v.routes, " "+name+" ") }
