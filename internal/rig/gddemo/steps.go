package gddemo

import (
	"context"
	"fmt"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
)

const (
	// settle is the time after which a leaving upstream gets no new work and a
	// failure domain that is out gets no packet. A shorter run allows less.
	settle = 3 * time.Second
	// watchShare is the share of the run for which late work is watched.
	watchShare = 0.1
)

// step is one change at a share of the run's length.
type step struct {
	at   float64
	name string
	do   func(context.Context) error
}

// drained is what the run takes out of service, and what ran there afterwards.
type drained struct {
	upstream string
	domain   string
	members  []string // upstreams of the domain
	late     []string // findings, in words
}

// choose picks the upstream that drains and the failure domain that goes out.
func (d *Demo) choose() {
	services := d.Rig.Deployment().Services
	domains := d.Rig.Deployment().Domains
	d.drained.upstream = services[0].Upstreams[0].Name
	d.drained.domain = domains[min(2, len(domains)-1)].Name
	d.upset = map[string]bool{d.drained.upstream: true}
	for _, s := range services {
		for _, u := range s.Upstreams {
			if u.Domain == d.drained.domain {
				d.upset[u.Name] = true
				d.drained.members = append(d.drained.members, u.Name)
			}
		}
	}
}

func (d *Demo) steps(ctx context.Context) error {
	began := time.Now()
	d.mark("steady load")
	for _, s := range append(d.plan.steps(d), step{1, "end", nothing}) {
		if !sleep(ctx, time.Until(began.Add(time.Duration(s.at*float64(d.Duration))))) {
			return ctx.Err()
		}
		d.mark(s.name)
		if err := s.do(ctx); err != nil {
			return err
		}
		d.say(d.summary())
	}
	return nil
}

// watchLate notes how much work started at the upstreams once the change must
// be in force everywhere, until the time before the next step.
func (d *Demo) watchLate(ctx context.Context, state string, upstreams []string) {
	watch := time.Duration(watchShare * float64(d.Duration))
	wait := min(settle, watch)
	if !sleep(ctx, wait) {
		return
	}
	before := d.starts(upstreams)
	sleep(ctx, watch)
	if n := d.starts(upstreams) - before; n > 0 {
		d.drained.late = append(d.drained.late,
			fmt.Sprintf("%d requests started at %v after it was %s for %s", n, upstreams, state, wait))
	}
}

func (d *Demo) starts(upstreams []string) int {
	n := 0
	for _, name := range upstreams {
		n += d.Rig.Record.StartsAt(name)
	}
	return n
}

func (d *Demo) summary() string {
	r := d.load.Result()
	return fmt.Sprintf("answered %d, refused %d, unknown %d, broken flows %d, given up %d, p99 %.1f ms",
		r.Answered, r.RefusedNotRun, r.Unknown, r.BrokenFlows, r.AbortedFlows, r.P99)
}

// report says what the result line has no room for.
func (d *Demo) report() {
	for _, words := range d.drained.late {
		d.say("late work: " + words)
	}
	over, shed := 0, 0
	for _, s := range d.Rig.Deployment().Services {
		for _, u := range s.Upstreams {
			c := d.Rig.Upstream(u.Name).Counts()
			over += c.OverCapacity
			shed += c.Shed
		}
	}
	d.say(fmt.Sprintf("requests over what an upstream bore: %d, of them shed: %d", over, shed))
	for _, c := range gdload.Summarize(d.load.Samples()) {
		d.say(c.String())
	}
	for _, words := range d.load.Result().Notes() {
		d.say(words)
	}
}

// sleep reports false when ctx ended before the time had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
