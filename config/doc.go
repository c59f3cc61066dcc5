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
// # Layers
//
// The types of this file's package are plain data. [Deployment.Check] looks at
// them without any input or output, and [Split] cuts a deployment into the
// values that the platform stores: one index, and one value for each service.
// Secrets never appear here: a token key is named, and each process derives
// its bytes from the fleet key in its own settings.
package config
