package gdhostrig

import "time"

// Class is a class of requests.
type Class struct {
	Name, Service string
	// RequestSize and AnswerSize are the sizes of a request and of its answer, in bytes.
	RequestSize, AnswerSize int
	// ServiceTime is how long a slot of an upstream takes for a request.
	ServiceTime time.Duration
	// LatencyObjective and Deadline are measured from the first attempt.
	LatencyObjective, Deadline time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
	// Priority is the rank of the class, the highest being 0.
	Priority int
	// RequestsPerSecond is the rate of requests that are sent each in a flow of its own.
	// HeldFlows is the number of flows that callers hold open; on each, ThinkTime passes
	// between the end of a request and the next request.
	RequestsPerSecond float64
	HeldFlows         int
	ThinkTime         time.Duration
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name             string
	Upstreams, Slots int
}

// Shape describes a deployment and its load.
type Shape struct {
	Domains []string
	// EntryHostsPerDomain is the number of entry hosts in each failure domain.
	EntryHostsPerDomain int
	Services            []Service
	Classes             []Class
}

// The times and limits of the simulators and promises, as in the users' two deployments.
const (
	// GracePeriod is how long a process may take to exit after SIGTERM.
	GracePeriod = 6 * time.Second
	// DrainTime is how long a draining upstream may still get new flows after the store's
	// answer.
	DrainTime = 3 * time.Second
	// ColdTime is how long an upstream is cold, and ColdFlowsPerSecond its capacity for
	// new flows while it is.
	ColdTime           = 4 * time.Second
	ColdFlowsPerSecond = 10
	// AddressReuseDelay is how long an address stays unused before an upstream of another
	// service gets it.
	AddressReuseDelay = 2 * time.Second
	// IdleTimeout is how long a flow may be idle before its upstream drops it.
	IdleTimeout = 15 * time.Second
	// historyRetention is how long the store keeps its history of changes.
	historyRetention = 20 * time.Second
)

// Small returns a deployment of 4 entry hosts and 7 agents whose load leaves most of a
// developer's machine idle.
func Small() Shape { return Sized(2, 4, 3) }

// WithLoad returns the deployment with its load multiplied by a factor.
func (s Shape) WithLoad(load float64) Shape {
	classes := make([]Class, 0, len(s.Classes))
	for _, c := range s.Classes {
		c.RequestsPerSecond *= load
		if c.HeldFlows > 0 {
			c.HeldFlows = max(1, int(float64(c.HeldFlows)*load))
		}
		classes = append(classes, c)
	}
	s.Classes = classes
	return s
}

// Sized returns a deployment in two failure domains with the given numbers of entry hosts
// in each domain and of upstreams of the services booking and gallery. The load is
// proportional to the number of upstreams.
func Sized(entries, bookings, galleries int) Shape {
	return Shape{
		Domains: []string{"north", "south"}, EntryHostsPerDomain: entries,
		Services: []Service{{"booking", bookings, 3}, {"gallery", galleries, 3}},
		Classes: []Class{
			{
				Name: "feed", Service: "booking", AnswerSize: 2000, ServiceTime: 10 * time.Millisecond, LatencyObjective: 120 * time.Millisecond,
				Deadline: 800 * time.Millisecond, Idempotent: true, Priority: 1, HeldFlows: 4 * bookings, ThinkTime: 200 * time.Millisecond,
			},
			{
				Name: "order", Service: "booking", RequestSize: 900, AnswerSize: 600, ServiceTime: 12 * time.Millisecond, LatencyObjective: 150 * time.Millisecond,
				Deadline: time.Second, RequestsPerSecond: 30 * float64(bookings),
			},
			{
				Name: "photo", Service: "gallery", AnswerSize: 40000, ServiceTime: 5 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
				Deadline: 3 * time.Second, Idempotent: true, Priority: 2, RequestsPerSecond: 2 * float64(galleries),
			},
		},
	}
}
