package gdtoml

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxSiblings is the maximum number of different keys in a table, and of different
// tables. The library's time is quadratic in these numbers, so that a megabyte of
// garbage would take minutes. Valid documents stay far below the limit.
const maxSiblings = 1000

// maxDepth is the maximum number of parts of a dotted key.
const maxDepth = 32

// limitChecker checks in linear time whether a document is within the limits.
type limitChecker struct {
	parser unstable.Parser
	tables map[string]bool
	keys   int // in the current table
}

// exceedsLimits returns a problem if decoding the document would take too long.
func exceedsLimits(data []byte) (Problem, bool) {
	c := limitChecker{tables: make(map[string]bool)}
	c.parser.Reset(data)
	for c.parser.NextExpression() {
		expr := c.parser.Expression()
		if c.accept(expr) {
			continue
		}
		it := expr.Key()
		it.Next()
		line := c.parser.Shape(it.Node().Raw).Start.Line
		return Problem{line: line, reason: "too many different keys or tables, or too deep nesting"}, true
	}
	return Problem{}, false
}

// accept adds an expression and reports whether the document is still within the
// limits.
func (c *limitChecker) accept(expr *unstable.Node) bool {
	if depth(expr) > maxDepth {
		return false
	}
	if expr.Kind == unstable.KeyValue {
		c.keys++
		return c.keys <= maxSiblings && valueWithinLimits(expr.Value())
	}
	c.keys = 0
	var key []string
	for it := expr.Key(); it.Next(); {
		key = append(key, string(it.Node().Data))
	}
	c.tables[strings.Join(key, ".")] = true
	return len(c.tables) <= maxSiblings
}

// depth returns the number of parts of the key of an expression.
func depth(expr *unstable.Node) int {
	n := 0
	for it := expr.Key(); it.Next(); {
		n++
	}
	return n
}

// valueWithinLimits reports whether the inline tables in the value are within the
// limits.
func valueWithinLimits(n *unstable.Node) bool {
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
		if keys > maxSiblings || !valueWithinLimits(child) {
			return false
		}
	}
	return true
}
