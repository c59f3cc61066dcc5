package main

import (
	"fmt"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// cases are the scripted cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(w *world, trouble bool) error{
	"foreign-entry":  foreignEntry,
	"idle-timeout":   idleTimeout,
	"evacuate-again": evacuateAgain,
	"power-loss":     powerLoss,
	"small-warmup":   smallWarmup,
	"copied-route":   copiedRoute,
	"long-watch":     longWatch,
}

// missedCheckIns is after how many check-in intervals of silence the store removes an entry.
const missedCheckIns = 3

const (
	north = "north"
	south = "south"
)

// baseConfig is the first configuration: two services, three routes.
func baseConfig() gddiscovery.Config {
	return gddiscovery.Config{
		Version: 3, IdleTimeout: 15 * time.Second,
		Routes: []gddiscovery.Route{route("feed", 443, "booking", true), route("order", 8443, "booking", false), route("photo", 9443, "gallery", true)},
		Services: []gddiscovery.Service{
			{Name: "booking", MaxFlows: 2000, ColdFor: 2 * time.Second},
			{Name: "gallery", MaxFlows: 2000, ColdFor: 2 * time.Second},
		},
	}
}

// startSmall starts three entry hosts and five targets, and waits until they are ready.
func (w *world) startSmall() error { return w.startWith(baseConfig()) }

// startWith is startSmall with another first configuration.
func (w *world) startWith(c gddiscovery.Config) error {
	w.putConfig(c)
	if err := w.addEntries(north, south, north); err != nil {
		return err
	}
	for _, t := range []struct{ service, zone string }{{"booking", north}, {"booking", south}, {"booking", north}, {"gallery", south}, {"gallery", north}} {
		if _, err := w.addTarget(t.service, t.zone, false); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// startLoad starts feeds and single requests.
func (w *world) startLoad(feeds int, perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	routes := w.config.Routes
	for range feeds {
		w.clients.feed(routes[0], 300*time.Millisecond)
	}
	w.clients.fresh(routes[1], perSecond)
	w.clients.fresh(routes[2], perSecond/4)
}

// foreignEntry: another writer's entry names a service that is not configured, and the address of
// a running target.
func foreignEntry(w *world, trouble bool) error {
	if err := w.startSmall(); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(24, 10)
	w.sleepUntil(10 * time.Second)
	if trouble {
		t := w.targets[0]
		value := fmt.Sprintf(`{"service":"parcels","address":%q,"zone":%q,"version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1}`,
			t.address(), t.machine.zone)
		rev := w.store.Put(time.Now(), "servers/other-writer-1", []byte(value))
		w.log("another writer: servers/other-writer-1 acknowledged at revision %d: %s", rev, value)
	}
	w.sleepUntil(20 * time.Second)
	return nil
}

// idleTimeout: the operator raises idle_timeout_ms, and requesters then pause for longer than it
// was before.
func idleTimeout(w *world, trouble bool) error {
	if err := w.startSmall(); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(4, 10)
	w.sleepUntil(5 * time.Second)
	if trouble {
		c := baseConfig()
		c.Version, c.IdleTimeout = 5, 45*time.Second
		w.mu.Lock()
		w.putConfig(c)
		w.mu.Unlock()
	}
	w.sleepUntil(10 * time.Second)
	w.mu.Lock()
	var paused []*clientFlow
	for range 8 {
		paused = append(paused, w.clients.open(w.config.Routes[0], false))
	}
	w.mu.Unlock()
	w.sleepUntil(45 * time.Second)
	w.mu.Lock()
	for _, f := range paused {
		if f.ep != nil && !f.ended {
			f.next(time.Now())
		}
	}
	w.mu.Unlock()
	w.sleepUntil(50 * time.Second)
	return nil
}

// evacuateAgain: the operator evacuates a zone and takes it back, the store is restored from a copy
// made before, and the operator evacuates the zone once more.
func evacuateAgain(w *world, trouble bool) error {
	if err := w.startSmall(); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(6, 20)
	w.sleepUntil(8 * time.Second)
	copied := time.Now()
	w.evacuate(south, true)
	w.sleepUntil(11 * time.Second)
	w.evacuate(south, false)
	w.sleepUntil(14 * time.Second)
	if trouble {
		w.proxy.set(true)
		w.log("store: away")
		w.sleepUntil(14500 * time.Millisecond)
		lost := w.store.Restore(copied)
		w.proxy.set(false)
		w.log("store: back, restored from a copy %s old; lost were the writes of %v, which are as before", time.Since(copied).Round(time.Millisecond), lost)
	}
	w.sleepUntil(22 * time.Second)
	w.evacuate(south, true)
	acked := time.Now()
	w.sleepUntil(34 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		for _, o := range t.opened {
			if t.machine.zone == south && o.at.Sub(acked) > evacuateTime {
				w.fail("EVAC a flow opens at target %s in %s %s after its evacuation was acknowledged", t.id, south, o.at.Sub(acked).Round(time.Millisecond))
			}
		}
	}
	return nil
}

// evacuate evacuates a zone, or takes it back.
func (w *world) evacuate(zone string, out bool) {
	rev := w.store.SetDomainOut(time.Now(), zone, out)
	w.log("operator: evacuation of %s is %t, acknowledged at revision %d", zone, out, rev)
}

// coldConfig is the first configuration with a limit for cold targets.
func coldConfig(perSecond float64, coldFor time.Duration) gddiscovery.Config {
	c := baseConfig()
	for i := range c.Services {
		c.Services[i].ColdFor, c.Services[i].ColdFlowsPerSecond = coldFor, perSecond
	}
	return c
}

// checkCold checks FAILBACK: the opening packets that a cold target gets in any second.
func (w *world) checkCold(perSecond float64) {
	const overage, slack = 1.5, 5
	for _, t := range w.targets {
		first, most := 0, 0
		var at time.Time
		for i, o := range t.opened {
			for o.at.Sub(t.opened[first].at) >= time.Second || !t.opened[first].cold && first < i {
				first++
			}
			if n := i - first + 1; o.cold && n > most {
				most, at = n, o.at
			}
		}
		if bound := perSecond*overage + slack; float64(most) > bound {
			w.fail("FAILBACK target %s got %d opening packets in the second before %.3f while it was cold, at most %.1f are allowed",
				t.id, most, at.Sub(w.started).Seconds(), bound)
		}
	}
}

// powerLoss: two side machines lose power, and their targets and daemons start again. One target
// checks in soon after its start, the other one just before its first interval is over.
func powerLoss(w *world, trouble bool) error {
	const perSecond = 2
	if err := w.startWith(coldConfig(perSecond, 4*time.Second)); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(6, 80)
	w.sleepUntil(10 * time.Second)
	if trouble {
		lost := []*target{w.targets[0], w.targets[2]}
		for _, t := range lost {
			w.losePower(t)
		}
		w.sleepUntil(11 * time.Second)
		for i, t := range lost {
			if err := w.restorePower(t, []time.Duration{200 * time.Millisecond, heartbeat}[i]); err != nil {
				return err
			}
		}
	}
	w.sleepUntil(18 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCold(perSecond)
	return nil
}

// losePower ends the processes of a side machine. The store removes the entry of its target after
// three check-in intervals of silence.
func (w *world) losePower(t *target) {
	w.mu.Lock()
	w.log("machine %s: loses power", t.machine.name)
	t.stop()
	former := t.id
	w.after(missedCheckIns*heartbeat, func(now time.Time) {
		rev := w.store.RemoveUpstream(now, former)
		w.log("store: entry of %s expired at revision %d", former, rev)
	})
	w.mu.Unlock()
	w.kill(t.machine)
}

// restorePower starts the target and the daemon of a side machine again. The target checks in
// after the duration.
func (w *world) restorePower(t *target, checkIn time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := t.start(true); err != nil {
		return err
	}
	w.after(checkIn, func(time.Time) { t.register() })
	return w.start(t.machine)
}

// smallWarmup: an empty target is added to a service whose cold targets bear less than one request
// a second.
func smallWarmup(w *world, trouble bool) error {
	const perSecond = 0.8
	if err := w.startWith(coldConfig(perSecond, 4*time.Second)); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(6, 60)
	w.sleepUntil(10 * time.Second)
	if trouble {
		if _, err := w.addTarget("booking", north, true); err != nil {
			return err
		}
	}
	w.sleepUntil(16 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCold(perSecond)
	return nil
}

// copiedRoute: the operator adds a route, the store is restored from a copy made before, and frontend
// machines are added before the operator writes the configuration again.
func copiedRoute(w *world, trouble bool) error {
	if err := w.startSmall(); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(4, 10)
	w.sleepUntil(6 * time.Second)
	copied := time.Now()
	c := baseConfig()
	c.Version, c.Routes = 6, append(c.Routes, route("track", 10443, "booking", true))
	w.mu.Lock()
	w.putConfig(c)
	w.mu.Unlock()
	w.sleepUntil(9 * time.Second)
	w.mu.Lock()
	for range 60 {
		w.clients.feed(c.Routes[3], 200*time.Millisecond)
	}
	w.mu.Unlock()
	w.sleepUntil(12 * time.Second)
	if trouble {
		w.proxy.set(true)
		w.log("store: away")
		w.sleepUntil(12500 * time.Millisecond)
		w.store.Restore(copied)
		w.proxy.set(false)
		w.log("store: back, restored from a copy %s old", time.Since(copied).Round(time.Millisecond))
	}
	w.sleepUntil(17 * time.Second)
	if err := w.addEntries(south, north, south); err != nil {
		return err
	}
	w.sleepUntil(18 * time.Second)
	w.mu.Lock()
	w.putConfig(c)
	w.mu.Unlock()
	w.sleepUntil(21 * time.Second)
	return nil
}

// The configuration of longWatch: that of the site after six additions of as many routes.
const (
	manyRoutes    = 6 * 374
	stormChanges  = 12
	stormInterval = 330 * time.Millisecond
	applyTime     = 3 * time.Second
)

// longWatch: the store rejects the frontend machines while the operator writes a series of
// configurations with many routes.
func longWatch(w *world, trouble bool) error {
	c := baseConfig()
	for i := range manyRoutes {
		c.Routes = append(c.Routes, route(fmt.Sprintf("r-%07d", i), uint16(20000+i), "gallery", true))
	}
	if err := w.startWith(c); err != nil {
		return err
	}
	w.sleepUntil(3 * time.Second)
	w.startLoad(6, 10)
	w.sleepUntil(6 * time.Second)
	w.proxy.set(trouble)
	w.log("store: rejects the frontend machines: %t", trouble)
	for i := range stormChanges {
		w.sleepUntil(7900*time.Millisecond + time.Duration(i)*stormInterval)
		c.Version++
		c.Routes = append(c.Routes[:len(c.Routes):len(c.Routes)], route(fmt.Sprintf("new-%d", i), uint16(11000+i), "booking", true))
		w.mu.Lock()
		w.putConfig(c)
		w.mu.Unlock()
	}
	acked := time.Now()
	w.sleepUntil(12 * time.Second)
	w.proxy.set(false)
	w.log("store: serves the frontend machines")
	var probes []*clientFlow
	for at := 12*time.Second + stableTime + 500*time.Millisecond; at < 27*time.Second; at += 500 * time.Millisecond {
		w.sleepUntil(at)
		w.mu.Lock()
		for _, m := range w.rotation() {
			probes = append(probes, w.clients.openVia(m, c.Routes[len(c.Routes)-1], true))
		}
		w.mu.Unlock()
	}
	w.sleepUntil(28 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range probes {
		if f.refused && f.started.Sub(acked) > applyTime {
			w.fail("CONFIG %s by %s: %s is refused %s after its configuration was acknowledged",
				f.key, f.via.name, f.route.Name, f.started.Sub(acked).Round(time.Millisecond))
		}
	}
	return nil
}
