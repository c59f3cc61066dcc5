// Package gdlisten holds the HTTP listener that the rig's stand-ins share.
//
// # Usage
//
//	type Platform struct{ gdlisten.HTTP }
//
//	p := &Platform{}
//	if err := p.Listen(); err != nil { // optional: Serve listens when needed
//		return err
//	}
//	fmt.Println(p.URL())
//	err := p.Serve(ctx, handler)
package gdlisten
