package gdonce

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// TestMain fixes the number and the seed of the property checks, so that each
// run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.steps": "40"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// testViews are successive configurations: one agent replaced, another one
// replaced, and a failure domain taken out.
func testViews() []*gdconf.View {
	return []*gdconf.View{
		testView(1, -1, 1, 2, 3, 4),
		testView(2, -1, 1, 2, 3, 5),
		testView(3, -1, 1, 2, 6, 5),
		testView(4, 2, 1, 2, 6, 5),
	}
}

// history drives a world by drawn steps.
type history struct {
	*world
	keys    []string
	version int
}

func (h *history) agent(t *rapid.T) gdconf.UpstreamID {
	return rapid.SampledFrom(h.ids()).Draw(t, "agent")
}

func (h *history) fresh(t *rapid.T) {
	key := h.stamped()
	if rapid.Bool().Draw(t, "issued") {
		if p := h.procs[h.agent(t)]; !p.dead && !p.wakes.After(h.now) {
			key = p.core.Issue(h.now, testService).String()
		}
	}
	h.keys = append(h.keys, key)
	h.attempt(key, h.agent(t))
	h.attempt(key, h.agent(t))
}

func (h *history) again(t *rapid.T) {
	if len(h.keys) > 0 {
		last := h.keys[max(0, len(h.keys)-4):]
		h.attempt(rapid.SampledFrom(last).Draw(t, "key"), h.agent(t))
	}
}

func (h *history) advance(t *rapid.T) {
	h.run(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
}

func (h *history) wait(*rapid.T) { h.run(4 * time.Second) }

func (h *history) kill(t *rapid.T) { h.procs[h.agent(t)].dead = true }

func (h *history) restart(t *rapid.T) { h.boot(h.agent(t), h.views[h.version]) }

func (h *history) pause(t *rapid.T) {
	h.procs[h.agent(t)].wakes = h.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second)
}

func (h *history) partition(t *rapid.T) {
	for _, id := range h.ids() {
		h.side[id] = rapid.Bool().Draw(t, "side")
	}
}

func (h *history) heal(*rapid.T) { clear(h.side) }

// publish brings the next configuration to some agents only.
func (h *history) publish(t *rapid.T) {
	h.version = min(h.version+1, len(h.views)-1)
	for _, id := range h.ids() {
		if p := h.procs[id]; !p.dead && rapid.Bool().Draw(t, "reached") {
			h.after(0, p, func() { h.act(p, p.core.SetView(h.now, h.views[h.version])) })
		}
	}
}

func (h *history) check(t *rapid.T) {
	if len(h.faults) > 0 {
		t.Fatalf("after %v: %v", h.now.Sub(epoch), h.faults)
	}
}

func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{world: newWorld(rapid.Uint64().Draw(t, "seed"), testViews()...)}
		t.Repeat(map[string]func(*rapid.T){
			"fresh": h.fresh, "fresh-2": h.fresh, "again": h.again, "again-2": h.again,
			"advance": h.advance, "advance-2": h.advance, "wait": h.wait,
			"kill": h.kill, "restart": h.restart, "pause": h.pause,
			"partition": h.partition, "heal": h.heal, "publish": h.publish, "": h.check,
		})
		h.run(20 * time.Second)
		h.check(t)
	})
}
