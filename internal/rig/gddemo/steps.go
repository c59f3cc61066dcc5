package gddemo

import (
	"context"
	"fmt"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
)

const (
	// convergenceTime is the time after which a leaving upstream gets no new request
	// and a failure domain that is out of service gets no packet. It is shortened to
	// the watch time if that is shorter.
	convergenceTime = 3 * time.Second
	// watchRatio is the ratio of the watch time for late starts to the duration of the
	// run.
	watchRatio = 0.1
)

// step is one action at a point of the run.
type step struct {
	at   float64 // fraction of the run's duration
	name string
	do   func(context.Context) error
}

// drained holds the upstream and the failure domain that a plan may take out of
// service, and the requests that started there too late.
type drained struct {
	upstream   string
	domain     string
	members    []string // names of the upstreams of the domain
	lateStarts []string // one message for each change with late starts
}

// selectDrained selects the upstream that drains and the failure domain that goes
// out of service.
func (d *Demo) selectDrained() {
	services := d.Rig.Deployment().Services
	domains := d.Rig.Deployment().Domains
	d.drained.upstream = services[0].Upstreams[0].Name
	d.drained.domain = domains[min(2, len(domains)-1)].Name
	d.affected = map[string]bool{d.drained.upstream: true}
	for _, s := range services {
		for _, u := range s.Upstreams {
			if u.Domain == d.drained.domain {
				d.affected[u.Name] = true
				d.drained.members = append(d.drained.members, u.Name)
			}
		}
	}
}

func (d *Demo) runSteps(ctx context.Context) error {
	start := time.Now()
	d.mark("steady load")
	for _, s := range append(d.plan.steps(d), step{1, "end", noAction}) {
		if !sleep(ctx, time.Until(start.Add(time.Duration(s.at*float64(d.Duration))))) {
			return ctx.Err()
		}
		d.mark(s.name)
		if err := s.do(ctx); err != nil {
			return err
		}
		d.progress(d.summary())
	}
	return nil
}

// watchLateStarts waits until the change of state must be in effect everywhere. It
// then records how many requests start at the upstreams within the watch time.
func (d *Demo) watchLateStarts(ctx context.Context, state string, upstreams []string) {
	watch := time.Duration(watchRatio * float64(d.Duration))
	wait := min(convergenceTime, watch)
	if !sleep(ctx, wait) {
		return
	}
	before := d.starts(upstreams)
	sleep(ctx, watch)
	if n := d.starts(upstreams) - before; n > 0 {
		d.drained.lateStarts = append(d.drained.lateStarts,
			fmt.Sprintf("%d requests started at %v after it had been %s for %s", n, upstreams, state, wait))
	}
}

// starts returns the number of requests started so far at the upstreams.
func (d *Demo) starts(upstreams []string) int {
	n := 0
	for _, name := range upstreams {
		n += d.Rig.Record.StartsAt(name)
	}
	return n
}

func (d *Demo) summary() string {
	r := d.load.Result()
	return fmt.Sprintf("answered %d, refused %d, unknown %d, broken flows %d, aborted flows %d, p99 %.1f ms",
		r.Answered, r.RefusedNotRun, r.Unknown, r.BrokenFlows, r.AbortedFlows, r.P99)
}

// report passes to Progress what the JSON result omits: late starts, requests over
// capacity, the summaries by service and kind of flow, and the notes.
func (d *Demo) report() {
	for _, msg := range d.drained.lateStarts {
		d.progress("late start: " + msg)
	}
	over, shed := 0, 0
	for _, s := range d.Rig.Deployment().Services {
		for _, u := range s.Upstreams {
			c := d.Rig.Upstream(u.Name).Counts()
			over += c.OverCapacity
			shed += c.Shed
		}
	}
	d.progress(fmt.Sprintf("requests over the capacity of an upstream: %d, of them shed: %d", over, shed))
	for _, s := range gdload.Summarize(d.load.Samples()) {
		d.progress(s.String())
	}
	for _, note := range d.load.Result().Notes() {
		d.progress(note)
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
