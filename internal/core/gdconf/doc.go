// Package gdconf provides the active configuration in the form that the decision
// cores use.
//
// A [View] is built once from a valid [config.Deployment] and is immutable, so
// that goroutines can share it without a lock. Services are found by identifier
// or service address, upstreams by identifier or agent address.
//
// # Usage
//
//	v, err := gdconf.New(d)
//	if err != nil {
//		return err // d is not valid
//	}
//	svc, ok := v.ServiceByAddress(addr)
//	for _, u := range svc.Upstreams() {
//		if u.AcceptsNewFlows() { ... }
//	}
package gdconf
