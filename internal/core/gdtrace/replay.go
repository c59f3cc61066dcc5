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

// maxDifferences bounds the differences that a report lists.
const maxDifferences = 20

// Difference is an event whose outcomes are not those that the trace states.
type Difference struct {
	event   int
	at      time.Duration
	process string
	kind    Kind
	want    []Outcome
	got     []Outcome
}

// Event returns the event's number, from 1.
func (d Difference) Event() int { return d.event }

// Want returns the outcomes that the trace states.
func (d Difference) Want() []Outcome { return d.want }

// Got returns the outcomes of the replay.
func (d Difference) Got() []Outcome { return d.got }

func (d Difference) String() string {
	return fmt.Sprintf("event %d at %v, %s at %s: the trace states %s, the core gives %s",
		d.event, d.at, d.kind, d.process, outcomesText(d.want), outcomesText(d.got))
}

func outcomesText(all []Outcome) string {
	if len(all) == 0 {
		return "nothing"
	}
	var parts []string
	for _, o := range all {
		parts = append(parts, o.String())
	}
	return strings.Join(parts, ", ")
}

// String returns the outcome for people.
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
	name        string
	events      int
	different   int
	differences []Difference
}

// Name returns the trace's name.
func (r Report) Name() string { return r.name }

// Events returns the number of events that were replayed.
func (r Report) Events() int { return r.events }

// DifferenceCount returns the number of events with other outcomes.
func (r Report) DifferenceCount() int { return r.different }

// Differences returns the first of them.
func (r Report) Differences() []Difference { return r.differences }

// Replay feeds a trace through fresh cores and compares the outcomes with those
// that it states. The error is about a trace that can't be read, with the place;
// the report is valid up to there.
func Replay(r io.Reader) (Report, error) {
	dec := cbor.NewDecoder(r)
	var h Header
	if err := dec.Decode(&h); err != nil {
		return Report{}, errors.Wrap(err, "read trace: header")
	}
	if h.Format != Format {
		return Report{}, errors.Errorf("read trace: format %q is not %q", h.Format, Format)
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

// replay feeds one event and compares its outcomes.
func (r *Report) replay(p *Player, h Header, e Event) error {
	got, err := p.Apply(e)
	if err != nil {
		return err
	}
	r.events++
	if slices.Equal(got, e.Outcomes) {
		return nil
	}
	r.different++
	if len(r.differences) >= maxDifferences {
		return nil
	}
	d := Difference{event: r.events, at: e.At, kind: e.Kind, want: e.Outcomes, got: got}
	if e.Kind != KindConfiguration {
		d.process = h.Processes[e.Process].Name
	}
	r.differences = append(r.differences, d)
	return nil
}
