// Package config is the library with which operators describe a deployment
// and print its configuration.
//
// A deployment is a set of services, each with a public address and a set of
// upstreams that are spread over failure domains. The operator builds a
// [Deployment] from typed values, and [Print] writes it in a canonical form:
// the same input gives the same bytes.
//
// # Usage
//
//	d := config.Deployment{
//		Name:     "rejilla-norte",
//		Revision: 12,
//		Domains:  []config.Domain{{Name: "bilbao"}, {Name: "getxo"}},
//		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
//		Services: []config.Service{{
//			Name: "booking", ID: 1, Address: "192.0.2.10:443", Priority: 1,
//			Upstreams: []config.Upstream{
//				{Name: "booking-1", ID: 101, Domain: "bilbao", Agent: "192.0.2.21:7000", Slots: 3},
//			},
//		}},
//	}
//	if err := d.Check(); err != nil {
//		log.Fatal(err) // every error at once, each with its place
//	}
//	err := config.Print(os.Stdout, d)
//
// [Diff] lists what a change does, and [CheckChange] finds what would go wrong
// with it although the new deployment is valid alone:
//
//	for _, c := range config.Diff(before, after) {
//		fmt.Println(c) // ~ domains.getxo.state: in -> out
//	}
//	err := config.CheckChange(before, after)
//
// # Values
//
// [Split] cuts a deployment into the values that the platform stores: one index,
// and one value for each service, all below a megabyte. The index goes last, so
// that a reader who sees it finds the values that it names. [Assemble] puts them
// together again.
//
// # Errors
//
// Every function that checks gathers all it finds in [Problems]. Each [Problem]
// names the place, and the value and line where the deployment was read from
// text.
//
// # Secrets
//
// Secrets never appear here: a token key is named, and each process derives its
// bytes from the fleet key in its own settings.
package config
