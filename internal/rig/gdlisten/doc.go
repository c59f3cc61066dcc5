// Package gdlisten provides the HTTP server on which the rig's simulators are built.
//
// # Usage
//
//	type Platform struct{ gdlisten.HTTP }
//
//	p := &Platform{}
//	if err := p.Listen(); err != nil { // optional: Serve calls Listen if necessary
//		return err
//	}
//	fmt.Println(p.URL())
//	err := p.Serve(ctx, handler)
package gdlisten
