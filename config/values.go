package config

import (
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// NewValue returns the value with the key and the bytes, as the platform gave
// them.
func NewValue(key string, data []byte) Value { return Value{key: key, data: data} }

// Assemble puts the platform's values together again. It is the inverse of
// [Split]: the index must be among the values, each service's value must have the
// digest in the index, and no value may be left over. All problems of all values
// are gathered.
func Assemble(values []Value) (Deployment, error) {
	a := assembly{values: make(map[string]Value), lines: make(map[string]gdtoml.Positions)}
	for _, v := range values {
		a.values[v.key] = v
	}
	index := a.take(IndexKey)
	idx, err := ParseIndex(index.data)
	if err != nil {
		a.gather(IndexKey, err)
	}
	if err := a.problems.orNil(); err != nil {
		return Deployment{}, err
	}
	a.lines[IndexKey] = gdtoml.PositionsOf(index.data)
	services := a.services(idx)
	for key := range a.values {
		a.problems = append(a.problems, Problem{value: key, reason: "the index does not name this value"})
	}
	if err := a.problems.orNil(); err != nil {
		return Deployment{}, err
	}
	d, err := Join(idx, services)
	return d, a.located(err)
}

// assembly is the state of one Assemble.
type assembly struct {
	values   map[string]Value
	lines    map[string]gdtoml.Positions
	problems Problems
}

// take removes a value from those that are left and returns it.
func (a *assembly) take(key string) Value {
	v, ok := a.values[key]
	if !ok {
		a.problems = append(a.problems, Problem{value: key, reason: "the value is missing"})
	}
	delete(a.values, key)
	return v
}

func (a *assembly) services(idx Index) []Service {
	var out []Service
	for _, row := range idx.Services {
		key := ServiceKey(row.Name)
		missing := len(a.problems)
		v := a.take(key)
		if len(a.problems) > missing {
			continue
		}
		if got := Digest(v.data); got != row.Digest {
			reason := "the digest is " + got + ", the index says " + row.Digest
			a.problems = append(a.problems, Problem{value: key, reason: reason})
		}
		s, err := ParseService(v.data)
		if err != nil {
			a.gather(key, err)
			continue
		}
		if s.Name != row.Name {
			reason := "the value is that of service " + s.Name
			a.problems = append(a.problems, Problem{value: key, place: "name", reason: reason})
		}
		a.lines[key] = gdtoml.PositionsOf(v.data)
		out = append(out, s)
	}
	return out
}

// gather adds the problems of one value.
func (a *assembly) gather(key string, err error) {
	var ps Problems
	if !errors.As(err, &ps) {
		ps = Problems{{reason: err.Error()}}
	}
	for _, p := range ps {
		p.value = key
		a.problems = append(a.problems, p)
	}
}

// located says in which value and line each problem of the whole lies.
func (a *assembly) located(err error) error {
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
	return ps.orNil()
}
