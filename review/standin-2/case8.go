package main

import (
	"fmt"
	"time"
)

// The small services of case 8 have one target each at first, and the large one has the others.
// Newcomers is the number of flows that are opened to a small one after its second target has
// registered.
const (
	smallServices = 9
	largeTargets  = 24
	newcomers     = 20
	warmupTime    = 6 * time.Second
	machineLead   = 500 * time.Millisecond
)

// addedTargets: a zone with the only targets of some services is evacuated, and targets are added
// in another zone, while the frontend machines are restarted in turn.
func addedTargets(w *world) error {
	if err := w.startSmallServices(); err != nil {
		return err
	}
	w.store.Put(time.Now(), "op/evacuate/bizkaia-a", []byte("{}"))
	w.note("operator", "evacuates bizkaia-a")
	added, err := w.addMachines()
	if err != nil {
		return err
	}
	if w.trouble {
		go w.rollEntries()
	}
	time.Sleep(time.Second)
	for n, t := range added {
		w.beforeProbes(changeLead)
		if err := t.start(); err != nil {
			return err
		}
		for range newcomers {
			go w.visit(smallPort(byte(n)))
			time.Sleep(arrivalGap)
		}
	}
	time.Sleep(5 * time.Second)
	return w.checkResets()
}

func smallService(n byte) string { return fmt.Sprintf("service-%d", n) }

func smallPort(n byte) uint16 { return 443 + uint16(n) }

// startSmallServices starts a deployment with one target for each small service, all in one zone,
// and a large service in another zone.
func (w *world) startSmallServices() error {
	services := []map[string]any{service("booking")}
	for n := range byte(largeTargets) {
		if _, err := w.addTarget(2*smallServices+n+1, "booking", "bizkaia-b", 3); err != nil {
			return err
		}
	}
	var routes []route
	for n := range byte(smallServices) {
		if _, err := w.addTarget(n+1, smallService(n), "bizkaia-a", 3); err != nil {
			return err
		}
		services = append(services, service(smallService(n)))
		routes = append(routes, route{
			name: "route-" + smallService(n), service: smallService(n), kind: "idempotent", port: smallPort(n), priority: 2, aim: feedAim, expiry: feedExpiry,
		})
	}
	return w.startWith(services, 4, routes...)
}

// addMachines starts a machine for one more target of each small service.
func (w *world) addMachines() ([]*target, error) {
	var added []*target
	for n := range byte(smallServices) {
		t := &target{
			w: w, id: fmt.Sprintf("i-%s-new", smallService(n)), service: smallService(n), zone: "bizkaia-b", ip: w.network.Addr(sideNet, smallServices+n+1), slots: 3,
			warmupUntil: time.Now().Add(warmupTime),
		}
		if err := w.addSide(t).start(); err != nil {
			return nil, err
		}
		w.mu.Lock()
		w.targets = append(w.targets, t)
		w.mu.Unlock()
		added = append(added, t)
	}
	time.Sleep(machineLead)
	return added, nil
}
