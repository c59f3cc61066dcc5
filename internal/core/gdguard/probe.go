package gdguard

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// answerTimeout is the time an upstream has to answer a request for a flow.
	// Upstreams answer within a millisecond; the rest is a margin for a slow host.
	answerTimeout = 60 * time.Millisecond
	// silentAfter is the number of consecutive unanswered requests for flows after
	// which the upstream counts as silent. Two could just be lost.
	silentAfter = 3
	// flowProbeInterval is the interval at which a silent upstream gets a request for
	// a flow.
	flowProbeInterval = 200 * time.Millisecond
	// portProbeDelay is how long an upstream with requests in progress sends nothing
	// before the agent probes its port: longer than nearly all requests take.
	portProbeDelay = 150 * time.Millisecond
	// portProbeInterval is the minimum interval between two such probes.
	portProbeInterval = 500 * time.Millisecond
)

// answers tracks whether the upstream answers requests for flows.
type answers struct {
	unanswered int
	since      time.Time
	lastProbe  time.Time
}

func (a *answers) sent(now time.Time) {
	if a.unanswered == 0 {
		a.since = now
	}
	a.unanswered++
}

// received records a packet of the upstream.
func (a *answers) received() { a.unanswered = 0 }

func (a *answers) silent(now time.Time) bool {
	return a.unanswered >= silentAfter && now.Sub(a.since) > answerTimeout
}

// probe reports whether a silent upstream is to be probed with a request for a flow.
func (a *answers) probe(now time.Time) bool {
	if now.Sub(a.lastProbe) < flowProbeInterval {
		return false
	}
	a.lastProbe = now
	return true
}

// ShouldProbe reports whether the agent should probe the upstream's port: it has
// requests in progress and has sent nothing for a while.
func (g *Guard) ShouldProbe(now time.Time) bool {
	if g.exited || g.work.n == 0 || now.Sub(g.lastReceived) < portProbeDelay || now.Sub(g.lastPortProbe) < portProbeInterval {
		return false
	}
	if oldest, ok := g.work.oldest(); !ok || now.Sub(oldest) < portProbeDelay {
		return false
	}
	g.lastPortProbe = now
	return true
}

// SilentFor returns how long the upstream has sent nothing.
func (g *Guard) SilentFor(now time.Time) time.Duration {
	if g.lastReceived.IsZero() {
		return now.Sub(g.observingSince)
	}
	return now.Sub(g.lastReceived)
}

// HandleUpstreamExit handles the exit of the upstream's process. It resets all of its
// flows, so that the callers can retry at once.
func (g *Guard) HandleUpstreamExit(now time.Time) []Action {
	g.init(now)
	if g.exited {
		return nil
	}
	g.exited, g.ObservedFromStart = true, true
	g.exitedAt, g.exitedStarts = now, slices.Clone(g.starts)
	g.flows.Each(func(k gdflow.Key, f *flow) bool {
		if f.state == open || f.state == halfOpen {
			g.add(Action{Verb: Reset, Key: k, Seq: f.expectedSeq})
		}
		return true
	})
	for r := g.backlog.First(); r != nil; r = g.backlog.First() {
		g.dropKept(now, r, UpstreamExited)
	}
	g.flows.Clear()
	g.probed = nil
	g.forgotAt = time.Time{}
	g.work.clear()
	return g.actions
}
