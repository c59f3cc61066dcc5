// Package gddiscovery tracks the discovered state of the deployment: routes, services,
// upstreams and the failure domains that are out.
//
// A [State] applies [Change] values, each with the revision at which its source made
// it. A change is applied only if its revision is higher than that of the subject's
// current change, so that the state never reverts, whichever source an old change
// comes from. A [View] is an immutable snapshot of the state.
//
// # Usage
//
//	var state gddiscovery.State
//	state.Load(now, snapshot) // the full state at a revision
//	state.Apply(now, update)  // the changes since
//	v := state.View()
//	route, ok := v.Route(key.Service())
//
// A State is not safe for concurrent use. A View is.
package gddiscovery
