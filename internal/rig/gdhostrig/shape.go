package gdhostrig

import "time"

// Class is a kind of request.
type Class struct {
	Name, Service string
	// RequestSize and AnswerSize are the lengths of a request and of its answer, in bytes.
	RequestSize, AnswerSize int
	// ServiceTime is how long a slot of an upstream is at work on one.
	ServiceTime time.Duration
	// LatencyObjective and Deadline are counted from the first attempt.
	LatencyObjective, Deadline time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
	// Priority orders the classes, 0 first.
	Priority int
	// Each second brings RequestsPerSecond requests, each in a flow of its own; Flows are held
	// open, with a request after each Pause.
	RequestsPerSecond float64
	HeldFlows         int
	ThinkTime         time.Duration
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name             string
	Upstreams, Slots int
}

// Shape is what a deployment consists of.
type Shape struct {
	Domains []string
	// EntryHostsPerDomain is the number of entry hosts in each failure domain.
	EntryHostsPerDomain int
	Services            []Service
	Classes             []Class
}

// Bounds of the stand-ins and promises, as in the users' two deployments.
const (
	// GracePeriod is how long a process has after the signal to stop.
	GracePeriod = 6 * time.Second
	// DrainTime is how long after the store's answer a draining upstream gets new flows.
	DrainTime = 3 * time.Second
	// ColdTime is how long an upstream is cold, and ColdPerSecond what it bears then.
	ColdTime           = 4 * time.Second
	ColdFlowsPerSecond = 10
	// AddressReuseDelay is how long an address stays free before another service has it.
	AddressReuseDelay = 2 * time.Second
	// IdleTimeout is how long a flow may be silent.
	IdleTimeout = 15 * time.Second
	// history is how long the store keeps changes.
	history = 20 * time.Second
)

// Small returns a deployment of 4 entry hosts and 8 agents, whose load leaves most of
// a developer's machine idle.
func Small() Shape { return Sized(2, 4, 3) }

// WithLoad returns the deployment with a share of its load.
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

// Sized returns a deployment in two failure domains with the numbers of entry hosts in
// each and of upstreams of its two services. The load grows with the upstreams.
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
