package main

import (
	"syscall"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The disruptions of case 10, and the figures of rule FAILBACK.
const (
	storeAway     = 4500 * time.Millisecond
	powerAfter    = 50 * time.Millisecond
	darkTime      = 790 * time.Millisecond
	warmupPerS    = 4
	warmupOverage = 1.5
	warmupSlack   = 5
	darkStep      = 150 * time.Millisecond
	openGap       = 12 * time.Millisecond
	watchTime     = 16 * time.Second
)

// coldUnregistered: while the store is away, a zone with two targets loses power. They are cold when
// they come back, and can't register before the store has returned. One does so at once, the other
// one within its check-in interval.
func coldUnregistered(w *world) error {
	const port = 443
	for n := range byte(4) {
		zone := "bizkaia-a"
		if n < 2 {
			zone = "bizkaia-b"
		}
		if _, err := w.addTarget(n+1, "booking", zone, 3); err != nil {
			return err
		}
	}
	booking := service("booking")
	booking["warmup_per_s"] = warmupPerS
	route := route{name: "repair-request", service: "booking", kind: "non_idempotent", port: port, priority: 1, aim: feedAim, expiry: feedExpiry}
	if err := w.startWith([]map[string]any{booking}, 3, route); err != nil {
		return err
	}
	cold := w.targets[0]
	if w.trouble {
		time.AfterFunc(time.Second, func() { w.loseStoreAndPower(w.targets[:2]) })
	}
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(openGap) {
		go w.single(port)
	}
	if !w.trouble {
		return nil // no target is cold
	}
	return w.checkOpenings(cold, warmupPerS)
}

// loseStoreAndPower makes the store unavailable, and then takes the power of the targets' machines.
func (w *world) loseStoreAndPower(targets []*target) {
	w.setStoreAway(true)
	time.AfterFunc(storeAway, func() { w.setStoreAway(false) })
	time.Sleep(powerAfter)
	for i, t := range targets {
		dark := darkTime + time.Duration(i)*darkStep
		w.mu.Lock()
		t.machine.downUntil = time.Now().Add(dark)
		w.mu.Unlock()
		t.machine.signal(syscall.SIGKILL, "SIGKILL, its zone has lost power")
		t.close()
		time.AfterFunc(dark, func() {
			w.mu.Lock()
			t.warmupUntil = time.Now().Add(warmupTime)
			w.mu.Unlock()
			if err := t.start(); err != nil {
				w.note("target", "%s does not start: %v", t.id, err)
			}
		})
	}
}

// setStoreAway makes the store unavailable, or available again.
func (w *world) setStoreAway(away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away = away
	w.store.SetFaults("", platformsim.Faults{Unavailable: away})
	w.noteLocked("store", "away: %t", away)
}

// single opens a flow and sends one request on it.
func (w *world) single(port uint16) {
	f := w.callers.open(port, nil)
	if <-f.opened {
		f.ask(feedExpiry * time.Millisecond)
	}
}

// mostOpenings returns the most opening packets that a target took in one second while it was
// cold.
func (w *world) mostOpenings(t *target) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var times []time.Time
	seen := make(map[gdflow.Key]bool)
	for _, a := range w.arrivals {
		cold := a.at.Before(t.warmupUntil) && a.at.After(t.warmupUntil.Add(-warmupTime))
		if a.opens && a.target == t && cold && !seen[a.key] {
			seen[a.key] = true
			times = append(times, a.at)
		}
	}
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	w.noteLocked("check", "%s: %d opening packets while it was cold, at most %d in one second", t.id, len(times), most)
	return most
}
