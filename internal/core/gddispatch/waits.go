package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const (
	// waitTTL is how long the wait is remembered that an agent has told, if it is not over
	// before. The next flow after that probes the upstream.
	waitTTL = 50 * time.Millisecond
	// maxWaits limits the hosts whose waits are remembered.
	maxWaits = 1 << 14
	// waitPriorities is the number of priorities whose waits are remembered separately. Less
	// urgent ones count as the last of them.
	waitPriorities = 4
)

// toldWait is how long a request would wait for a slot of an upstream, as its agent has told.
type toldWait struct {
	wait time.Duration
	at   time.Time
	load int
	// priority and timeout are those of the route whose flow was refused.
	priority int
	timeout  time.Duration
	// final reports that the agent refused to queue the flow.
	final bool
}

// until returns when a slot was expected to be free.
func (t toldWait) until() time.Time { return t.at.Add(t.wait) }

// left returns what is left of the wait.
func (t toldWait) left(now time.Time) time.Duration { return max(t.until().Sub(now), 0) }

// waits has the waits of upstreams by host and priority: a refusal of a less urgent flow says
// nothing to a more urgent one, and must not hide what that was told.
type waits map[[4]byte]*[waitPriorities]toldWait

// note records the wait that an agent has told with its refusal.
func (w *waits) note(now time.Time, info ReturnInfo, r *gddiscovery.Route, final bool) toldWait {
	if *w == nil || len(*w) >= maxWaits {
		*w = make(waits)
	}
	t := toldWait{
		wait: max(info.Wait, 0), at: now, load: info.Load, priority: r.Priority, timeout: r.Timeout, final: final,
	}
	h := (*w)[info.From.IP()]
	if h == nil {
		h = new([waitPriorities]toldWait)
		(*w)[info.From.IP()] = h
	}
	h[waitIndex(r.Priority)] = t
	return t
}

// waitIndex returns where the waits of a priority are remembered.
func waitIndex(priority int) int { return min(max(priority, 0), waitPriorities-1) }

// get returns the wait that is remembered of the upstream, or false if it may have a free slot
// for a flow of the priority. A less urgent one waits longer than until a slot is free, as more
// urgent ones go first.
func (w waits) get(now time.Time, at gdflow.Address, priority int) (toldWait, bool) {
	h := w[at.IP()]
	if h == nil {
		return toldWait{}, false
	}
	for p := waitIndex(priority); p >= 0; p-- {
		if t := h[p]; priority >= t.priority && t.left(now) > 0 && now.Sub(t.at) < waitTTL {
			return t, true
		}
	}
	return toldWait{}, false
}

// objectiveOf returns the time within which the route's answers have their full value, or 0 if
// it is unknown.
func objectiveOf(r *gddiscovery.Route) time.Duration {
	return gdwait.Objective(r.LatencyObjective, r.Timeout)
}

// recallBusy notes the upstreams that would be asked for a free slot as busy, without asking
// them, if all of them are known to be.
func (d *Dispatcher) recallBusy(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup) {
	if l.maybeAccepted || objectiveOf(r) == 0 {
		return
	}
	spillOffers := l.spillOffers
	for m, a := d.nextOffer(now, r, k, l); m != nil; m, a = d.nextOffer(now, r, k, l) {
		t, ok := d.waits.get(now, m.Address(), r.Priority)
		if !ok {
			l.attempts, l.spillOffers = l.attempts[:0], spillOffers
			return
		}
		l.attempts = append(l.attempts, attempt{
			holder: d.holderOf(m), load: t.load, waited: t, answered: true, busy: a.Reason != Spilled, recalled: true,
		})
		l.noteSpill(a)
	}
}

// knownFull reports whether an upstream that is known to be busy would not queue a flow of the
// route now.
func (d *Dispatcher) knownFull(now time.Time, r *gddiscovery.Route, t *attempt) bool {
	return t.waited.final && r.Timeout <= t.waited.timeout && t.waited.left(now) > gdwait.LatestStart(objectiveOf(r))
}
