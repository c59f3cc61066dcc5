// Package gdplatform reads the operators' platform over HTTP: values by key and
// the list of hosts. It only ever reads.
//
// Each answer is bounded in size and in time. The client remembers the ETag of
// each value of which it is told to, so that an unchanged value costs the
// platform a call but no body.
//
// # Usage
//
//	c := &gdplatform.Client{URL: "http://192.0.2.5:8500"}
//	v, err := c.ReadValue(ctx, "index")
//	if err != nil {
//		return err // carries the step and the platform's address
//	}
//	if !v.Unchanged() {
//		use(v.Data())
//	}
package gdplatform
