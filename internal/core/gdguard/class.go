package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdcache"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// classTTL is the minimum time for which the class of a route is kept after its last
	// use, and maxClasses the maximum number of routes in one generation of the cache.
	classTTL   = time.Minute
	maxClasses = 1024
)

// classes has the classes of routes by service address, from packets that open flows.
type classes struct {
	cache gdcache.Cache[gdflow.Address, RouteClass]
}

// note records the class of a route, unless it is not known.
func (c *classes) note(now time.Time, service gdflow.Address, class RouteClass) {
	if class == (RouteClass{}) {
		return
	}
	if c.cache.MaxPerGeneration == 0 {
		c.cache.MinTTL, c.cache.MaxPerGeneration = classTTL, maxClasses
	}
	c.cache.Put(now, service, class)
}

// get returns the class of a route, and false if it is not known.
func (c *classes) get(now time.Time, service gdflow.Address) (RouteClass, bool) {
	if c.cache.MaxPerGeneration == 0 {
		return RouteClass{}, false
	}
	return c.cache.Get(now, service)
}
