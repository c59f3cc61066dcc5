package config_test

import (
	"fmt"
	"log"
	"os"
	"strconv"

	"godwitdrift.example/godwitdrift/config"
)

// upstreams returns n upstreams of a service, distributed over the failure domains in
// turn.
func upstreams(service string, firstID uint32, n, slots int, domains []config.Domain) []config.Upstream {
	var out []config.Upstream
	for i := range n {
		id := firstID + uint32(i)
		out = append(out, config.Upstream{
			Name:   service + "-" + strconv.Itoa(i+1),
			ID:     id,
			Domain: domains[i%len(domains)].Name,
			Agent:  fmt.Sprintf("192.0.2.%d:7000", id),
			Slots:  slots,
		})
	}
	return out
}

// rejillaNorte returns Rejilla Norte's deployment: two services, 3 slots per upstream.
func rejillaNorte() config.Deployment {
	domains := []config.Domain{{Name: "bilbao"}, {Name: "getxo"}, {Name: "barakaldo"}, {Name: "durango"}}
	return config.Deployment{
		Name:      "rejilla-norte",
		Revision:  1,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
		Domains:   domains,
		Services: []config.Service{
			{
				Name: "booking", ID: 1, Address: "192.0.2.10:443", Priority: 1,
				Routes:    []config.Route{{PathPrefix: "/repairs", Priority: 1, AtMostOnce: true}},
				Upstreams: upstreams("booking", 101, 7, 3, domains),
			},
			{
				Name: "gallery", ID: 2, Address: "192.0.2.11:443", Priority: 2,
				Upstreams: upstreams("gallery", 121, 4, 3, domains),
			},
		},
	}
}

// kiosks returns the kiosk association's deployment: two services, 2 slots per
// upstream.
func kiosks() config.Deployment {
	domains := []config.Domain{{Name: "dublin"}, {Name: "drogheda"}, {Name: "dundalk"}, {Name: "naas"}}
	return config.Deployment{
		Name:      "kiosks",
		Revision:  1,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
		Domains:   domains,
		Services: []config.Service{
			{
				Name: "bay-control", ID: 1, Address: "192.0.2.20:443", Priority: 2,
				Routes: []config.Route{
					{PathPrefix: "/unlock", Priority: 1, AtMostOnce: true},
					{PathPrefix: "/status", Priority: 2},
				},
				Upstreams: upstreams("bay-control", 101, 7, 2, domains),
			},
			{
				Name: "receipts", ID: 2, Address: "192.0.2.21:443", Priority: 3,
				Upstreams: upstreams("receipts", 121, 4, 2, domains),
			},
		},
	}
}

// An operator takes a failure domain out of service: the program prints the changes
// before it publishes the new revision.
func Example_rejillaNorte() {
	before := rejillaNorte()
	after := rejillaNorte()
	after.Revision++
	after.Domains[1].State = config.StateOut
	if err := config.CheckChange(before, after); err != nil {
		log.Fatal(err)
	}
	for _, c := range config.Diff(before, after) {
		fmt.Println(c)
	}
	values, err := config.Split(after)
	if err != nil {
		log.Fatal(err)
	}
	for _, v := range values { // publish in this order, the index last
		fmt.Println(v.Key())
	}
	// Output:
	// ~ domains.getxo.state: in -> out
	// ~ revision: 1 -> 2
	// service-booking
	// service-gallery
	// index
}

// The kiosk association prints its configuration.
func Example_kiosks() {
	d := kiosks()
	d.Services[0].Upstreams = d.Services[0].Upstreams[:1] // for a short output
	d.Services[1].Upstreams = d.Services[1].Upstreams[:1]
	if err := config.Print(os.Stdout, d); err != nil {
		log.Fatal(err)
	}
	// Output:
	// name = 'kiosks'
	// revision = 1
	//
	// [[token-keys]]
	// phase = 0
	// name = '2026-12'
	//
	// [[domains]]
	// name = 'dublin'
	//
	// [[domains]]
	// name = 'drogheda'
	//
	// [[domains]]
	// name = 'dundalk'
	//
	// [[domains]]
	// name = 'naas'
	//
	// [[services]]
	// name = 'bay-control'
	// id = 1
	// address = '192.0.2.20:443'
	// priority = 2
	//
	// [[services.routes]]
	// path-prefix = '/unlock'
	// priority = 1
	// at-most-once = true
	//
	// [[services.routes]]
	// path-prefix = '/status'
	// priority = 2
	//
	// [[services.upstreams]]
	// name = 'bay-control-1'
	// id = 101
	// domain = 'dublin'
	// agent = '192.0.2.101:7000'
	// slots = 2
	//
	// [[services]]
	// name = 'receipts'
	// id = 2
	// address = '192.0.2.21:443'
	// priority = 3
	//
	// [[services.upstreams]]
	// name = 'receipts-1'
	// id = 121
	// domain = 'dublin'
	// agent = '192.0.2.121:7000'
	// slots = 2
}
