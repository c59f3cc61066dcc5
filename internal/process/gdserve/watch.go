package gdserve

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// watchInterval is the interval at which the process's counters are checked for events.
const watchInterval = time.Second

// eventLogger logs events from the counters of a process. It holds the values that it
// logged last.
type eventLogger struct {
	log               gdlog.Logger
	platformReachable bool
	pauses            int64
	refusedPeers      int64
	counts            map[string]uint64
	drops             gdlog.RateLimit[string]
}

// logEvents logs changes of the process's counters that concern an operator, until
// the context ends.
func (p *process) logEvents(ctx context.Context, log gdlog.Logger) {
	l := &eventLogger{
		log:               log,
		platformReachable: true,
		counts:            make(map[string]uint64),
		drops:             gdlog.RateLimit[string]{Interval: gdlog.DropInterval},
	}
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.logConfigState(p)
			l.logRefusedPeers(p)
			for _, c := range p.counters.Snapshot() {
				l.logCounter(now, c)
			}
		}
	}
}

// logConfigState logs whether the platform is reachable, and pauses of the process.
func (l *eventLogger) logConfigState(p *process) {
	st := p.config.Status()
	if reachable := st.PlatformError == ""; reachable != l.platformReachable {
		l.platformReachable = reachable
		if reachable {
			l.log.Event(gdlog.PlatformReachable)
		} else {
			l.log.Event(gdlog.PlatformUnreachable, "error", st.PlatformError)
		}
	}
	if st.Pauses > l.pauses {
		l.log.Event(gdlog.ProcessResumed, "pauses", st.Pauses)
		l.pauses = st.Pauses
	}
}

func (l *eventLogger) logRefusedPeers(p *process) {
	if n := p.peers.Refused(); n > l.refusedPeers {
		l.log.Event(gdlog.PeerRefused, "count", n-l.refusedPeers)
		l.refusedPeers = n
	}
}

// logCounter logs the growth of a counter of datagrams since it was last logged, unless
// it counts delivered ones.
func (l *eventLogger) logCounter(now time.Time, c gdnode.Count) {
	growth := c.Value - l.counts[c.Name]
	if growth == 0 || isDelivered(c.Name) {
		return
	}
	if _, due := l.drops.Add(now, c.Name); !due {
		return
	}
	l.counts[c.Name] = c.Value
	event := gdlog.DatagramsDropped
	switch c.Name {
	case gdroute.WrongService.String():
		event = gdlog.DatagramsMisrouted
	case gdnode.CountRingFull:
		event = gdlog.QueueFull
	}
	l.log.Event(event, "reason", c.Name, "count", growth, "total", c.Value)
}

// isDelivered reports whether the counter counts datagrams that were accepted or
// forwarded.
func isDelivered(name string) bool {
	switch name {
	case gdroute.ByToken.String(), gdroute.ByRank.String(), gdroute.Held.String(), gdroute.PassedOn.String():
		return true
	}
	return false
}
