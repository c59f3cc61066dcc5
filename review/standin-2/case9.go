package main

import (
	"fmt"
	"time"
)

// The times of case 9, and the figures of rule FAILBACK there.
const (
	evacuatedFor = 4 * time.Second
	crashTime    = time.Second
	lateCheckIn  = 1000 * time.Millisecond
	idleWarmup   = 4
)

// idleRestart: a zone is evacuated, so that its target gets nothing. The target crashes and
// starts again, cold. The zone is taken back before the target's first check-in.
func idleRestart(w *world) error {
	const port = 443
	for n := range byte(4) {
		zone := "bizkaia-a"
		if n == 0 {
			zone = "bizkaia-b"
		}
		if _, err := w.addTarget(n+1, "booking", zone, 3); err != nil {
			return err
		}
	}
	booking := service("booking")
	booking["warmup_per_s"] = idleWarmup
	route := route{name: "repair-request", service: "booking", kind: "non_idempotent", port: port, priority: 1, aim: feedAim, expiry: feedExpiry}
	if err := w.startWith([]map[string]any{booking}, 3, route); err != nil {
		return err
	}
	idle := w.targets[0]
	go w.evacuateAndRestart(idle)
	for end := time.Now().Add(evacuatedFor + crashTime + warmupTime + time.Second); time.Now().Before(end); time.Sleep(openGap) {
		go w.single(port)
	}
	if !w.trouble {
		return nil // no target is cold
	}
	return w.checkOpenings(idle, idleWarmup)
}

// evacuateAndRestart evacuates the target's zone, lets the target crash, and takes the zone back.
func (w *world) evacuateAndRestart(t *target) {
	key := "op/evacuate/" + t.zone
	w.store.Put(time.Now(), key, []byte("{}"))
	w.note("operator", "evacuates %s", t.zone)
	time.Sleep(evacuatedFor)
	if w.trouble {
		w.note("trouble", "%s crashes", t.id)
		t.close()
	}
	time.Sleep(crashTime)
	if w.trouble {
		w.mu.Lock()
		t.warmupUntil, t.checkIn = time.Now().Add(warmupTime), lateCheckIn
		w.mu.Unlock()
		if err := t.start(); err != nil {
			w.note("target", "%s does not start: %v", t.id, err)
		}
	}
	w.store.Remove(time.Now(), key)
	w.note("operator", "takes %s back", t.zone)
}

// checkOpenings returns errBroken if a cold target took more opening packets in one second than
// allowed.
func (w *world) checkOpenings(t *target, perSecond float64) error {
	limit := int(perSecond*warmupOverage + warmupSlack)
	if most := w.mostOpenings(t); most > limit {
		w.note("FAILBACK", "%s got %d opening packets in one second while it was cold, %d are allowed", t.id, most, limit)
		return fmt.Errorf("%d opening packets: %w", most, errBroken)
	}
	return nil
}
