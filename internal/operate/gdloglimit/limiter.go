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

// reserved is how many of these lines are kept for the events that end a flow or change
// what is believed of a host. They explain what callers saw, and must not be lost among
// the offers and refusals of the same burst.
const reserved = 100

// isEnding reports whether the reserved lines are for the event.
func isEnding(e gdlog.Event) bool {
	switch e.Number() {
	case gdlog.FlowReset.Number(), gdlog.PacketDropped.Number(),
		gdlog.HostUnresponsive.Number(), gdlog.HostResponsive.Number(), gdlog.HostUnreachable.Number():
		return true
	}
	return false
}

// Limiter limits the rate of lines about single decisions. It counts the suppressed
// lines and writes their number before the first line of a later second. It is not
// safe for concurrent use.
type Limiter struct {
	second     time.Time // start of the current second
	lines      int       // written in the current second
	other      int       // those of them for which no lines are reserved
	suppressed uint64
}

// Event writes the event unless MaxPerSecond lines have been written in the current
// second, or all but the reserved ones. Values with a String method are written as its result.
func (l *Limiter) Event(now time.Time, log gdlog.Logger, e gdlog.Event, keysAndValues ...any) {
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines, l.other = now, 0, 0
		if l.suppressed > 0 {
			log.Event(gdlog.LogLinesSuppressed, "count", l.suppressed)
			l.suppressed = 0
		}
	}
	ending := isEnding(e)
	if l.lines >= MaxPerSecond || !ending && l.other >= MaxPerSecond-reserved {
		l.suppressed++
		return
	}
	l.lines++
	if !ending {
		l.other++
	}
	for i := 1; i < len(keysAndValues); i += 2 {
		if s, ok := keysAndValues[i].(fmt.Stringer); ok {
			keysAndValues[i] = s.String()
		}
	}
	log.Event(e, keysAndValues...)
}
