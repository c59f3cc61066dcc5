package gdselector

// Load is the load of an upstream as its agent reports it to its peers.
type Load struct {
	inFlight int
	queued   int
	limit    int
	started  uint64
}

// NewLoad returns a load with the number of running requests, the number of waiting
// requests, and the maximum number of concurrent requests. A limit of 0 means that the
// upstream accepts no requests. The argument started is the number of requests that the
// agent has started at the upstream over the lifetime of the agent's process.
func NewLoad(inFlight, queued, limit int, started uint64) Load {
	return Load{inFlight: inFlight, queued: queued, limit: limit, started: started}
}

// InFlight returns the number of requests running at the upstream.
func (l Load) InFlight() int { return l.inFlight }

// Queued returns the number of requests waiting at the agent.
func (l Load) Queued() int { return l.queued }

// Limit returns the maximum number of concurrent requests.
func (l Load) Limit() int { return l.limit }

// Started returns the number of requests that the agent has started at the upstream over
// the lifetime of the agent's process.
func (l Load) Started() uint64 { return l.started }

// Headroom returns the number of further requests that would start immediately. It is
// negative if more requests wait than there are free slots.
func (l Load) Headroom() int { return l.limit - l.inFlight - l.queued }

// acceptsRelay reports whether a relayed request would start immediately.
func (l Load) acceptsRelay() bool { return l.Headroom() > 0 }

// AcceptsMove reports whether a moved request would wait for no longer than about the
// duration of one request.
func (l Load) AcceptsMove() bool { return l.limit > 0 && l.Headroom() > -l.limit }

// less reports whether l is less loaded than m relative to the limits, which must both
// be above 0.
func (l Load) less(m Load) bool {
	return (l.inFlight+l.queued)*m.limit < (m.inFlight+m.queued)*l.limit
}
