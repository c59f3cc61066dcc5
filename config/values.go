package config

import (
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// NewValue returns a value that was read from the platform.
func NewValue(key string, data []byte) Value { return Value{key: key, data: data} }

// Assemble builds a deployment from the platform's values. It is the inverse of
// [Split]: the values must include the index, each service's value must have the
// digest that the index lists, and there must be no other value. The error contains
// the problems of all values.
func Assemble(values []Value) (Deployment, error) {
	a := assembler{values: make(map[string]Value), lines: make(map[string]gdtoml.Positions)}
	for _, v := range values {
		a.values[v.key] = v
	}
	index := a.remove(IndexKey)
	idx, err := ParseIndex(index.data)
	if err != nil {
		a.addProblems(IndexKey, err)
	}
	if err := a.problems.errorOrNil(); err != nil {
		return Deployment{}, err
	}
	a.lines[IndexKey] = gdtoml.PositionsOf(index.data)
	services := a.services(idx)
	for key := range a.values {
		a.problems = append(a.problems, Problem{value: key, reason: "the index does not list this value"})
	}
	if err := a.problems.errorOrNil(); err != nil {
		return Deployment{}, err
	}
	d, err := Join(idx, services)
	return d, a.withPositions(err)
}

// assembler is the state of one call of Assemble.
type assembler struct {
	values   map[string]Value
	lines    map[string]gdtoml.Positions
	problems Problems
}

// remove removes and returns a value. A missing value is a problem.
func (a *assembler) remove(key string) Value {
	v, ok := a.values[key]
	if !ok {
		a.problems = append(a.problems, Problem{value: key, reason: "the value is missing"})
	}
	delete(a.values, key)
	return v
}

func (a *assembler) services(idx Index) []Service {
	var out []Service
	for _, row := range idx.Services {
		key := ServiceKey(row.Name)
		before := len(a.problems)
		v := a.remove(key)
		if len(a.problems) > before {
			continue
		}
		if got := Digest(v.data); got != row.Digest {
			reason := "the digest is " + got + ", the index lists " + row.Digest
			a.problems = append(a.problems, Problem{value: key, reason: reason})
		}
		s, err := ParseService(v.data)
		if err != nil {
			a.addProblems(key, err)
			continue
		}
		if s.Name != row.Name {
			reason := "the value belongs to service " + s.Name
			a.problems = append(a.problems, Problem{value: key, place: "name", reason: reason})
		}
		a.lines[key] = gdtoml.PositionsOf(v.data)
		out = append(out, s)
	}
	return out
}

// addProblems adds the problems of one value.
func (a *assembler) addProblems(key string, err error) {
	var ps Problems
	if !errors.As(err, &ps) {
		ps = Problems{{reason: err.Error()}}
	}
	for _, p := range ps {
		p.value = key
		a.problems = append(a.problems, p)
	}
}

// withPositions adds the value and the line to each problem of the deployment.
func (a *assembler) withPositions(err error) error {
	var ps Problems
	if !errors.As(err, &ps) {
		return err
	}
	for i := range ps {
		p := &ps[i]
		key, field := IndexKey, p.place
		if rest, ok := strings.CutPrefix(p.place, "services."); ok {
			name, inService, _ := strings.Cut(rest, ".")
			key, field = ServiceKey(name), inService
		}
		p.value = key
		p.line = a.lines[key].Line(field)
	}
	return ps.errorOrNil()
}
