// Package gdloglimit bounds how many lines a process writes on single decisions, so
// that a burst of them costs neither the host's core nor the reader's patience.
//
// # Usage
//
//	var lines gdloglimit.Bound
//	lines.Event(now, log, gdlog.FlowReset, "flow", key, "reason", reason.String())
package gdloglimit

import (
	"fmt"
	"time"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

// MaxPerSecond is how many lines on single decisions a process writes in a
// second at most: enough for each flow of an ordinary day, and no more than a
// hundredth of the smallest host's core.
const MaxPerSecond = 200

// Limiter bounds the lines on single decisions. What is left out is counted, and
// the count is written with the first line of a later second. It is not safe for
// concurrent use.
type Limiter struct {
	second time.Time
	lines  int
	left   uint64
}

// Event writes the event unless the second has had its lines. Values that have a
// String method are written by it.
func (b *Limiter) Event(now time.Time, l gdlog.Logger, e gdlog.Event, namesAndValues ...any) {
	if now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
		if b.left > 0 {
			l.Event(gdlog.LogLinesSuppressed, "count", b.left)
			b.left = 0
		}
	}
	if b.lines >= MaxPerSecond {
		b.left++
		return
	}
	b.lines++
	for i := 1; i < len(namesAndValues); i += 2 {
		if s, ok := namesAndValues[i].(fmt.Stringer); ok {
			namesAndValues[i] = s.String()
		}
	}
	l.Event(e, namesAndValues...)
}
