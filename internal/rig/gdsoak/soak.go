package gdsoak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

const (
	// startTime is when the first fault may come: after the load has begun.
	startTime = 4 * time.Second
	// measureTime is how long the service is measured after the recovery.
	measureTime = 3 * time.Second
	// mostAtOnce is how many faults begin together at most.
	mostAtOnce = 3
	// pauseTime is the mean time between two such series.
	pauseTime = 700 * time.Millisecond
	// outAfter is when, after the last other fault, a domain goes out. It is back before
	// the service is measured.
	outAfter = recoverTime - outBound - longestFault
	// plannedShare is the share of the seeds whose faults are all planned, so that
	// the promises hold without an exception.
	plannedShare = 3
	// logMode is that of the files in the folder of a run.
	logMode = 0o600
)

// Soak is one seeded run. Its exported fields are set before Run.
type Soak struct {
	// Binary is the program of the hosts, and Dir takes what a run leaves.
	Binary, Dir string
	Seed        uint64
	Shape       gdhostrig.Shape
	// FaultPeriod is how long faults begin.
	FaultPeriod time.Duration
	// OnlyFaults limits the kinds of faults, by name.
	OnlyFaults []string
}

// Report is what a run found.
type Report struct {
	Seed           uint64         `json:"seed"`
	Faults         map[string]int `json:"faults"`
	DatagramFaults map[string]int `json:"datagrams-harmed"`
	Checks         map[string]int `json:"checks"`
	Requests       int            `json:"requests"`
	InTimeRatio    float64        `json:"in-time"`
	StoreReads     int            `json:"store-reads"`
	Breaches       []Breach       `json:"breaches"`
}

// step is a fault at its time from the start.
type step struct {
	at time.Duration
	fault
}

// plan returns the faults of a seed in the order of their times.
func (s *Soak) plan() []step {
	rnd := rand.New(rand.NewPCG(s.Seed, 3))
	var kinds []fault
	for _, f := range faults {
		if (s.Seed%plannedShare != 0 || f.planned) && s.allows(f.name) {
			kinds = append(kinds, f)
		}
	}
	var steps []step
	for at := startTime; at < startTime+s.FaultPeriod && len(kinds) > 0; {
		for range 1 + rnd.IntN(mostAtOnce) {
			steps = append(steps, step{at: at, fault: kinds[rnd.IntN(len(kinds))]})
		}
		at += time.Duration(rnd.ExpFloat64() * float64(pauseTime))
	}
	// Calm planned work while the deployment recovers has the promises with a time to
	// them checked in each run. It is over when the service is measured: with a domain
	// out, a service may have no upstream left.
	end := startTime + s.FaultPeriod
	for _, after := range []struct {
		at   time.Duration
		name string
	}{{outAfter, "domain-out"}, {stableTime, "config"}, {stableTime, "scale-in"}, {stableTime + configBound, "config"}} {
		for _, f := range faults {
			if f.name == after.name && s.allows(f.name) {
				steps = append(steps, step{at: end + after.at, fault: f})
			}
		}
	}
	return steps
}

func (s *Soak) allows(name string) bool {
	return len(s.OnlyFaults) == 0 || slices.Contains(s.OnlyFaults, name)
}

// journal writes what happens to a file and hands it to the ledger.
type journal struct {
	*Checker
	out *json.Encoder
	err error
}

// Observe implements gdhostrig.Observer.
func (j *journal) Observe(ev gdhostrig.Event) {
	before := len(j.breaches)
	j.Checker.Observe(ev)
	if ev.Kind == gdhostrig.PacketDelivered {
		return // there is one for each packet
	}
	line := struct {
		gdhostrig.Event
		FlowName string `json:"flow,omitempty"`
	}{ev, ev.Flow.String()}
	j.note(line)
	for _, b := range j.breaches[before:] {
		j.note(b)
	}
}

func (j *journal) note(v any) {
	if err := j.out.Encode(v); j.err == nil {
		j.err = err
	}
}

// Run plays the seed's faults and returns what it found. The folder of a run without a
// broken promise is removed.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return Report{}, errors.WithStack(err)
	}
	f, err := os.OpenFile(filepath.Join(s.Dir, "events.jsonl"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, logMode)
	if err != nil {
		return Report{}, errors.WithStack(err)
	}
	defer f.Close()
	buf := bufio.NewWriter(f)
	j := &journal{Checker: NewChecker(), out: json.NewEncoder(buf)}
	rig := &gdhostrig.Rig{Binary: s.Binary, Dir: s.Dir, Seed: s.Seed, Shape: s.Shape, Observer: j}
	if err := rig.Start(ctx); err != nil {
		return Report{}, err
	}
	r := Report{Seed: s.Seed, Faults: make(map[string]int)}
	played := s.play(ctx, rig, j, r.Faults)
	rig.Do(func(now time.Time) {
		j.Finish(now)
		r.DatagramFaults, r.StoreReads, r.Breaches, r.Checks = rig.DatagramFaultCounts(), rig.StoreReads(), j.Breaches(), maps.Clone(j.Checks())
		r.Requests, r.InTimeRatio = j.served.total, float64(j.served.inTime)/float64(max(j.served.total, 1))
	})
	rig.Stop()
	if err := errors.WithStack(buf.Flush()); err != nil {
		return r, err
	}
	if played != nil || j.err != nil || len(r.Breaches) > 0 {
		return r, cmp.Or(played, errors.WithStack(j.err))
	}
	return r, errors.WithStack(os.RemoveAll(s.Dir))
}

// play plays the plan and waits for its end.
func (s *Soak) play(ctx context.Context, rig *gdhostrig.Rig, j *journal, counts map[string]int) error {
	var failed error
	p := &player{Rig: rig, failed: func(err error) { failed = cmp.Or(failed, err) }}
	for _, st := range s.plan() {
		p.After(st.at, func(now time.Time) {
			counts[st.name]++
			st.begin(p, now)
		})
	}
	end := startTime + s.FaultPeriod + recoverTime
	p.After(end, func(now time.Time) { j.MeasureFrom(now) })
	t := time.NewTimer(end + measureTime)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-t.C:
	}
	var err error
	rig.Do(func(time.Time) { err = failed })
	return err
}
