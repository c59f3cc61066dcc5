package gdserve

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// watchInterval is how often the process's counts are looked at for events.
const watchInterval = time.Second

// watcher remembers what was logged last.
type watcher struct {
	log     gdlog.Logger
	reached bool
	pauses  int64
	refused int64
	counts  map[string]uint64
	drops   gdlog.RateLimit[string]
}

// watch logs what an operator should know of the process's counts until the
// context ends.
func (p *process) watch(ctx context.Context, log gdlog.Logger) {
	w := &watcher{
		log:     log,
		reached: true,
		counts:  make(map[string]uint64),
		drops:   gdlog.RateLimit[string]{Interval: gdlog.DropInterval},
	}
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.configuration(p)
			w.peers(p)
			for _, c := range p.counters.Snapshot() {
				w.count(now, c)
			}
		}
	}
}

// configuration logs when the platform is lost or found, and pauses.
func (w *watcher) configuration(p *process) {
	st := p.config.Status()
	if reached := st.PlatformError == ""; reached != w.reached {
		w.reached = reached
		if reached {
			w.log.Event(gdlog.PlatformReachable)
		} else {
			w.log.Event(gdlog.PlatformUnreachable, "error", st.PlatformError)
		}
	}
	if st.Pauses > w.pauses {
		w.log.Event(gdlog.ProcessResumed, "pauses", st.Pauses)
		w.pauses = st.Pauses
	}
}

func (w *watcher) peers(p *process) {
	if n := p.peers.Refused(); n > w.refused {
		w.log.Event(gdlog.PeerRefused, "count", n-w.refused)
		w.refused = n
	}
}

// count logs the growth of one counter of datagrams, unless it counts what is
// in order.
func (w *watcher) count(now time.Time, c gdnode.Count) {
	grown := c.Value - w.counts[c.Name]
	w.counts[c.Name] = c.Value
	if grown == 0 || inOrder(c.Name) {
		return
	}
	if _, due := w.drops.Add(now, c.Name); !due {
		return
	}
	event := gdlog.DatagramsDropped
	switch c.Name {
	case gdroute.WrongService.String():
		event = gdlog.DatagramsMisrouted
	case gdnode.CountRingFull:
		event = gdlog.QueueFull
	}
	w.log.Event(event, "reason", c.Name, "count", grown, "total", c.Value)
}

// inOrder reports whether the counter counts datagrams that went on their way.
func inOrder(name string) bool {
	switch name {
	case gdroute.ByToken.String(), gdroute.ByRank.String(), gdroute.Held.String(), gdroute.PassedOn.String():
		return true
	}
	return false
}
