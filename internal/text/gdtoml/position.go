package gdtoml

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions maps the fields of a document to their lines. In the path of a field, an
// element of the arrays domains, services and upstreams is identified by its name, and
// an element of any other array by its index.
type Positions struct {
	lines map[string]int
}

// PositionsOf returns the positions of a document, which must be valid TOML. Of two
// elements with the same name it uses the later one, which is the one that a check for
// duplicates reports.
func PositionsOf(data []byte) Positions {
	w := walker{
		lines:  make(map[string]int),
		names:  make(map[string]string),
		counts: make(map[string]int),
	}
	w.parser.Reset(data)
	table := ""
	for w.parser.NextExpression() {
		expr := w.parser.Expression()
		switch expr.Kind {
		case unstable.Table, unstable.ArrayTable:
			key, line := w.key(expr)
			table = w.tablePath(key, expr.Kind == unstable.ArrayTable)
			w.lines[table] = line
		case unstable.KeyValue:
			w.keyValue(table, expr)
		}
	}
	return w.positions()
}

// Has reports whether the document has the field.
func (ps Positions) Has(place string) bool {
	_, ok := ps.lines[place]
	return ok
}

// Line returns the line of the field, counted from 1. If the field is missing, it
// returns the line of the innermost enclosing table that exists, or 0.
func (ps Positions) Line(place string) int {
	for place != "" {
		if n, ok := ps.lines[place]; ok {
			return n
		}
		place = place[:max(strings.LastIndexByte(place, '.'), 0)]
	}
	return 0
}

// walker collects the lines by path. Its paths identify all array elements by index.
type walker struct {
	parser unstable.Parser
	lines  map[string]int
	names  map[string]string // names of elements by path
	counts map[string]int    // numbers of elements of arrays of tables so far
}

func (w *walker) key(n *unstable.Node) (parts []string, line int) {
	it := n.Key()
	for it.Next() {
		if len(parts) == 0 {
			line = w.parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, line
}

// tablePath returns the path of a table. In an array of tables, the table is a new
// element.
func (w *walker) tablePath(key []string, array bool) string {
	path := ""
	for i, part := range key {
		path = join(path, part)
		if array && i == len(key)-1 {
			w.counts[path]++
		}
		if n := w.counts[path]; n > 0 {
			path = join(path, strconv.Itoa(n-1))
		}
	}
	return path
}

func (w *walker) keyValue(table string, n *unstable.Node) {
	key, line := w.key(n)
	path := join(table, strings.Join(key, "."))
	w.lines[path] = line
	if path == join(table, "name") {
		w.names[table] = string(n.Value().Data)
	}
	w.value(path, n.Value())
}

func (w *walker) value(path string, n *unstable.Node) {
	it := n.Children()
	for i := 0; it.Next(); i++ {
		switch child := it.Node(); {
		case n.Kind == unstable.InlineTable:
			w.keyValue(path, child)
		case n.Kind == unstable.Array:
			w.value(join(path, strconv.Itoa(i)), child)
		}
	}
}

// positions returns the lines by paths with names in place of indexes.
func (w *walker) positions() Positions {
	out := make(map[string]int, len(w.lines))
	for path, line := range w.lines {
		place := w.place(path)
		out[place] = max(out[place], line)
	}
	return Positions{lines: out}
}

func (w *walker) place(path string) string {
	raw, place, list := "", "", ""
	for part := range strings.SplitSeq(path, ".") {
		raw = join(raw, part)
		name, ok := w.names[raw]
		if ok && (list == "domains" || list == "services" || list == "upstreams") {
			place = join(place, name)
		} else {
			place = join(place, part)
		}
		list = part
	}
	return place
}

func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}
