package main

import (
	"fmt"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// The bounds of rule FLOW.
const (
	reorderTime    = 2 * time.Second
	strayedPackets = 3
)

// strayed returns the flows of which, for reorderTime, three or more packets reached other
// targets and none the one that holds the flow.
func (w *world) strayed(from, to time.Time) []gdflow.Key {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := make(map[gdflow.Key]*target)
	perFlow := make(map[gdflow.Key][]arrival)
	for _, a := range w.arrivals {
		if a.held {
			own[a.key] = a.target
		}
		if !a.opens {
			perFlow[a.key] = append(perFlow[a.key], a)
		}
	}
	var out []gdflow.Key
	for key, list := range perFlow {
		if t := own[key]; t != nil && !t.silent && strays(list, t, from, to) {
			out = append(out, key)
			w.noteLocked("FLOW", "%s is held by %s", key, t.id)
		}
	}
	return out
}

// strays reports whether a span of reorderTime within the interval has enough packets at other
// targets and none at the flow's own.
func strays(list []arrival, own *target, from, to time.Time) bool {
	for i, first := range list {
		end := first.at.Add(reorderTime)
		if first.target == own || first.at.Before(from) || end.After(to) {
			continue
		}
		others := 0
		for j, a := range list[i:] {
			if a.at.After(end) {
				break
			}
			if a.target == own {
				others = 0
				break
			}
			if !copied(list[i:i+j], a) {
				others++
			}
		}
		if others >= strayedPackets {
			return true
		}
	}
	return false
}

// copied reports whether the system has passed the same packet of the requester to another target
// before. Requesters wait for longer before they send a packet again.
func copied(before []arrival, a arrival) bool {
	const minRetransmission = 150 * time.Millisecond
	return slices.ContainsFunc(before, func(b arrival) bool {
		return b.seq == a.seq && b.size == a.size && a.at.Sub(b.at) < minRetransmission
	})
}

// checkResets returns errBroken if the system has reset an open flow.
func (w *world) checkResets() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	open, reset := 0, 0
	for _, f := range w.callers.flows {
		if f.end != nil {
			open++
		}
		if !f.reset.IsZero() {
			reset++
		}
	}
	w.noteLocked("check", "%d flows, %d were opened, of which the system has reset %d", len(w.callers.flows), open, reset)
	if reset > 0 {
		return fmt.Errorf("%d flows: %w", reset, errBroken)
	}
	return nil
}
