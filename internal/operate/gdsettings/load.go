package gdsettings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	file   string
	line   int
	key    string
	reason string
}

// File returns the name of the settings file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1, or 0 for a key that is missing.
func (p Problem) Line() int { return p.line }

// Key returns the faulty key, or "" when the file can't be read as TOML.
func (p Problem) Key() string { return p.key }

// Reason returns what is wrong, as a clause without a full stop.
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

// Problems gathers everything that is wrong with a settings file, in the order
// of the lines; missing keys come first.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// process is what the settings of each kind of process implement.
type process interface {
	setDefaults()
	check(k *checker)
}

// Load reads and checks the settings file of one process. Its error is a
// [Problems] with everything that is wrong.
func Load[T Settings](path string) (T, error) {
	var s, none T
	p := any(&s).(process)
	p.setDefaults()
	k := &checker{file: path, dir: filepath.Dir(path), lines: make(map[string]int), bad: make(map[string]bool)}
	data, err := os.ReadFile(path)
	if err != nil {
		k.problem(0, "", "%v", errors.Cause(err))
		return none, k.problems
	}
	if k.syntax(data) {
		k.decode(data, p)
		p.check(k)
	}
	if len(k.problems) > 0 {
		sort.SliceStable(k.problems, func(i, j int) bool { return k.problems[i].line < k.problems[j].line })
		return none, k.problems
	}
	return s, nil
}

// syntax reports whether the document is TOML at all; without that, nothing else
// can be said about it.
func (k *checker) syntax(data []byte) bool {
	var doc map[string]any
	err := toml.Unmarshal(data, &doc)
	if err == nil {
		return true
	}
	line := 0
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ = de.Position()
	}
	k.problem(line, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
	return false
}

// entry is one key with its value, cut out of the document.
type entry struct {
	key   string
	line  int
	start int
	table bool
}

// decode sets one key after the other, so that a bad one doesn't hide the rest.
func (k *checker) decode(data []byte, dst process) {
	entries := entriesOf(data)
	for i, e := range entries {
		end := len(data)
		if i+1 < len(entries) {
			end = entries[i+1].start
		}
		k.lines[e.key] = e.line
		if e.table {
			k.problem(e.line, e.key, "tables are not allowed in settings")
			return // the keys that follow belong to the table
		}
		k.set(e, data[e.start:end], dst)
	}
}

func entriesOf(data []byte) []entry {
	var p unstable.Parser
	p.Reset(data)
	var out []entry
	for p.NextExpression() {
		expr := p.Expression()
		var parts []string
		it := expr.Key()
		first := unstable.Range{}
		for it.Next() {
			if len(parts) == 0 {
				first = it.Node().Raw
			}
			parts = append(parts, string(it.Node().Data))
		}
		pos := p.Shape(first).Start
		lineStart := bytes.LastIndexByte(data[:pos.Offset], '\n') + 1
		out = append(out, entry{
			key:   strings.Join(parts, "."),
			line:  pos.Line,
			start: lineStart,
			table: expr.Kind != unstable.KeyValue,
		})
	}
	return out
}

func (k *checker) set(e entry, line []byte, dst process) {
	err := toml.NewDecoder(bytes.NewReader(line)).DisallowUnknownFields().Decode(dst)
	if err == nil {
		return
	}
	k.bad[e.key] = true
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		k.problem(e.line, e.key, "unknown key")
		return
	}
	k.problem(e.line, e.key, "%s", explain(err.Error()))
}

var wrongType = regexp.MustCompile(`^cannot decode TOML (\S+) into .*?(?:of type )?(\S+)$`)

// typeNames are what the types of the settings' fields are called towards people.
var typeNames = map[string]string{
	"int":            "an integer",
	"uint32":         "a positive integer",
	"string":         "a string",
	"netip.AddrPort": "a string with an IP address and a port",
	"netip.Addr":     "a string with an IP address",
}

// explain puts the decoder's message into words that don't name Go types.
func explain(message string) string {
	message = strings.TrimPrefix(message, "toml: ")
	m := wrongType.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	want, ok := typeNames[m[2]]
	if !ok {
		want = "a string"
	}
	return fmt.Sprintf("a value of type %s is given, %s is needed", m[1], want)
}
