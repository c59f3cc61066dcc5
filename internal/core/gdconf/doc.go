// Package gdconf holds the configuration in force as the decision cores see it.
//
// A [View] is built once from a checked [config.Deployment] and never changes,
// so that it can be shared between goroutines without a lock. Lookups are by
// service identifier, service address or upstream identifier.
//
// # Usage
//
//	v, err := gdconf.New(d)
//	if err != nil {
//		return err // nothing of d is in force
//	}
//	svc, ok := v.ServiceAt(addr)
//	for _, u := range svc.Upstreams() {
//		if u.TakesNew() { ... }
//	}
package gdconf
