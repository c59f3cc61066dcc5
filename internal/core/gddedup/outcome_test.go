package gddedup

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// trial is one key and a caller that sends it again until it receives a
// response other than unknown.
type trial struct {
	*world
	key  string
	home gdconf.UpstreamID
}

const (
	outcomeTrials   = 200
	outcomeAttempts = 4
)

var outcomeFaults = []struct {
	name        string
	beforeFirst func(*trial) // before the first attempt
	onStart     func(*trial) // at the start of the run
	afterFirst  func(*trial) // after the first attempt, whose response is lost
}{
	{name: "none"},
	{name: "answer lost", afterFirst: func(*trial) {}},
	{name: "upstream refuses", beforeFirst: func(t *trial) { t.fixedResult = runRefused }},
	{name: "upstream's answer lost", beforeFirst: func(t *trial) { t.fixedResult = runLost }},
	{name: "home killed before the run", beforeFirst: func(t *trial) { t.procs[t.home].dead = true }},
	{name: "home restarted before the run", beforeFirst: func(t *trial) { t.restart(t.home) }},
	{name: "home killed during the run", onStart: func(t *trial) { t.procs[t.runner[t.key]].dead = true }},
	{name: "home restarted during the run", onStart: func(t *trial) { t.restart(t.runner[t.key]) }},
	{name: "home killed after the run", afterFirst: func(t *trial) { t.procs[t.runner[t.key]].dead = true }},
	{name: "home restarted after the run", afterFirst: func(t *trial) { t.restart(t.runner[t.key]) }},
	{name: "home paused for 3 s", beforeFirst: func(t *trial) { t.procs[t.home].pausedUntil = t.now.Add(3 * time.Second) }},
	{name: "home moved, half of the agents know", beforeFirst: func(t *trial) { t.move(t.views[1], 2) }},
	{name: "home moved after the run, all know", afterFirst: func(t *trial) { t.move(t.views[1], 1) }},
	{name: "failure domain of the home out", beforeFirst: func(t *trial) { t.move(testView(9, int(t.home)%4, 1, 2, 3, 4, 5, 6, 7), 1) }},
	{name: "partition: 3 with the home, 4 without", beforeFirst: func(t *trial) { t.split(3) }},
	{name: "partition: 5 with the home, 2 without", beforeFirst: func(t *trial) { t.split(5) }},
}

func (t *trial) restart(id gdconf.UpstreamID) {
	t.procs[id].dead = true
	t.startProcess(id, t.views[0])
}

// move applies a configuration to one in n agents.
func (t *trial) move(v *gdconf.View, n int) {
	for i, id := range t.ids() {
		if i%n == 0 {
			p := t.procs[id]
			t.act(p, p.core.SetView(t.now, v))
		}
	}
}

// split leaves n agents on the home's side of a partition.
func (t *trial) split(n int) {
	t.side[t.home] = true
	for _, id := range t.ids() {
		if id != t.home && n > 1 {
			t.side[id] = true
			n--
		}
	}
}

func newTrial(seed uint64, issued bool) *trial {
	views := []*gdconf.View{testView(1, -1, 1, 2, 3, 4, 5, 6, 7), testView(2, -1, 1, 2, 3, 4, 5, 6, 8)}
	t := &trial{world: newWorld(seed, views...)}
	t.loss, t.fixedResult = 0, runDone
	t.home = gdconf.UpstreamID(1 + seed%7)
	if issued {
		t.key = t.procs[t.home].core.Issue(t.now, testService).String()
		return t
	}
	t.key = t.stamped()
	k, _ := NewSigner(nil).Parse(t.key)
	t.home = t.procs[1].core.members.home(k.ident)
	return t
}

// result runs the trial and returns its result for the caller.
func (t *trial) result(beforeFirst, onStart, afterFirst func(*trial)) string {
	if beforeFirst != nil {
		beforeFirst(t)
	}
	got := "no answer"
	for i := range outcomeAttempts {
		c := t.attempt(t.key, gdconf.UpstreamID(1+t.rnd.IntN(7)))
		for range 400 {
			t.run(5 * time.Millisecond)
			if onStart != nil && t.starts[t.key] > 0 {
				onStart(t)
				onStart = nil
			}
		}
		if i == 0 && afterFirst != nil {
			afterFirst(t)
			continue
		}
		switch c.last.(type) {
		case RespondDone:
			return "done"
		case RespondNotRun:
			return "not-run"
		case RespondUnknown:
			got = "unknown"
		}
	}
	return got
}

// TestOutcomeTable prints the results of the trials under each fault. The
// figures are in docs/design/at-most-once.md.
func TestOutcomeTable(t *testing.T) {
	for _, issued := range []bool{true, false} {
		kind := map[bool]string{true: "issued", false: "stamped"}[issued]
		for _, f := range outcomeFaults {
			count := map[string]int{}
			for seed := range uint64(outcomeTrials) {
				tr := newTrial(seed, issued)
				got := tr.result(f.beforeFirst, f.onStart, f.afterFirst)
				require.Empty(t, tr.faults, "%s, %s, seed %d", kind, f.name, seed)
				count[got]++
				count["ran"] += tr.starts[tr.key]
			}
			share := func(s string) string { return fmt.Sprintf("%5.1f %%", 100*float64(count[s])/outcomeTrials) }
			t.Logf("| %-7s | %-38s | %s | %s | %s | %s | %s |", kind, f.name,
				share("done"), share("not-run"), share("unknown"), share("no answer"), share("ran"))
			if f.name == "none" || f.name == "answer lost" {
				require.Equal(t, outcomeTrials, count["done"], f.name)
			}
		}
	}
}
