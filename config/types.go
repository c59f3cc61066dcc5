package config

// State is the administrative state of a failure domain or an upstream.
type State string

const (
	// StateIn is the state of a failure domain or an upstream in service. The
	// empty string means the same.
	StateIn State = "in"
	// StateLeaving is the state of an upstream that receives no new flows or requests
	// while its established flows continue.
	StateLeaving State = "leaving"
	// StateOut is the state of a failure domain out of service: none of its upstreams
	// receives any packet.
	StateOut State = "out"
)

// Deployment is the whole configuration of one operator. Its zero value is not
// valid; see [Deployment.Check].
type Deployment struct {
	// Name is the deployment's name in kebab case.
	Name string `toml:"name" cbor:"1,keyasint"`
	// Revision increases by at least one with each published change.
	Revision uint64 `toml:"revision" cbor:"2,keyasint"`
	// TokenKeys are the keys that seal route tokens, at most MaxTokenKeys. New tokens
	// are sealed with the first key; tokens sealed with any of the keys are accepted.
	TokenKeys []TokenKey `toml:"token-keys" cbor:"3,keyasint"`
	// Domains are the failure domains.
	Domains []Domain `toml:"domains" cbor:"4,keyasint"`
	// Services are the services with their upstreams.
	Services []Service `toml:"services" cbor:"5,keyasint"`
}

// TokenKey names a key for route tokens. Its bytes are derived from the fleet key,
// so that the configuration contains no secret.
type TokenKey struct {
	// Phase, from 0 to 3, identifies the key in each token. No two keys of a
	// deployment have the same phase.
	Phase uint8 `toml:"phase" cbor:"1,keyasint"`
	// Name is an input to the derivation of the key.
	Name string `toml:"name" cbor:"2,keyasint"`
}

// Domain is a failure domain.
type Domain struct {
	// Name is the domain's name in kebab case.
	Name string `toml:"name" cbor:"1,keyasint"`
	// State is StateIn or StateOut.
	State State `toml:"state,omitempty" cbor:"2,keyasint,omitempty"`
}

// Service is a public address, the service address, with its upstreams.
type Service struct {
	// Name is the service's name in kebab case.
	Name string `toml:"name" cbor:"1,keyasint"`
	// ID identifies the service in route tokens. It must never be reused for another
	// service.
	ID uint16 `toml:"id" cbor:"2,keyasint"`
	// Address is the address and port to which callers send, such as
	// "192.0.2.10:443".
	Address string `toml:"address" cbor:"3,keyasint"`
	// Priority orders requests when capacity is short; 1 is the highest priority.
	Priority int `toml:"priority" cbor:"4,keyasint"`
	// Routes set the priority of single paths, for example to admit unlock-and-pay
	// before status feeds.
	Routes []Route `toml:"routes,omitempty" cbor:"5,keyasint,omitempty"`
	// DrainSeconds is the time for which a leaving or stopping upstream may finish
	// its requests. Zero means DefaultDrainSeconds.
	DrainSeconds int `toml:"drain-seconds,omitempty" cbor:"6,keyasint,omitempty"`
	// RampSeconds is the duration of slow start: the time in which an upstream that
	// returns to service reaches its full share. Zero means DefaultRampSeconds.
	RampSeconds int `toml:"ramp-seconds,omitempty" cbor:"7,keyasint,omitempty"`
	// Upstreams are the service's upstreams.
	Upstreams []Upstream `toml:"upstreams" cbor:"8,keyasint"`
}

// Route sets the priority and kind of the requests with one path prefix.
type Route struct {
	// PathPrefix is a prefix of the request path.
	PathPrefix string `toml:"path-prefix" cbor:"1,keyasint"`
	// Priority orders requests when capacity is short; 1 is the highest priority.
	Priority int `toml:"priority" cbor:"2,keyasint"`
	// AtMostOnce marks requests that must not run twice. They need an
	// Idempotency-Key.
	AtMostOnce bool `toml:"at-most-once,omitempty" cbor:"3,keyasint,omitempty"`
	// Stream marks requests with long-lived responses, such as live feeds. They
	// occupy a slot only until the response begins.
	Stream bool `toml:"stream,omitempty" cbor:"4,keyasint,omitempty"`
}

// Upstream is one server of a service, with its agent.
type Upstream struct {
	// Name is the upstream's name in kebab case, unique in the deployment.
	Name string `toml:"name" cbor:"1,keyasint"`
	// ID identifies the upstream in route tokens. It must never be reused for another
	// upstream, even if that one reuses the address.
	ID uint32 `toml:"id" cbor:"2,keyasint"`
	// Domain is the name of the upstream's failure domain.
	Domain string `toml:"domain" cbor:"3,keyasint"`
	// State is StateIn or StateLeaving.
	State State `toml:"state,omitempty" cbor:"4,keyasint,omitempty"`
	// Agent is the address and port of the agent: UDP for packets and TCP for
	// control.
	Agent string `toml:"agent" cbor:"5,keyasint"`
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int `toml:"slots" cbor:"6,keyasint"`
	// Weight scales the upstream's share of new flows. Zero means 1.
	Weight float64 `toml:"weight,omitempty" cbor:"7,keyasint,omitempty"`
}

const (
	// DefaultDrainSeconds is the drain time of a service that doesn't set one.
	DefaultDrainSeconds = 30
	// DefaultRampSeconds is the duration of slow start of a service that doesn't set
	// one.
	DefaultRampSeconds = 20
	// MaxValueBytes is the maximum size of a value on the platform.
	MaxValueBytes = 1 << 20
	// MaxPhase is the highest phase of a token key.
	MaxPhase = 3
	// MaxTokenKeys is the maximum number of token keys, one per phase. An old key can
	// remain while flows with tokens that it sealed are open.
	MaxTokenKeys = MaxPhase + 1
	// MaxUpstreamID is the highest upstream ID that fits into a token.
	MaxUpstreamID = 1<<32 - 1
)
