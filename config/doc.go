// Package config describes a deployment and prints, parses, checks and compares its
// configuration.
//
// A deployment is a set of services, each with a public address and a set of
// upstreams in several failure domains. The operator builds a [Deployment] in a Go
// program, and [Print] writes it in a canonical form: equal deployments give equal
// bytes.
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
//		log.Fatal(err) // all problems, each with its place
//	}
//	err := config.Print(os.Stdout, d)
//
// [Diff] lists the differences between two deployments, and [CheckChange] reports
// problems of the change itself, even if both deployments are valid:
//
//	for _, c := range config.Diff(before, after) {
//		fmt.Println(c) // ~ domains.getxo.state: in -> out
//	}
//	err := config.CheckChange(before, after)
//
// # Values
//
// [Split] converts a deployment into the values that the platform stores: one index
// and one value per service, each at most 1 MiB. The index is published last, so
// that a reader of the index finds all values that it lists. [Assemble] is the
// inverse.
//
// # Errors
//
// Each function that checks its input returns all problems as [Problems]. A
// [Problem] names the place in the deployment and, if the deployment was parsed
// from text, the value and the line.
//
// # Secrets
//
// A configuration contains no secrets: it names the token keys, and each process
// derives their bytes from the fleet key in its own settings.
package config
