package gdsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// Problem describes one error in a settings file.
type Problem struct {
	file   string
	line   int
	key    string
	reason string
}

// File returns the name of the settings file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1, or 0 for a missing key.
func (p Problem) Line() int { return p.line }

// Key returns the invalid key, or "" if the file can't be parsed as TOML.
func (p Problem) Key() string { return p.key }

// Reason returns the description of the problem, without a full stop.
func (p Problem) Reason() string { return p.reason }

func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.file)
	if p.line > 0 {
		fmt.Fprintf(&b, ":%d", p.line)
	}
	if p.key != "" {
		b.WriteString(": " + p.key)
	}
	return b.String() + ": " + p.reason
}

// Problems are all problems of a settings file, sorted by line. Missing keys come
// first.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// loadable is implemented by the settings of each kind of process.
type loadable interface {
	setDefaults()
	check(k *checker)
}

// Load reads and checks the settings file of one process. Its error contains all
// problems and is a [Problems].
func Load[T Settings](path string) (T, error) {
	var s, none T
	p := any(&s).(loadable)
	p.setDefaults()
	k := &checker{file: path, dir: filepath.Dir(path), undecoded: make(map[string]bool)}
	data, err := os.ReadFile(path)
	if err != nil {
		k.problem(0, "", "%v", errors.Cause(err))
		return none, k.problems
	}
	if k.decode(data, p) {
		p.check(k)
	}
	if len(k.problems) > 0 {
		sort.SliceStable(k.problems, func(i, j int) bool { return k.problems[i].line < k.problems[j].line })
		return none, k.problems
	}
	return s, nil
}

// decode decodes the document into dst and reports whether it is TOML. If not, no other
// check is possible.
func (k *checker) decode(data []byte, dst loadable) bool {
	for _, f := range gdtoml.Decode(data, dst) {
		k.problem(f.Line(), f.Key(), "%s", f.Reason())
		k.undecoded[f.Key()] = true
	}
	if k.undecoded[""] {
		return false
	}
	k.lines = gdtoml.PositionsOf(data)
	return true
}
