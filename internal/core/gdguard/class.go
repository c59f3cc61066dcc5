package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// classTTL is how long the class of a route is known after the last packet that opened
	// one of its flows: the maximum duration of a flow in the users' settings.
	classTTL = time.Minute
	// maxClasses limits the routes whose class is known.
	maxClasses = 256
	// unknownPriority is the priority of a request whose route is not known.
	unknownPriority = 1<<8 - 1
)

// classes has the classes of the routes by service address.
type classes map[gdflow.Address]knownClass

type knownClass struct {
	RouteClass
	at time.Time
}

// note records the class of a route.
func (c *classes) note(now time.Time, service gdflow.Address, class RouteClass) {
	if _, known := (*c)[service]; *c == nil || !known && len(*c) >= maxClasses {
		*c = make(classes)
	}
	(*c)[service] = knownClass{RouteClass: class, at: now}
}

// get returns the class of the route, and false if it is not known.
func (c classes) get(now time.Time, service gdflow.Address) (RouteClass, bool) {
	k, ok := c[service]
	if !ok || now.Sub(k.at) > classTTL {
		return RouteClass{}, false
	}
	return k.RouteClass, true
}

// priority returns the priority of the route's requests.
func (c classes) priority(now time.Time, service gdflow.Address) uint8 {
	if class, ok := c.get(now, service); ok {
		return class.Priority
	}
	return unknownPriority
}
