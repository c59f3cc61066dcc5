package gdtoml

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions gives the line of each field of a document. An element of an array of
// tables goes by its name where the array is called domains, services or
// upstreams, and by its index elsewhere.
type Positions struct {
	lines map[string]int
}

// PositionsOf walks a document that is known to be TOML. Of two elements with the
// same name the later one counts, as it is the one that is reported.
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
			table = w.open(key, expr.Kind == unstable.ArrayTable)
			w.lines[table] = line
		case unstable.KeyValue:
			w.keyValue(table, expr)
		}
	}
	return w.named()
}

// Has reports whether the document has the field.
func (ps Positions) Has(place string) bool {
	_, ok := ps.lines[place]
	return ok
}

// Line returns the line of the field, counted from 1, or that of the closest
// table around it, or 0.
func (ps Positions) Line(place string) int {
	for place != "" {
		if n, ok := ps.lines[place]; ok {
			return n
		}
		place = place[:max(strings.LastIndexByte(place, '.'), 0)]
	}
	return 0
}

// walker collects lines by paths that have an index for each array element.
type walker struct {
	parser unstable.Parser
	lines  map[string]int
	names  map[string]string // from an element's path to its name
	counts map[string]int    // elements of an array of tables seen so far
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

// open returns the path of a table; in an array of tables it begins an element.
func (w *walker) open(key []string, array bool) string {
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

// named replaces indexes by names.
func (w *walker) named() Positions {
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
