package config

// State says whether a failure domain or an upstream takes new work.
type State string

const (
	// StateIn is the state of a failure domain or an upstream in service. The
	// empty string means the same.
	StateIn State = "in"
	// StateLeaving is the state of an upstream that gets no new work while its
	// established flows live on.
	StateLeaving State = "leaving"
	// StateOut is the state of a failure domain that must get no packet at all.
	StateOut State = "out"
)

// Deployment is the whole configuration of one operator. Its zero value is not
// valid; see [Deployment.Check].
type Deployment struct {
	// Name is the deployment's name in kebab case.
	Name string `toml:"name" cbor:"1,keyasint"`
	// Revision grows by at least one with every published change.
	Revision uint64 `toml:"revision" cbor:"2,keyasint"`
	// TokenKeys are the keys that seal route tokens, MaxTokenKeys at most. Tokens
	// are issued under the first and accepted under each.
	TokenKeys []TokenKey `toml:"token-keys" cbor:"3,keyasint"`
	// Domains are the failure domains.
	Domains []Domain `toml:"domains" cbor:"4,keyasint"`
	// Services are the services with their upstreams.
	Services []Service `toml:"services" cbor:"5,keyasint"`
}

// TokenKey names a key for route tokens. Its bytes are derived from the fleet
// key, so that the configuration holds no secret.
type TokenKey struct {
	// Phase is 0 to 3 and stands in each token. Two keys in force never share one.
	Phase uint8 `toml:"phase" cbor:"1,keyasint"`
	// Name is mixed into the derivation of the key.
	Name string `toml:"name" cbor:"2,keyasint"`
}

// Domain is a failure domain.
type Domain struct {
	// Name is the domain's name in kebab case.
	Name string `toml:"name" cbor:"1,keyasint"`
	// State is StateIn or StateOut.
	State State `toml:"state,omitempty" cbor:"2,keyasint,omitempty"`
}

// Service is a public address with its upstreams.
type Service struct {
	// Name is the service's name in kebab case.
	Name string `toml:"name" cbor:"1,keyasint"`
	// ID identifies the service in route tokens. It is never given to another
	// service.
	ID uint16 `toml:"id" cbor:"2,keyasint"`
	// Address is the address and port to which callers send, such as
	// "192.0.2.10:443".
	Address string `toml:"address" cbor:"3,keyasint"`
	// Priority orders work when capacity is short: 1 goes first.
	Priority int `toml:"priority" cbor:"4,keyasint"`
	// Routes give single paths a priority of their own, such as unlock-and-pay
	// before status feeds.
	Routes []Route `toml:"routes,omitempty" cbor:"5,keyasint,omitempty"`
	// DrainSeconds is the time that a leaving or stopping upstream has to finish
	// its requests. Zero means DefaultDrainSeconds.
	DrainSeconds int `toml:"drain-seconds,omitempty" cbor:"6,keyasint,omitempty"`
	// RampSeconds is the time over which a returning upstream comes back to its
	// full share. Zero means DefaultRampSeconds.
	RampSeconds int `toml:"ramp-seconds,omitempty" cbor:"7,keyasint,omitempty"`
	// Upstreams are the service's upstreams.
	Upstreams []Upstream `toml:"upstreams" cbor:"8,keyasint"`
}

// Route gives the requests below one path prefix a priority of their own.
type Route struct {
	// PathPrefix is compared with the start of the request's path.
	PathPrefix string `toml:"path-prefix" cbor:"1,keyasint"`
	// Priority orders work when capacity is short: 1 goes first.
	Priority int `toml:"priority" cbor:"2,keyasint"`
	// AtMostOnce marks requests that may not be repeated: they need an
	// Idempotency-Key.
	AtMostOnce bool `toml:"at-most-once,omitempty" cbor:"3,keyasint,omitempty"`
	// Stream marks requests whose answers stay open, such as live feeds. They
	// hold a slot only until the answer begins.
	Stream bool `toml:"stream,omitempty" cbor:"4,keyasint,omitempty"`
}

// Upstream is one back end with the agent beside it.
type Upstream struct {
	// Name is the upstream's name in kebab case, unique in the deployment.
	Name string `toml:"name" cbor:"1,keyasint"`
	// ID identifies the upstream in route tokens. It is never given to another
	// upstream, also when an address is used again.
	ID uint32 `toml:"id" cbor:"2,keyasint"`
	// Domain is the name of the failure domain in which it runs.
	Domain string `toml:"domain" cbor:"3,keyasint"`
	// State is StateIn or StateLeaving.
	State State `toml:"state,omitempty" cbor:"4,keyasint,omitempty"`
	// Agent is the address and port of the agent, used over UDP for packets and
	// over TCP for control.
	Agent string `toml:"agent" cbor:"5,keyasint"`
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int `toml:"slots" cbor:"6,keyasint"`
	// Weight scales the upstream's share of new flows. Zero means 1.
	Weight float64 `toml:"weight,omitempty" cbor:"7,keyasint,omitempty"`
}

const (
	// DefaultDrainSeconds is the drain time of a service that states none.
	DefaultDrainSeconds = 30
	// DefaultRampSeconds is the ramp time of a service that states none.
	DefaultRampSeconds = 20
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
	// MaxPhase is the largest key phase.
	MaxPhase = 3
	// MaxTokenKeys is the number of token keys in force at the same time: one for
	// each phase, so that an old key can stay while flows that it sealed are open.
	MaxTokenKeys = MaxPhase + 1
	// MaxUpstreamID is the largest upstream identifier that a token can carry.
	MaxUpstreamID = 1<<32 - 1
)
