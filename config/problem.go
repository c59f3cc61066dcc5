package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem describes one error in a deployment.
type Problem struct {
	value  string
	line   int
	place  string
	reason string
}

// Value returns the platform's key of the value that contains the problem, or "" if
// the deployment was not read from values.
func (p Problem) Value() string { return p.value }

// Line returns the line in the document or value, counted from 1, or 0 if the
// deployment was not parsed from text or the field is missing from it.
func (p Problem) Line() int { return p.line }

// Place returns the path of the invalid field, such as
// "services.booking.upstreams.booking-1.slots".
func (p Problem) Place() string { return p.place }

// Reason returns the description of the problem, without a full stop.
func (p Problem) Reason() string { return p.reason }

func (p Problem) Error() string {
	var parts []string
	if p.value != "" {
		parts = append(parts, p.value)
	}
	if p.line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.line))
	}
	if p.place != "" {
		parts = append(parts, p.place)
	}
	return strings.Join(append(parts, p.reason), ": ")
}

// Problems are all problems of a deployment, sorted by value, line and place.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sort() {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		if a.value != b.value {
			return a.value < b.value
		}
		if a.line != b.line {
			return a.line < b.line
		}
		return a.place < b.place
	})
}

// errorOrNil returns the problems as an error, or nil if there are none.
func (ps Problems) errorOrNil() error {
	if len(ps) == 0 {
		return nil
	}
	ps.sort()
	return ps
}
