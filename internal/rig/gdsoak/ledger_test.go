package gdsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func flowKey(i int) gdflow.Key {
	return gdflow.NewKey(gdflow.AddressFrom([4]byte{127, 16, 3, 1}, uint16(1024+i)), gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 4001))
}

// story tells a ledger what happens, in seconds from the start.
type story struct{ *Checker }

func (s story) at(seconds float64, ev gdhostrig.Event) story {
	ev.At = start.Add(time.Duration(seconds * float64(time.Second)))
	s.Observe(ev)
	return s
}

func (s story) asked(seconds float64, i int, id, class, route string) story {
	return s.at(seconds, gdhostrig.Event{
		Kind: gdhostrig.RequestSent, Flow: flowKey(i), ID: id, Op: id[:1], Class: class, Route: route, Service: "booking", Host: "entry-1",
	})
}

func (s story) took(seconds float64, i int, service string) story {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.FlowAccepted, Upstream: "u", Service: service, Host: "agent-u", Flow: flowKey(i)})
}

func (s story) opened(seconds float64, i int) story {
	return s.took(seconds, i, "booking").at(seconds, gdhostrig.Event{Kind: gdhostrig.FlowOpened, Upstream: "u", Flow: flowKey(i)})
}

func (s story) ran(seconds float64, id string) story {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.RequestStarted, Upstream: "u", Service: "booking", ID: id})
}

func (s story) ended(seconds float64, kind gdhostrig.Kind, id string, whole bool) story {
	return s.at(seconds, gdhostrig.Event{Kind: kind, ID: id, OK: whole})
}

func (s story) host(seconds float64, kind gdhostrig.Kind, host, text string) story {
	return s.at(seconds, gdhostrig.Event{Kind: kind, Host: host, Text: text})
}

func (s story) wrong(seconds float64, i int) story {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.PacketMisrouted, Upstream: "v", Flow: flowKey(i)})
}

func (s story) cut(seconds float64, i int, signed bool) story {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.FlowReset, Flow: flowKey(i), Host: "entry-1", Via: "entry-1", Signed: signed})
}

func (s story) configured(seconds float64, version uint64, routes string) story {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.Configured, Version: version, Text: routes})
}

// TestLedger tells what keeps and what breaks each promise.
func TestLedger(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tell   func(story)
		broken []string
	}{
		{"a request is served", func(s story) {
			s.asked(10, 1, "a/1", "order", "r").opened(10.01, 1).ran(10.02, "a/1").ended(10.03, gdhostrig.AnswerReceived, "a/1", true)
		}, nil},
		{"flow at another service", func(s story) { s.asked(10, 1, "a/1", "feed", "r").took(10.1, 1, "gallery") }, []string{rightService}},
		{"flow without a route", func(s story) { s.asked(10, 1, "a/1", "feed", "never").took(10.1, 1, "booking") }, []string{rightService}},
		{"flow that nobody opened", func(s story) { s.took(10, 1, "booking") }, []string{onlyAsked}},
		{"request that nobody sent", func(s story) { s.ran(10, "x/1") }, []string{onlyAsked}},
		{"request that runs twice", func(s story) { s.asked(10, 1, "a/1", "feed", "r").ran(10, "a/1").ran(11, "a/1") }, []string{atMostOnce}},
		{"order that runs in two attempts", func(s story) {
			s.asked(10, 1, "a/1", "order", "r").ran(10, "a/1").asked(10.1, 2, "a/2", "order", "r").ran(10.2, "a/2")
		}, []string{atMostOnce}},
		{"feed that runs in two attempts", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").ran(10, "a/1").asked(10.1, 2, "a/2", "feed", "r").ran(10.2, "a/2")
		}, nil},
		{"answer to another request", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").ended(10.1, gdhostrig.AnswerReceived, "a/1", false)
		}, []string{wholeAnswer}},
		{"run after a refusal", func(s story) {
			s.host(9, gdhostrig.PlannedWork, "entry-2", "terminate").asked(10, 1, "a/1", "order", "r").ended(10.1, gdhostrig.OpenFailed, "a/1", false).ran(10.2, "a/1")
		}, []string{trulyNotRun}},
		{"refusal after the run", func(s story) {
			s.asked(10, 1, "a/1", "order", "r").ran(10.1, "a/1").ended(10.2, gdhostrig.NotRun, "a/1", false)
		}, []string{trulyNotRun}},
		{"changed packet", func(s story) { s.at(10, gdhostrig.Event{Kind: gdhostrig.PacketAltered, Host: "entry-1"}) }, []string{unaltered}},
		{"reset of an open flow", func(s story) { s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).cut(11, 1, false) }, []string{flowStays}},
		{"reset by the upstream", func(s story) { s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).cut(11, 1, true) }, nil},
		{"reset after the upstream's end", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).at(10.5, gdhostrig.Event{Kind: gdhostrig.UpstreamStopped, Upstream: "u"}).cut(11, 1, false)
		}, nil},
		{"reset while the agent is in trouble", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).host(10.2, gdhostrig.FaultStarted, "agent-u", "pause").cut(11, 1, false)
		}, nil},
		{"reset under planned work", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).host(10.2, gdhostrig.PlannedWork, "agent-u", "terminate").cut(11, 1, false)
		}, []string{flowStays}},
		{"packets at others", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).wrong(12.2, 1).wrong(12.4, 1).wrong(12.6, 1)
		}, []string{flowStays}},
		{"packets at others for a moment", func(s story) {
			s.asked(10, 1, "a/1", "feed", "r").opened(10.1, 1).wrong(11.2, 1).wrong(11.4, 1).wrong(11.6, 1)
		}, nil},
		{"flow at a drained upstream", func(s story) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.Draining, Upstream: "u"}).asked(13.1, 1, "a/1", "feed", "r").took(13.2, 1, "booking")
		}, []string{drained}},
		{"flow at a drained upstream while the store was down", func(s story) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.Draining, Upstream: "u"}).host(11, gdhostrig.FaultStarted, "", "store").
				asked(13.1, 1, "a/1", "feed", "r").took(13.2, 1, "booking")
		}, nil},
		{"flow in a domain that is out", func(s story) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.DomainOut, Domain: "north"}).asked(15.1, 1, "a/1", "feed", "r").took(15.2, 1, "booking")
		}, []string{domainOut}},
		{"flow in a domain that is back", func(s story) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.DomainOut, Domain: "north"}).at(14, gdhostrig.Event{Kind: gdhostrig.DomainBack, Domain: "north"}).
				asked(15.1, 1, "a/1", "feed", "r").took(15.2, 1, "booking")
		}, nil},
		{"many flows at a cold upstream", func(s story) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.Registered, Upstream: "u", Service: "booking", ColdUntil: start.Add(20 * time.Second)})
			for i := range coldBurst + 1 {
				s.asked(11, i, "a/1", "feed", "r").took(11+float64(i)/100, i, "booking")
			}
		}, []string{coldStart}},
		{"flow on a route that was dropped", func(s story) {
			s.configured(10, 2, " ").asked(13.1, 1, "a/1", "probe", "r").took(13.2, 1, "booking")
		}, []string{configInTime}},
		{"flow refused on a route that was added", func(s story) {
			s.configured(10, 2, " r new ").asked(13.1, 1, "a/1", "probe", "new").ended(13.2, gdhostrig.OpenFailed, "a/1", false)
		}, []string{configInTime}},
		// Seed 49: the other domain's upstreams had all left.
		{"flow refused while no upstream may take it", func(s story) {
			s.configured(10, 2, " r new ").at(10.5, gdhostrig.Event{Kind: gdhostrig.DomainOut, Domain: "north"}).
				asked(13.1, 1, "a/1", "probe", "new").ended(13.2, gdhostrig.OpenFailed, "a/1", false)
		}, nil},
		{"older version after a newer one", func(s story) {
			s.configured(10, 2, " new ").asked(10.5, 1, "a/1", "probe", "new").took(10.5, 1, "booking").
				asked(11, 2, "b/1", "probe", "r").took(11, 2, "booking")
		}, []string{neverBack}},
		{"older version after a start", func(s story) {
			s.configured(10, 2, " new ").asked(10.5, 1, "a/1", "probe", "new").took(10.5, 1, "booking").
				host(10.8, gdhostrig.PlannedWork, "entry-1", "start").asked(11, 2, "b/1", "probe", "r").took(11, 2, "booking")
		}, nil},
		{"nothing served at the end", func(s story) {
			s.MeasureFrom(start.Add(20 * time.Second))
			s.at(21, gdhostrig.Event{Kind: gdhostrig.OperationDone, Class: "feed"}).Finish(start.Add(22 * time.Second))
		}, []string{recovers}},
		{"process that ends by itself", func(s story) { s.host(10, gdhostrig.ProcessExited, "entry-1", "") }, []string{keepsRunning}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := story{NewChecker()}
			s.configured(1, 1, " r ")
			s.at(1, gdhostrig.Event{Kind: gdhostrig.Registered, Upstream: "u", Service: "booking", Domain: "north", Host: "agent-u"})
			tc.tell(s)
			var broken []string
			for _, b := range s.Breaches() {
				broken = append(broken, b.Promise)
			}
			require.Equal(t, tc.broken, broken, "%v", s.Breaches())
		})
	}
}
