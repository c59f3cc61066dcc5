// Package gdrigup starts a whole deployment on one machine: the stand-ins of
// the platform, the fabric and the upstreams in this process, and each balancer
// and agent as a child process.
//
// Settings, a certificate authority, the services' certificates and the fleet
// key go into a temporary directory, which Stop removes. Only the children that
// the rig has started are ever signalled, by their process handle.
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
// Service addresses are free ports of 127.0.0.1, held by the fabric. Agents and
// balancers get loopback addresses that are derived from the process id, so that
// several rigs can run at the same time.
package gdrigup
