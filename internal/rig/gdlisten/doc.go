// Package gdlisten provides what the rig listens with: the HTTP server on which its simulators are
// built, and parts of the loopback network that are claimed for one process.
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
//
//	n, err := gdlisten.ClaimNetwork()
//	...
//	defer n.Close()
//	host := n.Addr(1, 1)
package gdlisten
