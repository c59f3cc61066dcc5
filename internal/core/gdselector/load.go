package gdselector

// Load is what an agent tells its peers about its upstream.
type Load struct {
	inFlight int
	queued   int
	limit    int
	started  uint64
}

// NewLoad returns a load: the requests that run, those that wait, and the number
// that may run at the same time. A limit of 0 says that the upstream takes no
// work. Started counts all requests that the agent has started since it began.
func NewLoad(inFlight, queued, limit int, started uint64) Load {
	return Load{inFlight: inFlight, queued: queued, limit: limit, started: started}
}

// InFlight returns the number of requests that run at the upstream.
func (l Load) InFlight() int { return l.inFlight }

// Queued returns the number of requests that wait at the agent.
func (l Load) Queued() int { return l.queued }

// Limit returns the number of requests that may run at the same time.
func (l Load) Limit() int { return l.limit }

// Started returns the number of requests that the agent has started since it
// began.
func (l Load) Started() uint64 { return l.started }

// Headroom returns the number of requests that would start at once; it is negative
// when requests wait.
func (l Load) Headroom() int { return l.limit - l.inFlight - l.queued }

// takesRelay reports whether a relayed request would start at once.
func (l Load) takesRelay() bool { return l.Headroom() > 0 }

// AcceptsMove reports whether a moved request would wait for no more than about the
// time of one request.
func (l Load) AcceptsMove() bool { return l.limit > 0 && l.Headroom() > -l.limit }

// less reports whether l is less loaded than m, relative to their limits. Both
// limits are above 0.
func (l Load) less(m Load) bool {
	return (l.inFlight+l.queued)*m.limit < (m.inFlight+m.queued)*l.limit
}
