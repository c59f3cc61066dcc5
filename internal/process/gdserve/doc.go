// Package gdserve puts a whole process together from its settings: the
// configuration, the balancer or the agent, the operator port and the log.
//
// The parts are wired with a samber/do injector, one provider for each, so that
// a part can be replaced without touching the others.
//
// # Usage
//
//	s, err := gdsettings.Load[gdsettings.Balancer](file)
//	err = gdserve.Balancer(ctx, s, os.Stderr)
package gdserve
