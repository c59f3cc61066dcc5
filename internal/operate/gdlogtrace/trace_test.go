package gdlogtrace_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/operate/gdlogtrace"
)

// Logs of the rig: a flow is offered to an upstream that has exited.
const (
	entryLog = `{"level":"info","time":"2026-12-04T06:04:37.07735469Z","text":"flow offered to an upstream","process":"entry-1","event":510,"flow":"127.18.3.1:5090>198.18.0.1:4006","upstream":"127.18.6.2:8080","reason":"by-rank","tries":1,"revision":20,"age":33}
{"level":"info","time":"2026-12-04T06:04:37.077547024Z","text":"packet returned by an agent","process":"entry-1","event":514,"flow":"127.18.3.1:5090>198.18.0.1:4006","upstream":"127.18.6.2:7720","reason":"ended","load":0,"revision":20}
{"level":"info","time":"2026-12-04T06:04:37.077555781Z","text":"flow reset","process":"entry-1","event":513,"flow":"127.18.3.1:5090>198.18.0.1:4006","upstream":"0.0.0.0:0","reason":"no-upstream","tries":1,"revision":20,"age":33}
{"level":"info","time":"2026-12-04T06:04:39.0Z","text":"flow reset","process":"entry-1","event":513,"flow":"127.18.3.1:50901>198.18.0.1:4006","reason":"no-upstream"}
`
	agentLog = `  35.2100 agent-2 {"level":"error","time":"2026-12-04T06:04:29.809261523Z","text":"upstream exited, its flows were reset","process":"agent-2","event":607,"flows":340,"resets":339}

  42.4770 agent-2 {"level":"info","time":"2026-12-04T06:04:37.0774Z","text":"packet refused by the agent","process":"agent-2","event":516,"flow":"127.18.3.1:5090>198.18.0.1:4006","entry":"127.18.5.1:7720","reason":"ended","load":0,"revision":20}
`
)

func TestWayAndCause(t *testing.T) {
	for _, flow := range []string{"127.18.3.1:5090", "127.18.3.1:5090>198.18.0.1:4006"} {
		tr := &gdlogtrace.Trace{Flow: flow}
		require.NoError(t, tr.Read("entry-1.log", strings.NewReader(entryLog)))
		require.NoError(t, tr.Read("agent-2.log", strings.NewReader(agentLog)))
		var way []int
		for _, l := range tr.Lines() {
			way = append(way, l.Event)
		}
		require.Equal(t, []int{510, 516, 514, 513}, way, "in the order of time, without another flow")
		require.Equal(t, 6, tr.NumRead())
		cause, ok := tr.Cause()
		require.True(t, ok)
		require.Equal(t, 607, cause.Event)
		require.Equal(t, "agent-2", cause.Process)
	}
}

func TestRefusalIsCauseWithoutHostEvent(t *testing.T) {
	tr := &gdlogtrace.Trace{Flow: "127.18.3.1:5090"}
	require.NoError(t, tr.Read("entry-1.log", strings.NewReader(entryLog)))
	cause, ok := tr.Cause()
	require.True(t, ok)
	require.Equal(t, "ended", cause.Reason)
	_, ok = (&gdlogtrace.Trace{Flow: "127.18.3.1:1"}).Cause()
	require.False(t, ok)
}

func TestOtherTextIsAnError(t *testing.T) {
	for text, want := range map[string]string{
		"not a log\n":       `x.log: line 1 is not a line of a log: "not a log"`,
		"\n{\"event\": 5\n": "x.log: line 2: decode line of a log",
		"{\"a\": 1}\n":      "x.log: line 1: decode line of a log: event or time is missing",
	} {
		tr := &gdlogtrace.Trace{Flow: "f"}
		require.ErrorContains(t, tr.Read("x.log", strings.NewReader(text)), want)
	}
}
