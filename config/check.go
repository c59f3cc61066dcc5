package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Check reports everything that is wrong with the deployment as [Problems], or
// nil when nothing is.
func (d Deployment) Check() error {
	c := checker{names: newUnique(), ids: newUnique(), addresses: newUnique()}
	c.deployment(d)
	return c.problems.orNil()
}

var kebab = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether s is a name in kebab case, as deployments, services,
// upstreams, failure domains and processes have.
func ValidName(s string) bool { return kebab.MatchString(s) }

// unique remembers which place took a value first.
type unique map[string]string

func newUnique() unique { return unique{} }

// checker walks a deployment and gathers problems.
type checker struct {
	problems  Problems
	domains   map[string]bool
	names     unique
	ids       unique
	addresses unique
}

func (c *checker) add(place, format string, args ...any) {
	c.problems = append(c.problems, Problem{place: place, reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(place, s string) {
	if !ValidName(s) {
		c.add(place, "name %q is not in kebab case", s)
	}
}

// once reports a value that another place already has.
func (c *checker) once(u unique, place, value string) {
	if first, ok := u[value]; ok {
		c.add(place, "%s is taken by %s", value, first)
		return
	}
	u[value] = place
}

// address wants an address of one host that no other place has. Two ways to
// write an address are the same address.
func (c *checker) address(place, s string) {
	ap, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		c.add(place, "%q is not an IP address with a port", s)
	case ap.Port() == 0:
		c.add(place, "port 0 is not allowed")
	case ap.Addr().IsUnspecified() || ap.Addr().IsMulticast():
		c.add(place, "%q is not the address of one host", s)
	default:
		ap = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
		c.once(c.addresses, place, "address "+ap.String())
	}
}

func (c *checker) between(place string, n, low, high int) {
	if n < low || n > high {
		c.add(place, "%d is not between %d and %d", n, low, high)
	}
}

func (c *checker) deployment(d Deployment) {
	c.name("name", d.Name)
	if d.Revision == 0 {
		c.add("revision", "0 is not allowed")
	}
	c.tokenKeys(d.TokenKeys)
	c.domainList(d.Domains)
	if len(d.Services) == 0 {
		c.add("services", "a deployment needs at least one service")
	}
	for _, s := range d.Services {
		c.service("services."+s.Name, s)
	}
}

func (c *checker) tokenKeys(keys []TokenKey) {
	if len(keys) < 1 || len(keys) > MaxTokenKeys {
		c.add("token-keys", "%d keys are given, 1 to %d are allowed", len(keys), MaxTokenKeys)
	}
	phases, names := newUnique(), newUnique()
	for i, k := range keys {
		place := fmt.Sprintf("token-keys.%d", i)
		c.name(place+".name", k.Name)
		c.once(names, place+".name", "name "+k.Name)
		c.between(place+".phase", int(k.Phase), 0, MaxPhase)
		c.once(phases, place+".phase", fmt.Sprintf("phase %d", k.Phase))
	}
}

func (c *checker) domainList(domains []Domain) {
	c.domains = make(map[string]bool, len(domains))
	if len(domains) == 0 {
		c.add("domains", "a deployment needs at least one failure domain")
	}
	for _, d := range domains {
		place := "domains." + d.Name
		c.name(place, d.Name)
		if c.domains[d.Name] {
			c.add(place, "the failure domain is given twice")
		}
		c.domains[d.Name] = true
		if d.State != "" && d.State != StateIn && d.State != StateOut {
			c.add(place+".state", "%q is neither %q nor %q", d.State, StateIn, StateOut)
		}
	}
}

func (c *checker) service(place string, s Service) {
	c.name(place, s.Name)
	c.once(c.names, place+".name", "service name "+s.Name)
	c.once(c.ids, place+".id", fmt.Sprintf("service id %d", s.ID))
	if s.ID == 0 {
		c.add(place+".id", "0 is not allowed")
	}
	c.address(place+".address", s.Address)
	c.between(place+".priority", s.Priority, 1, maxPriority)
	c.between(place+".drain-seconds", s.DrainSeconds, 0, maxSeconds)
	c.between(place+".ramp-seconds", s.RampSeconds, 0, maxSeconds)
	prefixes := newUnique()
	for i, r := range s.Routes {
		at := fmt.Sprintf("%s.routes.%d", place, i)
		c.route(at, r)
		c.once(prefixes, at+".path-prefix", "path "+r.PathPrefix)
	}
	if len(s.Upstreams) == 0 {
		c.add(place+".upstreams", "a service needs at least one upstream")
	}
	for _, u := range s.Upstreams {
		c.upstream(place+".upstreams."+u.Name, u)
	}
}

func (c *checker) route(place string, r Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(place+".path-prefix", "%q does not start with a slash", r.PathPrefix)
	}
	c.between(place+".priority", r.Priority, 1, maxPriority)
}

func (c *checker) upstream(place string, u Upstream) {
	c.name(place, u.Name)
	c.once(c.names, place+".name", "upstream name "+u.Name)
	c.once(c.ids, place+".id", fmt.Sprintf("upstream id %d", u.ID))
	if u.ID == 0 {
		c.add(place+".id", "0 is not allowed")
	}
	c.address(place+".agent", u.Agent)
	c.between(place+".slots", u.Slots, 1, maxSlots)
	if !c.domains[u.Domain] {
		c.add(place+".domain", "failure domain %q is not declared", u.Domain)
	}
	if u.State != "" && u.State != StateIn && u.State != StateLeaving {
		c.add(place+".state", "%q is neither %q nor %q", u.State, StateIn, StateLeaving)
	}
	if !(u.Weight >= 0 && u.Weight <= maxWeight) { // so that NaN is refused
		c.add(place+".weight", "%g is not between 0 and %d", u.Weight, maxWeight)
	}
}

const (
	// maxPriority is the largest number of a priority, the least urgent one.
	maxPriority = 9
	// maxSeconds bounds the drain and ramp times.
	maxSeconds = 24 * 60 * 60
	// maxSlots bounds the requests that one upstream runs at the same time.
	maxSlots = 100_000
	// maxWeight bounds an upstream's weight.
	maxWeight = 100
)
