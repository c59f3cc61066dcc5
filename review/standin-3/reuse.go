package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	replaced   = 8
	rollAt     = 10 * time.Second
	rollPeriod = 4 * time.Second
	// A target reports that it drains, exits after drainTime and a second, and more than two
	// seconds later another one gets its address.
	drainBefore = 6300 * time.Millisecond
	lead        = 45 * time.Millisecond // from a registration to the routers' next check
	reuseThink  = 40 * time.Millisecond
	reuseWork   = 2 * time.Millisecond
	reuseLimit  = time.Second
	firstReused = 10
	firstNew    = 30
)

// reuse: targets of one service drain and leave one after the other, and targets of another one get
// their addresses. An entry process is stopped and started meanwhile, so that the routers send open
// flows through other ones. Both is planned work. Without trouble the new targets get new addresses.
func reuse(w *world, trouble bool) (verdict, error) {
	const (
		heldFlows = 40
		perFlow   = 10 // requests
		size      = 150
	)
	feed, err := w.startTwoServices()
	if err != nil {
		return verdict{}, err
	}
	w.start = time.Now()
	go w.checkReady()
	w.do(func(time.Time) {
		w.callers.perFlow, w.callers.size = perFlow, size
		w.callers.hold(heldFlows, feed, reuseLimit, reuseThink)
		for i, t := range w.targets[3 : 3+replaced] {
			w.after(rollAt+time.Duration(i)*rollPeriod-drainBefore-time.Since(w.start), t.leave)
		}
	})
	for i := range replaced {
		n := byte(firstReused + i)
		if !trouble {
			n = byte(firstNew + i)
		}
		if err := w.replace(i, n, feed); err != nil {
			return verdict{}, err
		}
	}
	w.sleepUntil(rollAt + replaced*rollPeriod)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers.stopped = true
	broken := 0
	for _, r := range w.callers.resets {
		if r.holder != "" {
			broken++
			w.record("%.4f: flow %s, which %s held, was reset by the system", r.at.Sub(w.start).Seconds(), r.key, r.holder)
		}
	}
	return verdict{
		broken: broken > 0,
		text:   fmt.Sprintf("%d open flows of targets that were running were reset by the system; results: %v", broken, w.callers.results),
	}, nil
}

// startTwoServices starts targets of two services and the entry processes. It returns the address
// of the first service's route.
func (w *world) startTwoServices() (gdflow.Address, error) {
	feed, photo := w.routeAddress(443), w.routeAddress(8443)
	w.config = gddiscovery.Config{
		Version: 4, IdleTimeout: 15 * time.Second,
		Services: []gddiscovery.Service{{Name: "booking", MaxFlows: 2000, ColdFor: coldTime}, {Name: "gallery", MaxFlows: 2000, ColdFor: coldTime}},
		Routes: []gddiscovery.Route{
			{Name: "feed", Address: feed, Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}}, Priority: 1, LatencyObjective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond, Idempotent: true},
			{Name: "photo", Address: photo, Shares: []gddiscovery.Share{{Service: "gallery", Weight: 1}}, Priority: 2, LatencyObjective: 500 * time.Millisecond, Timeout: 3 * time.Second, Idempotent: true},
		},
	}
	w.do(w.configure)
	w.do(w.configure) // the operator has changed it before
	for i := range byte(3) {
		if _, err := w.addTarget(i+1, "booking", zones[i], reuseWork, reuseWork); err != nil {
			return feed, err
		}
	}
	for i := range byte(replaced + 1) {
		if _, err := w.addTarget(firstReused+i, "gallery", zones[i%3], reuseWork, reuseWork); err != nil {
			return feed, err
		}
	}
	return feed, w.startEntries("a", "b", "c", "a")
}

// replace stops and starts an entry process, and adds a target that checks in shortly before the
// routers take the process out of rotation. Requesters come right after that.
func (w *world) replace(i int, n byte, feed gdflow.Address) error {
	const (
		arrivals   = 100
		arriveIn   = 35 * time.Millisecond
		startAhead = 300 * time.Millisecond // of the target's start, before it checks in
	)
	at := rollAt + time.Duration(i)*rollPeriod // a multiple of checkInterval
	w.sleepUntil(at - checkInterval/2)
	w.mu.Lock()
	p := w.callers.entries[0]
	w.mu.Unlock()
	go w.roll(p)
	// It misses the checks at at and at+checkInterval, and is out of rotation after these.
	checkIn := at + checkInterval - lead
	w.sleepUntil(checkIn - startAhead)
	if err := w.addTargetAt(n, "booking", zones[i%3], reuseWork, checkIn); err != nil {
		return err
	}
	w.do(func(time.Time) {
		for range arrivals {
			w.after(rand.N(arriveIn), func(now time.Time) { w.callers.request(now, feed, reuseLimit, reuseThink).once = true })
		}
	})
	return nil
}

// leave drains the target. It exits some time later, and its agent after it.
func (t *target) leave(now time.Time) {
	t.draining = true
	t.register(now)
	t.w.after(drainTime+time.Second, func(now time.Time) {
		t.closeSockets()
		t.w.store.RemoveUpstream(now, t.id())
		t.w.record("%s has left", t.name)
		go t.agent.terminate()
	})
}

var zones = []string{"a", "b", "c"}

// addTargetAt starts a target and its agent now. The target first checks in at the time.
func (w *world) addTargetAt(n byte, service, zone string, workTime, checkIn time.Duration) error {
	t := &target{
		w: w, name: fmt.Sprintf("target-%d-%s", n, service), service: service, zone: zone, ip: w.network.Addr(sideNet, n), work: workTime, coldWork: workTime,
		checkInAt: w.start.Add(checkIn),
	}
	var err error
	w.do(func(now time.Time) { err = t.startProcess(now, true) })
	if err != nil {
		return err
	}
	w.targets = append(w.targets, t)
	t.agent, err = w.startProcess("agent", zone, n, t)
	w.sleepUntil(checkIn)
	w.do(t.register)
	return err
}
