package gdsoak

import (
	"slices"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// orders is the class whose requests may run once at most.
const orders = "order"

func (l *Checker) asked(ev gdhostrig.Event) {
	l.attempts[ev.ID] = &attempt{Event: ev, repeatable: ev.Class != orders}
	if f := l.flows[ev.Flow]; f == nil || f.asked.Route == "" {
		l.flows[ev.Flow] = &flow{asked: ev}
	}
}

// took judges the opening of a flow at an upstream.
func (l *Checker) took(ev gdhostrig.Event) {
	l.check(ev.At, unaltered, true, "")
	f, u := l.flows[ev.Flow], l.upstreams[ev.Upstream]
	l.check(ev.At, onlyAsked, f != nil, "nobody opened flow %s at %s", ev.Flow, ev.Upstream)
	if f == nil || u == nil {
		return
	}
	asked := f.asked
	if asked.Service != "" {
		l.check(ev.At, rightService, asked.Service == ev.Service, "flow %s of %s opened at %s", ev.Flow, asked.Service, ev.Upstream)
	}
	inTouch := func(since time.Time) bool {
		return l.touch.calm(since.Add(-stableTime), "") && l.touch.untouched(ev.At.Add(-stableTime), asked.Host, u.Host)
	}
	if since := u.drainedAt; !since.IsZero() && inTouch(since) {
		after := ev.At.Sub(since)
		l.check(ev.At, drained, after <= drainBound, "%s got flow %s %s after it drained", ev.Upstream, ev.Flow, after)
	}
	if since, out := l.out[u.Domain]; out && inTouch(since) {
		after := ev.At.Sub(since)
		l.check(ev.At, domainOut, after <= outBound, "%s got flow %s %s after %s was out", ev.Upstream, ev.Flow, after, u.Domain)
	}
	if ev.At.Before(u.ColdUntil) {
		u.took = append(u.took, ev.At)
		u.took = slices.DeleteFunc(u.took, func(t time.Time) bool { return ev.At.Sub(t) >= time.Second })
		l.check(ev.At, coldStart, len(u.took) <= coldBurst, "%s got %d flows within a second while cold", ev.Upstream, len(u.took))
	}
	l.tookBy(ev, asked, inTouch)
}

// tookBy judges the version by which an entry host opened a flow.
func (l *Checker) tookBy(ev, asked gdhostrig.Event, inTouch func(time.Time) bool) {
	added, dropped := l.lifeOf(asked.Route)
	l.check(ev.At, rightService, added != nil, "flow %s opened at %s without a route", ev.Flow, ev.Upstream)
	if dropped != nil {
		if inTouch(dropped.at) {
			late := asked.At.Sub(dropped.at)
			l.check(ev.At, configInTime, late <= configBound, "flow %s opened by %s %s after its route was dropped", ev.Flow, asked.Host, late)
		}
		if s := l.shown[asked.Host]; s.number >= dropped.number {
			late := asked.At.Sub(s.at)
			l.check(ev.At, neverBack, late <= backSlack, "flow %s opened by %s, which had shown version %d that drops its route %s before",
				ev.Flow, asked.Host, s.number, late)
		}
	}
	if added != nil && added.number > l.shown[asked.Host].number {
		l.shown[asked.Host] = shown{number: added.number, at: ev.At}
	}
}

// lifeOf returns the versions that added and dropped a route, or nil.
func (l *Checker) lifeOf(route string) (added, dropped *version) {
	for i := range l.versions {
		switch v := &l.versions[i]; {
		case added == nil && v.hasRoute(route):
			added = v
		case added != nil && dropped == nil && !v.hasRoute(route):
			dropped = v
		}
	}
	return added, dropped
}

func (l *Checker) progress(ev gdhostrig.Event) {
	f := l.flows[ev.Flow]
	if f == nil {
		return
	}
	switch ev.Kind {
	case gdhostrig.FlowOpened:
		f.upstream, f.open, f.own, f.wrong = ev.Upstream, true, ev.At, nil
	case gdhostrig.PacketDelivered:
		f.own, f.wrong = ev.At, nil
		l.check(ev.At, unaltered, true, "")
		l.check(ev.At, flowStays, true, "")
	case gdhostrig.FlowClosed:
		f.open = f.open && f.upstream != ev.Upstream
	}
}

// holds reports whether the flow is open at an upstream that lives and has had no
// trouble lately.
func (l *Checker) holds(now time.Time, f *flow) bool {
	if f == nil || !f.open {
		return false
	}
	u := l.upstreams[f.upstream]
	return u != nil && !u.gone && l.touch.calm(now.Add(-stableTime), u.Host)
}

// wrong judges a packet of an open flow at an upstream that does not hold it.
func (l *Checker) wrong(ev gdhostrig.Event) {
	f := l.flows[ev.Flow]
	if !l.holds(ev.At, f) {
		return
	}
	f.wrong = slices.DeleteFunc(append(f.wrong, ev.At), func(t time.Time) bool { return ev.At.Sub(t) > wrongTime })
	if len(f.wrong) < mostWrong || !l.touch.calm(ev.At.Add(-stableTime-wrongTime), l.entries()...) {
		return
	}
	l.check(ev.At, flowStays, ev.At.Sub(f.own) < wrongTime, "%d packets of flow %s at others and none at %s for %s",
		len(f.wrong), ev.Flow, f.upstream, ev.At.Sub(f.own))
}

// entries returns the hosts that are not beside an upstream.
func (l *Checker) entries() []string {
	var names []string
	for h := range l.touch.any {
		if strings.HasPrefix(h, gdhostrig.RoleEntry) {
			names = append(names, h)
		}
	}
	return names
}

// cut judges a reset at the caller of an open flow.
func (l *Checker) cut(ev gdhostrig.Event) {
	f := l.flows[ev.Flow]
	if ev.Signed || !l.holds(ev.At, f) || !l.touch.calm(ev.At.Add(-stableTime), ev.Host, ev.Via) {
		return
	}
	if _, dropped := l.lifeOf(f.asked.Route); dropped != nil {
		return
	}
	l.check(ev.At, flowStays, false, "%s reset flow %s, which %s holds", ev.Host, ev.Flow, f.upstream)
}

// ran judges the run of a request.
func (l *Checker) ran(ev gdhostrig.Event) {
	a := l.attempts[ev.ID]
	l.check(ev.At, onlyAsked, a != nil, "%s ran %q, which nobody asked", ev.Upstream, ev.ID)
	if a == nil {
		return
	}
	if a.Service != "" {
		l.check(ev.At, rightService, a.Service == ev.Service, "%s of %s ran at %s", ev.ID, a.Service, ev.Upstream)
	}
	a.runs++
	l.opRuns[a.Op]++
	l.check(ev.At, atMostOnce, a.runs == 1 && (a.repeatable || l.opRuns[a.Op] == 1), "%s ran %d times, its operation %d times",
		ev.ID, a.runs, l.opRuns[a.Op])
	l.check(ev.At, trulyNotRun, !a.over, "%s ran after its caller knew that it had not", ev.ID)
}

// attemptEnded judges how an attempt ended at its caller.
func (l *Checker) attemptEnded(ev gdhostrig.Event) {
	a := l.attempts[ev.ID]
	if a == nil {
		return
	}
	switch ev.Kind {
	case gdhostrig.AnswerReceived:
		l.check(ev.At, wholeAnswer, ev.OK, "%s got another answer than its upstream's", ev.ID)
	case gdhostrig.NotRun, gdhostrig.OpenFailed:
		a.over = true
		l.check(ev.At, trulyNotRun, a.runs == 0, "%s had run", ev.ID)
		l.refused(ev, a)
	}
}

// refused judges a flow that did not open although its route was configured, while
// nothing else could be the reason.
func (l *Checker) refused(ev gdhostrig.Event, a *attempt) {
	added, dropped := l.lifeOf(a.Route)
	if ev.Kind != gdhostrig.OpenFailed || added == nil || dropped != nil || !l.usable(a.Service) ||
		!l.touch.allCalm(added.at.Add(-stableTime)) {
		return
	}
	late := a.At.Sub(added.at)
	l.check(ev.At, configInTime, late <= configBound, "flow %s was not opened by %s %s after its route was added", ev.Flow, a.Host, late)
}

// usable reports whether the service has an upstream that may take new flows.
func (l *Checker) usable(service string) bool {
	for _, u := range l.upstreams {
		if _, out := l.out[u.Domain]; u.Service == service && !out && !u.gone && u.drainedAt.IsZero() {
			return true
		}
	}
	return false
}
