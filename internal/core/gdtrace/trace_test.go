package gdtrace

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// read decodes a committed trace.
func read(t *testing.T, name string) (Header, []Event) {
	data, err := os.ReadFile(tracePath(name))
	require.NoError(t, err)
	dec := cbor.NewDecoder(bytes.NewReader(data))
	var h Header
	require.NoError(t, dec.Decode(&h))
	var events []Event
	for {
		var e Event
		err := dec.Decode(&e)
		if err == io.EOF {
			return h, events
		}
		require.NoError(t, err)
		events = append(events, e)
	}
}

func write(t *testing.T, h Header, events []Event) *bytes.Buffer {
	var out bytes.Buffer
	w, err := NewWriter(&out, h)
	require.NoError(t, err)
	for _, e := range events {
		require.NoError(t, w.Write(e))
	}
	return &out
}

func TestReplayTraces(t *testing.T) {
	for _, tr := range traces {
		t.Run(tr.name, func(t *testing.T) {
			f, err := os.Open(tracePath(tr.name))
			require.NoError(t, err)
			defer f.Close()
			r, err := Replay(f)
			require.NoError(t, err)
			require.Empty(t, r.Differences())
			require.Equal(t, tr.name, r.Name())
			h, events := read(t, tr.name)
			require.Equal(t, len(events), r.Events())
			checkOutcomes(t, h, events)
		})
	}
}

// checkOutcomes checks the recorded outcomes against the guarantees, so that a
// rewritten trace can't contain a violation.
func checkOutcomes(t *testing.T, h Header, events []Event) {
	counts := map[string]int{}
	runs := map[string]int{}
	keys := map[uint64]string{}
	for i, e := range events {
		if e.Kind == KindRequest {
			keys[e.Request.ID] = e.Request.Key
		}
		for _, o := range e.Outcomes {
			counts[o.Action]++
			if o.Action == "run" {
				runs[keys[o.Request]]++
			}
			if p := h.Processes[e.Process]; o.Action == "accept" && e.Packet.Token != nil {
				require.Equal(t, p.Upstream, e.Packet.Token.Upstream, "event %d", i+1)
				require.Equal(t, e.Packet.Service, e.Packet.Token.Service, "event %d", i+1)
			}
		}
	}
	t.Log(counts)
	require.Zero(t, counts["unnamed"], "a core has an action without a name in outcome.go")
	for key, n := range runs {
		require.Equal(t, 1, n, "key %s was run %d times", key, n)
	}
	for _, action := range []string{"accept", "forward", "drop", "start", "refuse", "relay", "run", "done", "issue", "ask", "tell", "release"} {
		require.NotZero(t, counts[action], "the trace has no %s", action)
	}
}

func TestReplayReportsDifferences(t *testing.T) {
	h, events := read(t, "kiosks")
	mutated := -1
	for i, e := range events {
		if e.Kind == KindPacket && e.Outcomes[0].Action == "accept" {
			events[i].Outcomes[0].Action = "drop"
			mutated = i + 1
			break
		}
	}
	r, err := Replay(write(t, h, events))
	require.NoError(t, err)
	require.Equal(t, 1, r.DifferenceCount())
	d := r.Differences()[0]
	require.Equal(t, mutated, d.Event())
	require.Equal(t, "drop", d.Want()[0].Action)
	require.Equal(t, "accept", d.Got()[0].Action)
	require.Contains(t, d.String(), "packet at ")
}

// TestReplayReportsALostEvent omits the first event, which activates a view.
// The following outcomes must differ.
func TestReplayReportsALostEvent(t *testing.T) {
	h, events := read(t, "rejilla-norte")
	require.Equal(t, KindView, events[0].Kind)
	r, err := Replay(write(t, h, events[1:]))
	require.NoError(t, err)
	require.NotZero(t, r.DifferenceCount())
	require.Contains(t, r.Differences()[0].String(), "not-ready")
}

func TestReplayRejectsInvalidTraces(t *testing.T) {
	h, events := read(t, "kiosks")
	whole := write(t, h, events[:50]).Bytes()
	bad := func(change func(*Header, *Event)) []byte {
		header, event := h, events[0]
		change(&header, &event)
		return write(t, header, []Event{event}).Bytes()
	}
	tests := []struct {
		name, want string
		data       []byte
	}{
		{"empty", "header: EOF", nil},
		{"truncated", "event 50 ", whole[:len(whole)-3]},
		{"not a trace", "header: ", []byte("name = \"kiosks\"")},
		{"process", "event 1 (view): process 999 is not in the header", bad(func(_ *Header, e *Event) { e.Process = 999 })},
		{"revision", "event 1 (view): revision 77 was not published", bad(func(_ *Header, e *Event) { e.Revision = 77 })},
		{"kind", `event "dance" does not apply to the role of the process`, bad(func(_ *Header, e *Event) { e.Kind = "dance" })},
		{"packet", "event 1 (packet): packet is missing", bad(func(_ *Header, e *Event) { e.Kind = KindPacket })},
		{"role", "unknown role", bad(func(h *Header, _ *Event) { h.Processes = []Process{{Name: "x", Role: "x"}} })},
		{"deployment", "read trace: configuration", bad(func(h *Header, _ *Event) { h.Deployment = "x" })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Replay(bytes.NewReader(tt.data))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// TestReplaySurvivesDamage changes random bytes of a trace. A replay may report
// differences or an error, and must terminate.
func TestReplaySurvivesDamage(t *testing.T) {
	h, events := read(t, "kiosks")
	whole := write(t, h, events[:600]).Bytes()
	r := rand.New(rand.NewPCG(20261203, 3))
	reported := 0
	const runs = 300
	for range runs {
		damaged := bytes.Clone(whole)
		for range 1 + r.IntN(4) {
			damaged[r.IntN(len(damaged))] = byte(r.Uint32())
		}
		report, err := Replay(bytes.NewReader(damaged))
		if err != nil || report.DifferenceCount() > 0 {
			reported++
		}
	}
	t.Logf("%d of %d damaged traces were reported", reported, runs)
	require.NotZero(t, reported)
}
