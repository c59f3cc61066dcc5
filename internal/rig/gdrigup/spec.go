package gdrigup

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

// File names in a deployment's directory.
const (
	deploymentFile = "deployment.toml"
	rigFile        = "rig.toml"
)

// Spec describes what the rig runs: a deployment and the settings of the simulators.
type Spec struct {
	Deployment config.Deployment
	Settings   Settings
}

// Settings are the rig's settings, from rig.toml.
type Settings struct {
	// Balancers is the number of balancers, spread over the failure domains.
	Balancers int `toml:"balancers"`
	// CallerDelayMS is the one-way delay between callers and balancers.
	CallerDelayMS float64 `toml:"caller-delay-ms"`
	// DomainDelayMS is the one-way delay between failure domains.
	DomainDelayMS float64 `toml:"domain-delay-ms"`
	// ServiceTimeMS is the time that an upstream needs for a request.
	ServiceTimeMS float64 `toml:"service-time-ms"`
	// WarmUpSeconds is the time in which the capacity of a cold upstream grows to all
	// its slots.
	WarmUpSeconds float64 `toml:"warm-up-seconds"`
	// PlatformLagMS is the delay until a published value can be read.
	PlatformLagMS float64 `toml:"platform-lag-ms"`
	// MaxFlows is the largest number of flows that an agent holds; zero means the
	// agent's default.
	MaxFlows int `toml:"max-flows"`
	// Seed seeds all random choices of the simulators.
	Seed uint64 `toml:"seed"`
	// Load is the load of a demo, with one row for each service.
	Load []LoadRow `toml:"load"`
}

// LoadRow is the load on one service. EchoFlows, FeedFlows and OnceFlows are numbers
// of flows.
type LoadRow struct {
	Service    string  `toml:"service"`
	EchoFlows  int     `toml:"echo"`
	FeedFlows  int     `toml:"feeds"`
	OnceFlows  int     `toml:"once"`
	OncePath   string  `toml:"once-path"`
	IntervalMS float64 `toml:"interval-ms"`
}

// ReadSpec reads deployment.toml and rig.toml from the directory.
func ReadSpec(dir string) (Spec, error) {
	data, err := os.ReadFile(filepath.Join(dir, deploymentFile))
	if err != nil {
		return Spec{}, errors.Wrap(err, "read deployment")
	}
	var s Spec
	if s.Deployment, err = config.Parse(data); err != nil {
		return Spec{}, errors.Wrap(err, filepath.Join(dir, deploymentFile))
	}
	data, err = os.ReadFile(filepath.Join(dir, rigFile))
	if err != nil {
		return Spec{}, errors.Wrap(err, "read rig settings")
	}
	err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&s.Settings)
	if err != nil {
		return Spec{}, errors.Wrap(err, filepath.Join(dir, rigFile))
	}
	return s, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
