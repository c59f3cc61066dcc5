package gdtoml

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxWidth is the number of different keys or tables beside each other that a
// document may have. The library's time grows with the square of it, so that a
// megabyte of garbage would take it minutes; right documents stay far below.
const maxWidth = 1000

// maxDepth is the number of parts that a dotted key may have.
const maxDepth = 32

// width walks a document in linear time and looks for too many keys.
type width struct {
	parser unstable.Parser
	tables map[string]bool
	keys   int // in the present table
}

// tooWide returns a fault when the library must not see the document.
func tooWide(data []byte) (Fault, bool) {
	w := width{tables: make(map[string]bool)}
	w.parser.Reset(data)
	for w.parser.NextExpression() {
		expr := w.parser.Expression()
		if w.within(expr) {
			continue
		}
		it := expr.Key()
		it.Next()
		line := w.parser.Shape(it.Node().Raw).Start.Line
		return Fault{line: line, reason: "too many different keys or tables beside or in each other"}, true
	}
	return Fault{}, false
}

// within reports whether the document is narrow enough up to this expression.
func (w *width) within(expr *unstable.Node) bool {
	if depth(expr) > maxDepth {
		return false
	}
	if expr.Kind == unstable.KeyValue {
		w.keys++
		return w.keys <= maxWidth && narrow(expr.Value())
	}
	w.keys = 0
	var key []string
	for it := expr.Key(); it.Next(); {
		key = append(key, string(it.Node().Data))
	}
	w.tables[strings.Join(key, ".")] = true
	return len(w.tables) <= maxWidth
}

// depth returns the number of parts of the expression's key.
func depth(expr *unstable.Node) int {
	n := 0
	for it := expr.Key(); it.Next(); {
		n++
	}
	return n
}

// narrow reports whether each inline table in the value is narrow enough.
func narrow(n *unstable.Node) bool {
	keys := 0
	for it := n.Children(); it.Next(); {
		child := it.Node()
		if n.Kind == unstable.InlineTable {
			keys++
			if depth(child) > maxDepth {
				return false
			}
			child = child.Value()
		}
		if keys > maxWidth || !narrow(child) {
			return false
		}
	}
	return true
}
