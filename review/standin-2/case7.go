package main

import (
	"fmt"
	"syscall"
	"time"
)

// The planned work of case 7: a configuration with one more route each stormGap for stormTime,
// and a restart of each frontend machine in turn.
const (
	changes    = 12
	changeLead = 70 * time.Millisecond
	frontGap   = 1100 * time.Millisecond
	visitors   = 24
	arrivalGap = 2 * time.Millisecond
	stayTime   = 500 * time.Millisecond
	retryPause = 10 * time.Millisecond
	feedAim    = 500
	feedExpiry = 3000
)

// changedRoutes: configurations come in quick succession, each with one more route, while the
// frontend machines are restarted in turn. Flows on the new routes are open when the routers send
// their packets through another frontend machine.
func changedRoutes(w *world) error {
	const firstPort = 443
	add := func(n uint16) route {
		return route{name: fmt.Sprintf("route-%d", n), service: "booking", kind: "idempotent", port: firstPort + n, priority: 2, aim: feedAim, expiry: feedExpiry}
	}
	routes := []route{add(0)}
	if err := w.startBooking(3, 4, routes...); err != nil {
		return err
	}
	if w.trouble {
		go w.rollEntries()
	}
	for range changes {
		w.beforeProbes(changeLead)
		routes = append(routes, add(uint16(len(routes))))
		w.configure([]map[string]any{service("booking")}, routes...)
		for range visitors {
			go w.visit(routes[len(routes)-1].port)
			time.Sleep(arrivalGap)
		}
	}
	time.Sleep(5 * time.Second)
	return w.checkResets()
}

// visit opens a flow to the route and sends one request after another on it. A requester whose
// flow was not opened tries twice more.
func (w *world) visit(port uint16) {
	for range 3 {
		f := w.callers.open(port, nil)
		if !<-f.opened {
			time.Sleep(retryPause)
			continue
		}
		for end := time.Now().Add(stayTime); time.Now().Before(end); {
			if <-f.ask(feedExpiry*time.Millisecond) != "answered" {
				return
			}
		}
		return
	}
}

// rollEntries restarts the frontend machines in turn, as planned.
func (w *world) rollEntries() {
	for _, m := range w.machines {
		if m.role == "entry" {
			m.signal(syscall.SIGTERM, "SIGTERM, restart as planned")
			time.Sleep(frontGap)
		}
	}
}
