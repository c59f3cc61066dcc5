package gdhostrig

import "time"

// Class is a kind of request.
type Class struct {
	Name, Service string
	// In and Out are the lengths of a request and of its answer, in bytes.
	In, Out int
	// Work is how long a slot of an upstream is at work on one.
	Work time.Duration
	// Goal and Deadline are counted from the first attempt.
	Goal, Deadline time.Duration
	// Repeatable requests may run more than once.
	Repeatable bool
	// Priority orders the classes, 0 first.
	Priority int
	// Each second brings PerSecond requests, each in a flow of its own; Flows are held
	// open, with a request after each Pause.
	PerSecond float64
	Flows     int
	Pause     time.Duration
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name             string
	Upstreams, Slots int
}

// Shape is what a deployment consists of.
type Shape struct {
	Domains []string
	// Entries is the number of entry hosts in each failure domain.
	Entries  int
	Services []Service
	Classes  []Class
}

// Bounds of the stand-ins and promises, as in the users' two deployments.
const (
	// Grace is how long a process has after the signal to stop.
	Grace = 6 * time.Second
	// DrainTime is how long after the store's answer a draining upstream gets new flows.
	DrainTime = 3 * time.Second
	// ColdTime is how long an upstream is cold, and ColdPerSecond what it bears then.
	ColdTime      = 4 * time.Second
	ColdPerSecond = 10
	// ReuseTime is how long an address stays free before another service has it.
	ReuseTime = 2 * time.Second
	// IdleTimeout is how long a flow may be silent.
	IdleTimeout = 15 * time.Second
	// history is how long the store keeps changes.
	history = 20 * time.Second
)

// Small returns a deployment of 4 entry hosts and 8 agents, whose load leaves most of
// a developer's machine idle.
func Small() Shape { return Sized(2, 4, 3) }

// Scaled returns the deployment with a share of its load.
func (s Shape) Scaled(load float64) Shape {
	classes := make([]Class, 0, len(s.Classes))
	for _, c := range s.Classes {
		c.PerSecond *= load
		if c.Flows > 0 {
			c.Flows = max(1, int(float64(c.Flows)*load))
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
		Domains: []string{"north", "south"}, Entries: entries,
		Services: []Service{{"booking", bookings, 3}, {"gallery", galleries, 3}},
		Classes: []Class{
			{
				Name: "feed", Service: "booking", Out: 2000, Work: 10 * time.Millisecond, Goal: 120 * time.Millisecond,
				Deadline: 800 * time.Millisecond, Repeatable: true, Priority: 1, Flows: 4 * bookings, Pause: 200 * time.Millisecond,
			},
			{
				Name: "order", Service: "booking", In: 900, Out: 600, Work: 12 * time.Millisecond, Goal: 150 * time.Millisecond,
				Deadline: time.Second, PerSecond: 30 * float64(bookings),
			},
			{
				Name: "photo", Service: "gallery", Out: 40000, Work: 5 * time.Millisecond, Goal: 500 * time.Millisecond,
				Deadline: 3 * time.Second, Repeatable: true, Priority: 2, PerSecond: 2 * float64(galleries),
			},
		},
	}
}
