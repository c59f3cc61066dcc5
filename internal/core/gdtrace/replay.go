package gdtrace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxListedDifferences bounds the differences that a report lists.
const maxListedDifferences = 20

// Difference is an event whose outcomes in the replay differ from those in the
// trace.
type Difference struct {
	event   int
	at      time.Duration
	process string
	kind    Kind
	want    []Outcome
	got     []Outcome
}

// Event returns the number of the event, from 1.
func (d Difference) Event() int { return d.event }

// Want returns the outcomes in the trace.
func (d Difference) Want() []Outcome { return d.want }

// Got returns the outcomes in the replay.
func (d Difference) Got() []Outcome { return d.got }

func (d Difference) String() string {
	return fmt.Sprintf("event %d at %v, %s at %s: the trace has %s, the core returned %s",
		d.event, d.at, d.kind, d.process, formatOutcomes(d.want), formatOutcomes(d.got))
}

func formatOutcomes(all []Outcome) string {
	if len(all) == 0 {
		return "nothing"
	}
	var parts []string
	for _, o := range all {
		parts = append(parts, o.String())
	}
	return strings.Join(parts, ", ")
}

// String returns a readable form of the outcome.
func (o Outcome) String() string {
	s := o.Action
	if o.Request != 0 {
		s += fmt.Sprintf(" request %d", o.Request)
	}
	if o.Upstream != 0 {
		s += fmt.Sprintf(" to %d", o.Upstream)
	}
	if o.Reason != "" {
		s += " (" + o.Reason + ")"
	}
	if o.RetryAfter != 0 {
		s += fmt.Sprintf(" retry after %v", o.RetryAfter)
	}
	if o.Uncertain {
		s += " uncertain"
	}
	if o.Status != 0 {
		s += fmt.Sprintf(" status %d", o.Status)
	}
	if o.Key != "" {
		s += " key " + o.Key
	}
	return s
}

// Report is the result of a replay.
type Report struct {
	name            string
	events          int
	differenceCount int
	differences     []Difference
}

// Name returns the name of the trace.
func (r Report) Name() string { return r.name }

// Events returns the number of replayed events.
func (r Report) Events() int { return r.events }

// DifferenceCount returns the number of events with different outcomes.
func (r Report) DifferenceCount() int { return r.differenceCount }

// Differences returns the first differences, up to a limit.
func (r Report) Differences() []Difference { return r.differences }

// Replay applies the events of a trace to new cores and compares their outcomes
// with those in the trace. It returns an error if the trace is not valid, with
// the number of the event; the report then covers the events before it.
func Replay(r io.Reader) (Report, error) {
	dec := cbor.NewDecoder(r)
	var h Header
	if err := dec.Decode(&h); err != nil {
		return Report{}, errors.Wrap(err, "read trace: header")
	}
	if h.Format != Format {
		return Report{}, errors.Errorf("read trace: unsupported format %q, want %q", h.Format, Format)
	}
	p, err := NewPlayer(h)
	if err != nil {
		return Report{}, err
	}
	report := Report{name: h.Name}
	for {
		var e Event
		err := dec.Decode(&e)
		if err == io.EOF {
			return report, nil
		}
		if err == nil {
			err = report.replay(p, h, e)
		}
		if err != nil {
			return report, errors.Wrapf(err, "read trace: event %d (%s)", report.events+1, e.Kind)
		}
	}
}

// replay applies one event and compares its outcomes.
func (r *Report) replay(p *Player, h Header, e Event) error {
	got, err := p.Apply(e)
	if err != nil {
		return err
	}
	r.events++
	if slices.Equal(got, e.Outcomes) {
		return nil
	}
	r.differenceCount++
	if len(r.differences) >= maxListedDifferences {
		return nil
	}
	d := Difference{event: r.events, at: e.At, kind: e.Kind, want: e.Outcomes, got: got}
	if e.Kind != KindConfiguration {
		d.process = h.Processes[e.Process].Name
	}
	r.differences = append(r.differences, d)
	return nil
}
