// Package gdloglimit limits the rate of log lines about single decisions, so that a
// burst of them neither loads the host's core nor floods the log.
//
// # Usage
//
//	var lines gdloglimit.Limiter
//	lines.Event(now, log, gdlog.FlowReset, "flow", key, "reason", reason.String())
package gdloglimit

import (
	"fmt"
	"time"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

// MaxPerSecond is the maximum number of lines about single decisions that a process
// writes per second. It suffices for each flow of an ordinary day and costs no more
// than a hundredth of the smallest host's core.
const MaxPerSecond = 200

// Limiter limits the rate of lines about single decisions. It counts the suppressed
// lines and writes their number before the first line of a later second. It is not
// safe for concurrent use.
type Limiter struct {
	second     time.Time // start of the current second
	lines      int       // written in the current second
	suppressed uint64
}

// Event writes the event unless MaxPerSecond lines have been written in the current
// second. Values with a String method are written as its result.
func (l *Limiter) Event(now time.Time, log gdlog.Logger, e gdlog.Event, keysAndValues ...any) {
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
		if l.suppressed > 0 {
			log.Event(gdlog.LogLinesSuppressed, "count", l.suppressed)
			l.suppressed = 0
		}
	}
	if l.lines >= MaxPerSecond {
		l.suppressed++
		return
	}
	l.lines++
	for i := 1; i < len(keysAndValues); i += 2 {
		if s, ok := keysAndValues[i].(fmt.Stringer); ok {
			keysAndValues[i] = s.String()
		}
	}
	log.Event(e, keysAndValues...)
}
