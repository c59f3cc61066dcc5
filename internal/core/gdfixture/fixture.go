// Package gdfixture creates deployments for tests and benchmarks of the cores.
//
// # Usage
//
//	d := gdfixture.Deployment(2, 7) // two services of seven upstreams each
//	v := gdfixture.View(d)
package gdfixture

import (
	"fmt"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// domains is the number of failure domains of a deployment.
const domains = 4

// Deployment returns a valid deployment with the given number of services and
// of upstreams in each service. Service i has the identifier i+1. Its upstream
// j has the identifier (i+1)*100+j+1 and is in failure domain "domain-"
// followed by j modulo 4.
func Deployment(services, upstreams int) config.Deployment {
	d := config.Deployment{
		Name: "fixture", Revision: 1,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "first"}},
	}
	for i := range domains {
		d.Domains = append(d.Domains, config.Domain{Name: DomainName(i)})
	}
	for i := range services {
		d.Services = append(d.Services, service(i, upstreams))
	}
	return d
}

// DomainName returns the name of failure domain i.
func DomainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func service(i, upstreams int) config.Service {
	s := config.Service{
		Name: fmt.Sprintf("service-%d", i+1), ID: uint16(i + 1), Priority: 1,
		Address: fmt.Sprintf("10.%d.%d.1:443", i/200, i%200),
	}
	for j := range upstreams {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: fmt.Sprintf("service-%d-%d", i+1, j+1), ID: uint32((i+1)*100 + j + 1),
			Domain: DomainName(j % domains), Slots: 3,
			Agent: fmt.Sprintf("10.%d.%d.%d:7000", i/200, i%200, 10+j),
		})
	}
	return s
}

// View returns the view of a deployment. It panics if the deployment is not
// valid, since that is a fault of the test.
func View(d config.Deployment) *gdconf.View {
	v, err := gdconf.New(d)
	if err != nil {
		panic(err)
	}
	return v
}
