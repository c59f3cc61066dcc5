// Package gdplatform is a read-only HTTP client of the operators' platform. It reads
// values by key and the list of hosts.
//
// Each response is bounded in size and time. For chosen keys the client stores the
// ETag, so that the platform sends no body for an unchanged value.
//
// # Usage
//
//	c := &gdplatform.Client{URL: "http://192.0.2.5:8500"}
//	v, err := c.ReadValue(ctx, "index")
//	if err != nil {
//		return err // names the operation and the platform's URL
//	}
//	if !v.Unchanged() {
//		use(v.Data())
//	}
package gdplatform
