package gdsettings

import (
	"net/netip"
)

// LogLevel is the minimum level of the events that a process writes to its log.
type LogLevel string

// The log levels, from the most to the least verbose.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelError LogLevel = "error"
)

const (
	// DefaultMaxFlows is the default maximum number of flows of an agent.
	DefaultMaxFlows = 4000
	// DefaultMaxBodyBufferKiB is the default maximum size of the body of a request
	// with an Idempotency-Key, in KiB.
	DefaultMaxBodyBufferKiB = 64
	// DefaultSockets is the default number of sockets per service address.
	DefaultSockets = 1
	// DefaultHealthPath is the default path of an upstream's health endpoint.
	DefaultHealthPath = "/health"

	maxSockets       = 16
	maxPeers         = 64
	maxFlows         = 1_000_000
	maxBodyBufferKiB = 64 * 1024
)

// Settings is the constraint that the settings types of all kinds of process satisfy.
type Settings interface{ Balancer | Agent }

// Common contains the settings that all kinds of process have.
type Common struct {
	// Name is the name of the process in kebab case. The name of an agent is that of
	// its upstream in the configuration.
	Name string `toml:"name"`
	// Domain is the name of the process's failure domain.
	Domain string `toml:"domain"`
	// NodeAddress is the address at which other processes reach this one: over UDP
	// for envelopes and over TCP for control.
	NodeAddress netip.AddrPort `toml:"node-address"`
	// OperatorAddress is the listen address of the operator port, which uses HTTP.
	OperatorAddress netip.AddrPort `toml:"operator-address"`
	// PlatformURL is the http URL of the platform's configuration service.
	PlatformURL string `toml:"platform"`
	// FleetKeyFile is the name of the file with the fleet key: 32 bytes in
	// hexadecimal.
	FleetKeyFile string `toml:"fleet-key-file"`
	// Peers are a few other processes of the fleet. This process gets the
	// configuration from them if it starts while the platform is unreachable. Peers
	// may be empty, and may include processes that no longer exist.
	Peers []Peer `toml:"peers"`
	// LogLevel defaults to LevelInfo.
	LogLevel LogLevel `toml:"log-level"`
}

// Balancer contains the settings of a balancer.
type Balancer struct {
	Common
	// ListenHost, if valid, replaces the IP address in the listen address of each
	// service; the port remains that of the service.
	ListenHost netip.Addr `toml:"listen-host"`
	// Sockets is the number of sockets per service address.
	Sockets int `toml:"sockets"`
}

// Agent contains the settings of an agent.
type Agent struct {
	Common
	// UpstreamID is the ID of the upstream in the configuration.
	UpstreamID uint32 `toml:"upstream-id"`
	// UpstreamURL is the HTTP URL of the agent's upstream.
	UpstreamURL string `toml:"upstream-url"`
	// HealthPath is the path of the upstream's health endpoint.
	HealthPath string `toml:"health-path"`
	// CertFile is the name of the PEM file with the certificate chain for callers.
	CertFile string `toml:"cert-file"`
	// KeyFile is the name of the PEM file with the certificate's private key.
	KeyFile string `toml:"key-file"`
	// MaxFlows is the maximum number of flows.
	MaxFlows int `toml:"max-flows"`
	// MaxBodyBufferKiB bounds the body of a request with an Idempotency-Key, in
	// KiB. Such a body is buffered until the request has run; others are streamed.
	MaxBodyBufferKiB int `toml:"max-body-buffer-kib"`
}

// FleetKey reads the fleet key. It fails if the file has changed since [Load] and no
// longer contains a key.
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
	k.checkName("name", c.Name)
	k.checkName("domain", c.Domain)
	k.checkAddress("node-address", c.NodeAddress)
	k.checkAddress("operator-address", c.OperatorAddress)
	k.requireDifferent("operator-address", c.OperatorAddress, "node-address", c.NodeAddress)
	k.checkURL("platform", &c.PlatformURL)
	k.checkKeyFile("fleet-key-file", &c.FleetKeyFile)
	k.requireRange("peers", len(c.Peers), 0, maxPeers)
	k.checkLevel("log-level", c.LogLevel)
}

func (b *Balancer) check(k *checker) {
	b.Common.check(k)
	k.requireRange("sockets", b.Sockets, 1, maxSockets)
}

func (a *Agent) check(k *checker) {
	a.Common.check(k)
	if a.UpstreamID == 0 {
		k.addOrMissing("upstream-id", "0 is not allowed")
	}
	k.checkURL("upstream-url", &a.UpstreamURL)
	k.checkPath("health-path", a.HealthPath)
	k.checkKeyPair("cert-file", &a.CertFile, "key-file", &a.KeyFile)
	k.requireRange("max-flows", a.MaxFlows, 1, maxFlows)
	k.requireRange("max-body-buffer-kib", a.MaxBodyBufferKiB, 1, maxBodyBufferKiB)
}
