package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// booking is the configuration with one route that may not be repeated.
func (w *world) booking(perSecond float64, objective, timeout time.Duration) gdflow.Address {
	to := w.routeAddress(443)
	w.config = gddiscovery.Config{
		Version: 4, IdleTimeout: 15 * time.Second,
		Services: []gddiscovery.Service{{Name: "booking", MaxFlows: 2000, ColdFor: coldTime, ColdFlowsPerSecond: perSecond}},
		Routes: []gddiscovery.Route{{
			Name: "repair-request", Address: to, Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}}, Priority: 1,
			LatencyObjective: objective, Timeout: timeout,
		}},
	}
	w.do(w.configure)
	return to
}

// foreignEntry: another writer's entry has none of the fields that the platform names, since its
// own are spelled in capitals. It must name no target to use. The target at the address drains.
func foreignEntry(w *world, trouble bool) (verdict, error) {
	const (
		entryAt, drainAt = 4 * time.Second, 8 * time.Second
		linger, end      = 4 * time.Second, 18 * time.Second
		rate             = 36
		workTime         = 140 * time.Millisecond
	)
	to := w.booking(10, 150*time.Millisecond, time.Second)
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := w.addTarget(byte(i+1), "booking", zone, workTime, workTime); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startEntries("a", "b", "c"); err != nil {
		return verdict{}, err
	}
	w.start = time.Now()
	w.do(func(time.Time) { w.callers.load(rate, to, time.Second) })
	leaving := w.targets[0]
	w.sleepUntil(entryAt)
	if trouble {
		w.do(func(now time.Time) { w.putForeign(now, leaving) })
	}
	w.sleepUntil(drainAt)
	var acked time.Time
	w.do(func(now time.Time) {
		leaving.draining = true
		leaving.register(now)
		acked = now
	})
	w.sleepUntil(drainAt + drainTime + linger)
	w.do(func(time.Time) {
		leaving.closeSockets()
		w.record("%s has left, %d of its requests were running or queued", leaving.name, leaving.busy+len(leaving.queue))
		w.store.RemoveUpstream(time.Now(), leaving.id())
	})
	w.sleepUntil(end)
	w.do(func(time.Time) { w.callers.stopped = true })
	late := 0
	for _, a := range leaving.accepted {
		if a.at.Sub(acked) > drainTime {
			late++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return verdict{
		broken: late > 0,
		text:   fmt.Sprintf("%d requests reached %s later than %s after the ack that it drains; results: %v", late, leaving.name, drainTime, w.callers.results),
	}, nil
}

// putForeign writes the entry of another writer.
func (w *world) putForeign(now time.Time, t *target) {
	value, err := json.Marshal(map[string]any{
		"SERVICE": t.service, "ADDRESS": netip.AddrPortFrom(t.ip, appPort).String(), "ZONE": t.zone, "VERSION": "1", "CONCURRENCY": slots,
		"STATE": "ready", "WARMUP_LEFT_MS": 0, "SEQUENCE": 1, "BORN": now.UnixMilli(),
	})
	if err != nil {
		w.failed = err
		return
	}
	w.store.Put(now, "servers/inventory-17", value)
	w.record("another writer's entry servers/inventory-17: %s", value)
}
