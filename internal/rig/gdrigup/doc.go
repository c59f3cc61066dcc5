// Package gdrigup starts a whole deployment on one machine: simulators of the
// platform, the fabric and the upstreams in this process, and each balancer and
// agent as a child process.
//
// The processes' settings and logs, a certificate authority, the services'
// certificates and the fleet key are written to a temporary directory, which Stop
// removes. The rig signals only processes that it has started, by their process
// handle.
//
// # Usage
//
//	spec, err := gdrigup.ReadSpec("examples/rejilla-norte")
//	if err != nil {
//		return err
//	}
//	rig := &gdrigup.Rig{Spec: spec, Binary: "bin/godwitdrift"}
//	if err := rig.Start(ctx); err != nil {
//		return err
//	}
//	defer rig.Stop()
//	for _, s := range rig.Services() {
//		fmt.Println("SERVICE", s.Name, s.Addr, rig.CAFile())
//	}
//
// # Addresses
//
// The fabric listens for each service on a free port of 127.0.0.1. Agents and
// balancers get loopback addresses derived from the process id, so that several
// rigs can run at the same time.
package gdrigup
