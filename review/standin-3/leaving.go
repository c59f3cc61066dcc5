package main

import (
	"fmt"
	"time"
)

// leaving: three targets drain one after the other, which is planned work. A target that is leaving
// does not answer its liveness check with success any more: it stops listening for that before it
// exits. It keeps its flows.
func leaving(w *world, trouble bool) (verdict, error) {
	const (
		firstDrain, interval = 8 * time.Second, 8 * time.Second
		runsOn               = 7 * time.Second // drainTime and some seconds more
		flows                = 40
		think                = 1500 * time.Millisecond
		workTime             = 230 * time.Millisecond
		objective, deadline  = 400 * time.Millisecond, 2 * time.Second
	)
	to := w.booking(10, objective, deadline)
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		if _, err := w.addTarget(byte(i+1), "booking", zone, workTime, workTime); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startEntries("a", "b", "c"); err != nil {
		return verdict{}, err
	}
	w.start = time.Now()
	w.do(func(time.Time) { w.callers.hold(flows, to, deadline, think) })
	broken := 0
	for i, t := range w.targets[:3] {
		at := firstDrain + time.Duration(i)*interval
		w.sleepUntil(at)
		w.do(func(now time.Time) {
			t.draining = true
			t.register(now)
			if trouble {
				_ = t.health.Close() // an error doesn't matter, it is closed again at the end
				w.record("%s no longer listens for its liveness check", t.name)
			}
		})
		w.sleepUntil(at + runsOn)
		w.do(func(now time.Time) {
			for _, r := range w.callers.resets {
				if r.holder == t.name {
					broken++
				}
			}
			w.record("%s exits", t.name)
			t.closeSockets()
			w.store.RemoveUpstream(now, t.id())
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers.stopped = true
	return verdict{
		broken: broken > 0,
		text:   fmt.Sprintf("%d open flows of targets that were running were reset by the system; results: %v", broken, w.callers.results),
	}, nil
}
