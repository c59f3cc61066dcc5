// Package gdlogtrace finds the way of one flow through the logs of many processes.
//
// # Usage
//
//	t := &gdlogtrace.Trace{Flow: "100.64.0.7:40001>198.18.0.1:443"}
//	err := t.Read("entry-1.log", file)
//	for _, l := range t.Lines() {
//		...
//	}
//	cause, ok := t.Cause()
//
// A line of a log is a JSON object, as package gdlog writes it. Text before the object,
// such as a collector's time stamp, is skipped.
package gdlogtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// maxLineSize is the maximum length of a line of a log, in bytes.
const maxLineSize = 1 << 20

// contextTime is how long before the flow's last line an event of a host that it was
// offered to can be the cause.
const contextTime = 10 * time.Second

// Line is one line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Event   int            `json:"event"`
	Text    string         `json:"text"`
	Flow    string         `json:"flow,omitempty"`
	Reason  string         `json:"reason,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Trace collects the lines about one flow. Flow must be set before Read.
type Trace struct {
	// Flow is the flow, or the address and port of its caller.
	Flow string

	lines   []Line
	context []Line // events of hosts and upstreams
	read    int
}

// hostEvents are the events that can be the cause of what happens to many flows: an
// unresponsive host, an unreachable one, an entry host that reaches no agent, an exited
// upstream, a process that starts, a lost store.
var hostEvents = []int{100, 300, 307, 309, 311, 607, 700}

// Read reads a log. Its errors name the log and, for a line that is not one of a log, the
// line.
func (t *Trace) Read(name string, r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	for n := 1; sc.Scan(); n++ {
		at := bytes.IndexByte(sc.Bytes(), '{')
		if at < 0 {
			if len(bytes.TrimSpace(sc.Bytes())) == 0 {
				continue
			}
			return errors.Errorf("%s: line %d is not a line of a log: %.60q", name, n, sc.Text())
		}
		l, err := parse(sc.Bytes()[at:])
		if err != nil {
			return errors.Wrapf(err, "%s: line %d", name, n)
		}
		t.add(l)
	}
	return errors.Wrapf(sc.Err(), "read %s", name)
}

func parse(b []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(b, &l); err != nil {
		return Line{}, errors.Wrap(err, "decode line of a log")
	}
	if l.Event == 0 || l.Time.IsZero() {
		return Line{}, errors.New("decode line of a log: event or time is missing")
	}
	err := json.Unmarshal(b, &l.Fields)
	for _, known := range []string{"time", "process", "event", "text", "flow", "reason", "level"} {
		delete(l.Fields, known)
	}
	return l, errors.Wrap(err, "decode line of a log")
}

func (t *Trace) add(l Line) {
	t.read++
	switch {
	case l.Flow != "" && (l.Flow == t.Flow || strings.HasPrefix(l.Flow, t.Flow+">")):
		t.lines = append(t.lines, l)
	case slices.Contains(hostEvents, l.Event):
		t.context = append(t.context, l)
	}
}

// NumRead returns the number of lines that were read.
func (t *Trace) NumRead() int { return t.read }

// Lines returns the lines about the flow in the order of their times.
func (t *Trace) Lines() []Line {
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t.lines
}

// Cause returns the first line that explains how the flow ended: the latest event, before
// its end, of a host that it met; or else the first refusal.
func (t *Trace) Cause() (Line, bool) {
	lines := t.Lines()
	if len(lines) == 0 {
		return Line{}, false
	}
	end := lines[len(lines)-1].Time
	var cause *Line
	for i, l := range t.context {
		recent := !l.Time.After(end) && end.Sub(l.Time) < contextTime
		if recent && t.met(l) && (cause == nil || l.Time.After(cause.Time)) {
			cause = &t.context[i]
		}
	}
	if cause != nil {
		return *cause, true
	}
	return lo.Find(lines, func(l Line) bool { return slices.Contains(refusals, l.Event) })
}

// refusals are the events with which a flow is reset or its packet refused or dropped.
var refusals = []int{513, 514, 515, 516}

// met reports whether the line is about a process or a host of the flow's lines.
func (t *Trace) met(l Line) bool {
	host, _ := l.Fields["host"].(string)
	return slices.ContainsFunc(t.lines, func(f Line) bool {
		upstream, _ := f.Fields["upstream"].(string)
		return f.Process == l.Process || host != "" && ipOf(upstream) == ipOf(host)
	})
}

func ipOf(address string) string {
	ip, _, _ := strings.Cut(address, ":")
	return ip
}
