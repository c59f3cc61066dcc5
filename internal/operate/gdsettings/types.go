package gdsettings

import (
	"net/netip"
)

// LogLevel is the least urgent level that a process writes to its log.
type LogLevel string

// The log levels, from the one with most events to the one with fewest.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelError LogLevel = "error"
)

const (
	// DefaultMaxFlows is the number of flows that an agent holds at most.
	DefaultMaxFlows = 4000
	// DefaultMaxBodyBufferKiB is the largest body of a request with an
	// Idempotency-Key, in KiB.
	DefaultMaxBodyBufferKiB = 64
	// DefaultSockets is the number of sockets for each service address.
	DefaultSockets = 1
	// DefaultHealthPath is the path of an upstream's health endpoint.
	DefaultHealthPath = "/health"

	maxSockets       = 16
	maxPeers         = 64
	maxFlows         = 1_000_000
	maxBodyBufferKiB = 64 * 1024
)

// Settings are the settings of one kind of process.
type Settings interface{ Balancer | Agent }

// Common holds the settings that every process has.
type Common struct {
	// Name is the process's own name in kebab case. An agent has the name of its
	// upstream, by which the configuration tells the other processes of it.
	Name string `toml:"name"`
	// Domain is the name of the failure domain in which the process runs.
	Domain string `toml:"domain"`
	// NodeAddress is where the other processes reach this one: over UDP for
	// envelopes and over TCP for control.
	NodeAddress netip.AddrPort `toml:"node-address"`
	// OperatorAddress is where the operator reaches the process over HTTP.
	OperatorAddress netip.AddrPort `toml:"operator-address"`
	// PlatformURL is the http URL of the platform's configuration service.
	PlatformURL string `toml:"platform"`
	// FleetKeyFile names the file with the fleet's key: 32 bytes in hexadecimal.
	FleetKeyFile string `toml:"fleet-key-file"`
	// Peers are a few other processes of the fleet, from which this one gets the
	// configuration if it starts while the platform is out of reach. It may be
	// empty; a peer that is gone does no harm.
	Peers []Peer `toml:"peers"`
	// LogLevel defaults to LevelInfo.
	LogLevel LogLevel `toml:"log-level"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// ListenHost, if it is valid, takes the place of the IP in each service's
	// address; the service's port is kept.
	ListenHost netip.Addr `toml:"listen-host"`
	// Sockets is the number of sockets opened for each service address.
	Sockets int `toml:"sockets"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// UpstreamID is the identifier that the configuration gives the upstream.
	UpstreamID uint32 `toml:"upstream-id"`
	// UpstreamURL is the http URL of the upstream beside the agent.
	UpstreamURL string `toml:"upstream-url"`
	// HealthPath is the path of the upstream's health endpoint.
	HealthPath string `toml:"health-path"`
	// CertFile names the PEM file with the certificate chain shown to callers.
	CertFile string `toml:"cert-file"`
	// KeyFile names the PEM file with the certificate's private key.
	KeyFile string `toml:"key-file"`
	// MaxFlows is the number of flows held at most.
	MaxFlows int `toml:"max-flows"`
	// MaxBodyBufferKiB bounds the body of a request with an Idempotency-Key, in
	// KiB. It is held until the request has run; other bodies are streamed.
	MaxBodyBufferKiB int `toml:"max-body-buffer-kib"`
}

// FleetKey reads the fleet's key. It fails when the file has changed since
// [Load] and is no longer a key.
func (c Common) FleetKey() (Key, error) { return ReadKey(c.FleetKeyFile) }

func (c *Common) setDefaults() { c.LogLevel = LevelInfo }

func (b *Balancer) setDefaults() {
	b.Common.setDefaults()
	b.Sockets = DefaultSockets
}

func (a *Agent) setDefaults() {
	a.Common.setDefaults()
	a.HealthPath = DefaultHealthPath
	a.MaxFlows = DefaultMaxFlows
	a.MaxBodyBufferKiB = DefaultMaxBodyBufferKiB
}

func (c *Common) check(k *checker) {
	k.name("name", c.Name)
	k.name("domain", c.Domain)
	k.address("node-address", c.NodeAddress)
	k.address("operator-address", c.OperatorAddress)
	k.different("operator-address", c.OperatorAddress, "node-address", c.NodeAddress)
	k.url("platform", &c.PlatformURL)
	k.keyFile("fleet-key-file", &c.FleetKeyFile)
	k.between("peers", len(c.Peers), 0, maxPeers)
	k.level("log-level", c.LogLevel)
}

func (b *Balancer) check(k *checker) {
	b.Common.check(k)
	k.between("sockets", b.Sockets, 1, maxSockets)
}

func (a *Agent) check(k *checker) {
	a.Common.check(k)
	if a.UpstreamID == 0 {
		k.missingOr("upstream-id", "0 is not allowed")
	}
	k.url("upstream-url", &a.UpstreamURL)
	k.path("health-path", a.HealthPath)
	k.keyPair("cert-file", &a.CertFile, "key-file", &a.KeyFile)
	k.between("max-flows", a.MaxFlows, 1, maxFlows)
	k.between("max-body-buffer-kib", a.MaxBodyBufferKiB, 1, maxBodyBufferKiB)
}
