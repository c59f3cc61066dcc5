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

// scenario passes events to a checker, with times in seconds from start.
type scenario struct{ *Checker }

func (s scenario) at(seconds float64, ev gdhostrig.Event) scenario {
	ev.At = start.Add(time.Duration(seconds * float64(time.Second)))
	s.Observe(ev)
	return s
}

func (s scenario) requestSent(seconds float64, i int, id, class, route string) scenario {
	return s.at(seconds, gdhostrig.Event{
		Kind: gdhostrig.RequestSent, Flow: flowKey(i), ID: id, Op: id[:1], Class: class, Route: route, Service: "booking", Host: "entry-1",
	})
}

func (s scenario) flowAccepted(seconds float64, i int, service string) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.FlowAccepted, Upstream: "u", Service: service, Host: "agent-u", Flow: flowKey(i)})
}

func (s scenario) flowOpened(seconds float64, i int) scenario {
	return s.flowAccepted(seconds, i, "booking").at(seconds, gdhostrig.Event{Kind: gdhostrig.FlowOpened, Upstream: "u", Flow: flowKey(i)})
}

func (s scenario) requestStarted(seconds float64, id string) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.RequestStarted, Upstream: "u", Service: "booking", ID: id})
}

func (s scenario) ended(seconds float64, kind gdhostrig.Kind, id string, whole bool) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: kind, ID: id, OK: whole})
}

func (s scenario) host(seconds float64, kind gdhostrig.Kind, host, text string) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: kind, Host: host, Text: text})
}

func (s scenario) packetMisrouted(seconds float64, i int) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.PacketMisrouted, Upstream: "v", Flow: flowKey(i)})
}

func (s scenario) flowReset(seconds float64, i int, signed bool) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.FlowReset, Flow: flowKey(i), Host: "entry-1", Via: "entry-1", Signed: signed})
}

func (s scenario) configured(seconds float64, version uint64, routes string) scenario {
	return s.at(seconds, gdhostrig.Event{Kind: gdhostrig.Configured, Version: version, Text: routes})
}

// TestChecker checks which events break each promise and which similar events do not.
func TestChecker(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events func(scenario)
		broken []string
	}{
		{"request is answered", func(s scenario) {
			s.requestSent(10, 1, "a/1", "order", "r").flowOpened(10.01, 1).requestStarted(10.02, "a/1").ended(10.03, gdhostrig.AnswerReceived, "a/1", true)
		}, nil},
		{"flow at another service", func(s scenario) { s.requestSent(10, 1, "a/1", "feed", "r").flowAccepted(10.1, 1, "gallery") }, []string{rightService}},
		{"flow at a service that has joined the route since", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").
				at(10.05, gdhostrig.Event{Kind: gdhostrig.Configured, Version: 9, Text: " r ", Services: map[string]string{"r": "booking gallery"}}).
				flowAccepted(10.1, 1, "gallery")
		}, nil},
		{"flow at a service that has not joined the route", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").
				at(10.05, gdhostrig.Event{Kind: gdhostrig.Configured, Version: 9, Text: " r ", Services: map[string]string{"r": "booking gallery"}}).
				flowAccepted(10.1, 1, "archive")
		}, []string{rightService}},
		{"reset of a flow at a service that has left the split", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).
				at(10.5, gdhostrig.Event{Kind: gdhostrig.Configured, Version: 9, Text: " r ", Services: map[string]string{"r": "booking gallery"}}).
				flowReset(11, 1, false)
		}, []string{flowStays}},
		{"flow without a route", func(s scenario) { s.requestSent(10, 1, "a/1", "feed", "never").flowAccepted(10.1, 1, "booking") }, []string{rightService}},
		{"flow that no caller opened", func(s scenario) { s.flowAccepted(10, 1, "booking") }, []string{onlyAsked}},
		{"request that no caller sent", func(s scenario) { s.requestStarted(10, "x/1") }, []string{onlyAsked}},
		{"request that runs twice", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").requestStarted(10, "a/1").requestStarted(11, "a/1")
		}, []string{atMostOnce}},
		{"at-most-once request that runs in two attempts", func(s scenario) {
			s.requestSent(10, 1, "a/1", "order", "r").requestStarted(10, "a/1").requestSent(10.1, 2, "a/2", "order", "r").requestStarted(10.2, "a/2")
		}, []string{atMostOnce}},
		{"idempotent request that runs in two attempts", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").requestStarted(10, "a/1").requestSent(10.1, 2, "a/2", "feed", "r").requestStarted(10.2, "a/2")
		}, nil},
		{"answer to another request", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").ended(10.1, gdhostrig.AnswerReceived, "a/1", false)
		}, []string{wholeAnswer}},
		{"run after a refusal", func(s scenario) {
			s.host(9, gdhostrig.PlannedWork, "entry-2", "terminate").requestSent(10, 1, "a/1", "order", "r").ended(10.1, gdhostrig.OpenFailed, "a/1", false).requestStarted(10.2, "a/1")
		}, []string{trulyNotRun}},
		{"refusal after the run", func(s scenario) {
			s.requestSent(10, 1, "a/1", "order", "r").requestStarted(10.1, "a/1").ended(10.2, gdhostrig.NotRun, "a/1", false)
		}, []string{trulyNotRun}},
		{"altered packet", func(s scenario) { s.at(10, gdhostrig.Event{Kind: gdhostrig.PacketAltered, Host: "entry-1"}) }, []string{unaltered}},
		{"reset of an open flow", func(s scenario) { s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).flowReset(11, 1, false) }, []string{flowStays}},
		{"reset by the upstream", func(s scenario) { s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).flowReset(11, 1, true) }, nil},
		{"reset after the upstream has stopped", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).at(10.5, gdhostrig.Event{Kind: gdhostrig.UpstreamStopped, Upstream: "u"}).flowReset(11, 1, false)
		}, nil},
		{"reset during a fault of the agent", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).host(10.2, gdhostrig.FaultStarted, "agent-u", "pause").flowReset(11, 1, false)
		}, nil},
		{"reset during planned work", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).host(10.2, gdhostrig.PlannedWork, "agent-u", "terminate").flowReset(11, 1, false)
		}, []string{flowStays}},
		{"packets at another upstream for longer than the window", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).packetMisrouted(12.2, 1).packetMisrouted(12.4, 1).packetMisrouted(12.6, 1)
		}, []string{flowStays}},
		{"packets at another upstream within the window", func(s scenario) {
			s.requestSent(10, 1, "a/1", "feed", "r").flowOpened(10.1, 1).packetMisrouted(11.2, 1).packetMisrouted(11.4, 1).packetMisrouted(11.6, 1)
		}, nil},
		{"flow at a drained upstream", func(s scenario) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.Draining, Upstream: "u"}).requestSent(13.1, 1, "a/1", "feed", "r").flowAccepted(13.2, 1, "booking")
		}, []string{drained}},
		{"flow at a drained upstream during a fault of the store", func(s scenario) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.Draining, Upstream: "u"}).host(11, gdhostrig.FaultStarted, "", "store").
				requestSent(13.1, 1, "a/1", "feed", "r").flowAccepted(13.2, 1, "booking")
		}, nil},
		{"flow in a domain that is out of service", func(s scenario) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.DomainOut, Domain: "north"}).requestSent(15.1, 1, "a/1", "feed", "r").flowAccepted(15.2, 1, "booking")
		}, []string{domainOut}},
		{"flow in a domain that is back in service", func(s scenario) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.DomainOut, Domain: "north"}).at(14, gdhostrig.Event{Kind: gdhostrig.DomainBack, Domain: "north"}).
				requestSent(15.1, 1, "a/1", "feed", "r").flowAccepted(15.2, 1, "booking")
		}, nil},
		{"many flows at a cold upstream", func(s scenario) {
			s.at(10, gdhostrig.Event{Kind: gdhostrig.Registered, Upstream: "u", Service: "booking", ColdUntil: start.Add(20 * time.Second)})
			for i := range maxColdFlowsPerSecond + 1 {
				s.requestSent(11, i, "a/1", "feed", "r").flowAccepted(11+float64(i)/100, i, "booking")
			}
		}, []string{coldStart}},
		{"flow on a route that was removed", func(s scenario) {
			s.configured(10, 2, " ").requestSent(13.1, 1, "a/1", "probe", "r").flowAccepted(13.2, 1, "booking")
		}, []string{configInTime}},
		{"flow refused on a route that was added", func(s scenario) {
			s.configured(10, 2, " r new ").requestSent(13.1, 1, "a/1", "probe", "new").ended(13.2, gdhostrig.OpenFailed, "a/1", false)
		}, []string{configInTime}},
		// Seed 49: all upstreams of the other domain had stopped.
		{"flow refused while no upstream can accept it", func(s scenario) {
			s.configured(10, 2, " r new ").at(10.5, gdhostrig.Event{Kind: gdhostrig.DomainOut, Domain: "north"}).
				requestSent(13.1, 1, "a/1", "probe", "new").ended(13.2, gdhostrig.OpenFailed, "a/1", false)
		}, nil},
		{"older version after a newer one", func(s scenario) {
			s.configured(10, 2, " new ").requestSent(10.5, 1, "a/1", "probe", "new").flowAccepted(10.5, 1, "booking").
				requestSent(11, 2, "b/1", "probe", "r").flowAccepted(11, 2, "booking")
		}, []string{configNeverBack}},
		{"older version after a restart", func(s scenario) {
			s.configured(10, 2, " new ").requestSent(10.5, 1, "a/1", "probe", "new").flowAccepted(10.5, 1, "booking").
				host(10.8, gdhostrig.PlannedWork, "entry-1", "start").requestSent(11, 2, "b/1", "probe", "r").flowAccepted(11, 2, "booking")
		}, nil},
		{"no operation succeeds after the recovery time", func(s scenario) {
			s.MeasureFrom(start.Add(20 * time.Second))
			s.at(21, gdhostrig.Event{Kind: gdhostrig.OperationDone, Class: "feed"}).Finish(start.Add(22 * time.Second))
		}, []string{recovers}},
		{"process that exits unexpectedly", func(s scenario) { s.host(10, gdhostrig.ProcessExited, "entry-1", "") }, []string{keepsRunning}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := scenario{NewChecker()}
			s.configured(1, 1, " r ")
			s.at(1, gdhostrig.Event{Kind: gdhostrig.Registered, Upstream: "u", Service: "booking", Domain: "north", Host: "agent-u"})
			tc.events(s)
			var broken []string
			for _, b := range s.Breaches() {
				broken = append(broken, b.Promise)
			}
			require.Equal(t, tc.broken, broken, "%v", s.Breaches())
		})
	}
}
