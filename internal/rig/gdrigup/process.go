package gdrigup

import (
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdchild"
)

// nodeSettings is the content of the settings file of a balancer or an agent.
type nodeSettings struct {
	Name            string   `toml:"name"`
	Domain          string   `toml:"domain"`
	NodeAddress     string   `toml:"node-address"`
	OperatorAddress string   `toml:"operator-address"`
	Platform        string   `toml:"platform"`
	FleetKeyFile    string   `toml:"fleet-key-file"`
	LogLevel        string   `toml:"log-level"`
	Peers           []string `toml:"peers,omitempty"`
	ListenHost      string   `toml:"listen-host,omitempty"`
	UpstreamID      uint32   `toml:"upstream-id,omitempty"`
	UpstreamURL     string   `toml:"upstream-url,omitempty"`
	HealthPath      string   `toml:"health-path,omitempty"`
	CertFile        string   `toml:"cert-file,omitempty"`
	KeyFile         string   `toml:"key-file,omitempty"`
	MaxFlows        int      `toml:"max-flows,omitempty"`
}

// Process is one balancer or agent that the rig has started.
type Process struct {
	*gdchild.Child
	role     string
	settings nodeSettings
}

// Role returns "balancer" or "agent".
func (p *Process) Role() string { return p.role }

// Domain returns the process's failure domain.
func (p *Process) Domain() string { return p.settings.Domain }

// OperatorAddress returns the process's operator address.
func (p *Process) OperatorAddress() string { return p.settings.OperatorAddress }

// spawn writes the settings file to dir and starts the process.
func spawn(binary, dir, role string, s nodeSettings) (*Process, error) {
	data, err := toml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings of "+s.Name)
	}
	file := filepath.Join(dir, s.Name+".toml")
	if err := os.WriteFile(file, data, secretFileMode); err != nil {
		return nil, errors.Wrap(err, "write settings of "+s.Name)
	}
	c, err := gdchild.Start(s.Name, filepath.Join(dir, s.Name+".log"), binary, role, "--settings", file)
	if err != nil {
		return nil, err
	}
	return &Process{Child: c, role: role, settings: s}, nil
}
