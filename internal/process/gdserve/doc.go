// Package gdserve builds and runs a whole process from its settings: the
// configuration, the balancer or the agent, the operator port and the log.
//
// The parts are wired with a samber/do injector that has one provider for each part,
// so that a part can be replaced without changing the others.
//
// # Usage
//
//	s, err := gdsettings.Load[gdsettings.Balancer](file)
//	err = gdserve.RunBalancer(ctx, s, os.Stderr)
package gdserve
