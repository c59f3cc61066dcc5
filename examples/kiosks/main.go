// Command kiosks prints the configuration of Cumann Luchtaithe Fón na
// hÉireann: bay control with its status feeds and unlock-and-pay, and receipts.
//
//	go run ./examples/kiosks > examples/kiosks/deployment.toml
package main

import (
	"fmt"
	"os"

	"godwitdrift.example/godwitdrift/config"
)

// slots is the number of requests that each upstream processes concurrently.
const slots = 2

// domains are the failure domains in eastern Ireland.
var domains = []string{"dublin", "drogheda", "naas", "bray"}

func main() {
	if err := config.Print(os.Stdout, deployment()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func deployment() config.Deployment {
	d := config.Deployment{
		Name:      "kiosks",
		Revision:  1,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
	}
	for _, name := range domains {
		d.Domains = append(d.Domains, config.Domain{Name: name})
	}
	d.Services = []config.Service{
		{
			Name: "bay-control", ID: 1, Address: "192.0.2.10:443", Priority: 3,
			Routes: []config.Route{
				{PathPrefix: "/unlock", Priority: 1, AtMostOnce: true},
				{PathPrefix: "/feed", Priority: 2, Stream: true},
			},
			RampSeconds: 10,
			Upstreams:   upstreams("bay-control", 100, 7),
		},
		{
			Name: "receipts", ID: 2, Address: "192.0.2.11:443", Priority: 4,
			RampSeconds: 10,
			Upstreams:   upstreams("receipts", 200, 4),
		},
	}
	return d
}

// upstreams returns n upstreams, distributed over the failure domains in turn.
func upstreams(service string, baseID uint32, n int) []config.Upstream {
	out := make([]config.Upstream, n)
	for i := range out {
		number := uint32(i + 1)
		out[i] = config.Upstream{
			Name:   fmt.Sprintf("%s-%d", service, number),
			ID:     baseID + number,
			Domain: domains[i%len(domains)],
			Agent:  fmt.Sprintf("192.0.2.%d:7000", baseID+number-50),
			Slots:  slots,
		}
	}
	return out
}
