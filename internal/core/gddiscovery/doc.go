// Package gddiscovery keeps what a process believes about the deployment: routes,
// services, upstreams and the failure domains that are out.
//
// A [State] takes in [Change] values, each with the revision at which its source
// made it. Only a higher revision of a subject replaces a lower one, so that a
// belief never reverts, from whatever side an old change comes. A [View] is the
// immutable picture that the other cores decide on.
//
// # Usage
//
//	var book gddiscovery.Book
//	book.Load(now, snapshot) // the whole state at a revision
//	book.Apply(now, update)  // what has changed since
//	v := book.View()
//	route, ok := v.Route(key.Service())
//
// A Book belongs to one goroutine, a View to any number.
package gddiscovery
