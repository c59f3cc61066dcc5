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
	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

const (
	// firstFaultAt is the time of the first fault, counted from the start of the
	// deployment. The load has begun by then.
	firstFaultAt = 4 * time.Second
	// measureTime is how long operations are measured after the recovery.
	measureTime = 3 * time.Second
	// maxBatchSize is the maximum number of faults that begin together.
	maxBatchSize = 3
	// meanBatchInterval is the mean time between two batches of faults.
	meanBatchInterval = 700 * time.Millisecond
	// domainOutDelay is the time from the end of the fault period until a domain goes
	// out of service, so that it is back before operations are measured.
	domainOutDelay = recoverTime - domainOutBound - maxFaultDuration
	// Each plannedSeedInterval-th seed injects planned work only, under which the promises
	// hold without exception.
	plannedSeedInterval = 3
	// fileMode is the mode of the files in the directory of a run.
	fileMode = 0o600
)

// Soak is one seeded run against a deployment. Its exported fields are set before Run.
type Soak struct {
	// Binary is the program that the hosts run, and Dir the directory of the run's files.
	Binary, Dir string
	Seed        uint64
	Shape       gdhostrig.Shape
	// FaultPeriod is the length of the period in which faults begin.
	FaultPeriod time.Duration
	// OnlyFaults, if not empty, names the only kinds of faults to inject.
	OnlyFaults []string
}

// Report is the result of a run.
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

// step is a fault and its time, counted from the start of the deployment.
type step struct {
	at time.Duration
	fault
}

// plan returns the faults of a seed in the order of their times.
func (s *Soak) plan() []step {
	rnd := rand.New(rand.NewPCG(s.Seed, 3))
	var kinds []fault
	for _, f := range faults {
		if (s.Seed%plannedSeedInterval != 0 || f.planned) && s.allows(f.name) {
			kinds = append(kinds, f)
		}
	}
	var steps []step
	for at := firstFaultAt; at < firstFaultAt+s.FaultPeriod && len(kinds) > 0; {
		for range 1 + rnd.IntN(maxBatchSize) {
			steps = append(steps, step{at: at, fault: kinds[rnd.IntN(len(kinds))]})
		}
		at += time.Duration(rnd.ExpFloat64() * float64(meanBatchInterval))
	}
	steps = append(steps, s.laterSteps()...)
	// Planned work while the deployment recovers, without faults, lets each run check the
	// promises with a time bound. It ends before operations are measured, because a service
	// may have no upstream left while a domain is out of service.
	end := firstFaultAt + s.FaultPeriod
	for _, after := range []struct {
		at   time.Duration
		name string
	}{{domainOutDelay, "domain-out"}, {stableTime, "config"}, {stableTime, "scale-in"}, {stableTime + configBound, "config"}} {
		for _, f := range faults {
			if f.name == after.name && s.allows(f.name) {
				steps = append(steps, step{at: end + after.at, fault: f})
			}
		}
	}
	return steps
}

// laterSteps returns the faults of the later sets. Seeds that reproduce an earlier defect
// have only those that they had then.
func (s *Soak) laterSteps() []step {
	if s.Seed%plannedSeedInterval == 0 {
		return nil
	}
	sets := laterSets
	for _, r := range Regressions() {
		if r.Seed == s.Seed {
			sets = sets[:r.LaterSets]
		}
	}
	var steps []step
	if len(s.OnlyFaults) > 0 {
		steps = s.drawSteps(pendingSet)
	}
	for _, set := range sets {
		steps = append(steps, s.drawSteps(set)...)
	}
	return steps
}

func (s *Soak) drawSteps(set faultSet) []step {
	rnd := rand.New(rand.NewPCG(s.Seed, set.stream))
	kinds := lo.Filter(set.kinds, func(f fault, _ int) bool { return s.allows(f.name) })
	var steps []step
	for at := firstFaultAt; at < firstFaultAt+s.FaultPeriod && len(kinds) > 0; {
		steps = append(steps, step{at: at, fault: kinds[rnd.IntN(len(kinds))]})
		at += time.Duration(rnd.ExpFloat64() * float64(set.meanInterval))
	}
	return steps
}

func (s *Soak) allows(name string) bool {
	return len(s.OnlyFaults) == 0 || slices.Contains(s.OnlyFaults, name)
}

// eventLog writes events and breaches to a file and passes the events to the checker.
type eventLog struct {
	*Checker
	out *json.Encoder
	err error
}

// Observe implements gdhostrig.Observer.
func (l *eventLog) Observe(ev gdhostrig.Event) {
	if ev.Kind == gdhostrig.RigError {
		l.err = cmp.Or(l.err, errors.Errorf("rig failed at host %q: %s", ev.Host, ev.Text))
	}
	before := len(l.breaches)
	l.Checker.Observe(ev)
	if ev.Kind == gdhostrig.PacketDelivered {
		return // there is one for each packet
	}
	line := struct {
		gdhostrig.Event
		FlowName string `json:"flow,omitempty"`
	}{ev, ev.Flow.String()}
	l.write(line)
	for _, b := range l.breaches[before:] {
		l.write(b)
	}
}

func (l *eventLog) write(v any) {
	if err := l.out.Encode(v); l.err == nil {
		l.err = err
	}
}

// Run injects the seed's faults and returns the report. It removes Dir unless there was an
// error or a broken promise.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return Report{}, errors.WithStack(err)
	}
	f, err := os.OpenFile(filepath.Join(s.Dir, "events.jsonl"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return Report{}, errors.WithStack(err)
	}
	defer f.Close()
	buf := bufio.NewWriter(f)
	l := &eventLog{Checker: NewChecker(), out: json.NewEncoder(buf)}
	rig := &gdhostrig.Rig{Binary: s.Binary, Dir: s.Dir, Seed: s.Seed, Shape: s.Shape, Observer: l}
	if err := rig.Start(ctx); err != nil {
		return Report{}, err
	}
	r := Report{Seed: s.Seed, Faults: make(map[string]int)}
	injectErr := s.inject(ctx, rig, l, r.Faults)
	rig.Do(func(now time.Time) {
		l.Finish(now)
		r.DatagramFaults, r.StoreReads, r.Breaches, r.Checks = rig.DatagramFaultCounts(), rig.StoreReads(), l.Breaches(), maps.Clone(l.Checks())
		r.Requests, r.InTimeRatio = l.operations.total, float64(l.operations.inTime)/float64(max(l.operations.total, 1))
	})
	rig.Stop()
	if err := errors.WithStack(buf.Flush()); err != nil {
		return r, err
	}
	if injectErr != nil || l.err != nil || len(r.Breaches) > 0 {
		return r, cmp.Or(injectErr, errors.WithStack(l.err))
	}
	return r, errors.WithStack(os.RemoveAll(s.Dir))
}

// inject injects the faults of the plan, counts them by name, and waits until operations
// have been measured.
func (s *Soak) inject(ctx context.Context, rig *gdhostrig.Rig, l *eventLog, counts map[string]int) error {
	var failed error
	p := &injector{Rig: rig, onError: func(err error) { failed = cmp.Or(failed, err) }}
	for _, st := range s.plan() {
		p.After(st.at, func(now time.Time) {
			counts[st.name]++
			st.inject(p, now)
		})
	}
	end := firstFaultAt + s.FaultPeriod + recoverTime
	p.After(end, func(now time.Time) { l.MeasureFrom(now) })
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
