package main

import (
	"fmt"
	"syscall"
	"time"
)

// The times of the planned work: the pause between two restarts, and how long a frontend
// machine that leaves is in rotation.
const (
	rollGap   = 1200 * time.Millisecond
	leaveTime = 1500 * time.Millisecond
)

// silentTarget: the daemons beside the targets were restarted in turn, as planned. Then a target
// falls silent. When a frontend machine leaves, as planned, flows that other targets hold come
// through the other frontend machine.
func silentTarget(w *world) error {
	const feed = 443
	const deadline = 800 * time.Millisecond
	if err := w.startBooking(4, 2, route{name: "bench-feed", service: "booking", kind: "idempotent", port: feed, priority: 2, aim: 120, expiry: 800}); err != nil {
		return err
	}
	for _, t := range w.targets {
		t.machine.signal(syscall.SIGTERM, "SIGTERM, restart as planned")
		time.Sleep(rollGap)
	}
	time.Sleep(stableTime + time.Second)
	from := time.Now()
	if w.trouble {
		w.targets[0].fallSilent()
	}
	time.Sleep(100 * time.Millisecond)
	flows := w.openMany(100, feed)
	w.machines[0].remove()
	time.Sleep(leaveTime)
	for round := range 2 {
		answered := w.askAll(flows, deadline)
		w.note("check", "round %d: %d of %d requests were answered", round+1, answered, len(flows))
	}
	time.Sleep(reorderTime)
	if n := len(w.strayed(from, time.Now())); n > 0 {
		return fmt.Errorf("%d flows: %w", n, errBroken)
	}
	return nil
}

// startBooking starts a deployment with a service of targets, and frontend machines, and waits
// until it is ready and calm.
func (w *world) startBooking(targets, entries byte, routes ...route) error {
	for n := range targets {
		if _, err := w.addTarget(n+1, "booking", []string{"bizkaia-a", "bizkaia-b"}[n%2], 3); err != nil {
			return err
		}
	}
	return w.startWith([]map[string]any{service("booking")}, entries, routes...)
}

// startWith starts a deployment with the targets that were added, and frontend machines.
func (w *world) startWith(services []map[string]any, entries byte, routes ...route) error {
	w.configure(services, routes...)
	for range entries {
		w.addEntry("bizkaia-a")
	}
	for _, t := range w.targets {
		w.addSide(t)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(stableTime)
	return nil
}

// openMany opens flows one after the other, and waits until they are open.
func (w *world) openMany(n int, port uint16) []*flow {
	var flows, open []*flow
	for range n {
		flows = append(flows, w.callers.open(port, nil))
		time.Sleep(15 * time.Millisecond)
	}
	for _, f := range flows {
		if <-f.opened {
			open = append(open, f)
		}
	}
	w.note("check", "%d of %d flows were opened", len(open), n)
	return open
}

// askAll sends a request on each flow, and returns how many were answered.
func (w *world) askAll(flows []*flow, deadline time.Duration) int {
	var wait []<-chan string
	for _, f := range flows {
		wait = append(wait, f.ask(deadline))
		time.Sleep(10 * time.Millisecond)
	}
	n := 0
	for _, c := range wait {
		if <-c == "answered" {
			n++
		}
	}
	return n
}
