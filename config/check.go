package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Check returns all problems of the deployment as [Problems], or nil if it is valid.
func (d Deployment) Check() error {
	c := checker{names: newUniqueSet(), ids: newUniqueSet(), addresses: newUniqueSet()}
	c.deployment(d)
	return c.problems.errorOrNil()
}

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether s is in kebab case, as the names of deployments, services,
// upstreams, failure domains and processes must be.
func ValidName(s string) bool { return kebabCase.MatchString(s) }

// uniqueSet maps each value to the place that used it first.
type uniqueSet map[string]string

func newUniqueSet() uniqueSet { return uniqueSet{} }

// checker checks a deployment and collects its problems.
type checker struct {
	problems  Problems
	domains   map[string]bool
	names     uniqueSet
	ids       uniqueSet
	addresses uniqueSet
}

func (c *checker) add(place, format string, args ...any) {
	c.problems = append(c.problems, Problem{place: place, reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(place, s string) {
	if !ValidName(s) {
		c.add(place, "name %q is not in kebab case", s)
	}
}

// requireUnique reports a value that another place already uses.
func (c *checker) requireUnique(u uniqueSet, place, value string) {
	if first, ok := u[value]; ok {
		c.add(place, "%s is already used by %s", value, first)
		return
	}
	u[value] = place
}

// checkAddress requires the address of a single host that no other place uses.
// Addresses are compared in canonical form.
func (c *checker) checkAddress(place, s string) {
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
		c.requireUnique(c.addresses, place, "address "+ap.String())
	}
}

func (c *checker) requireRange(place string, n, low, high int) {
	if n < low || n > high {
		c.add(place, "%d is not between %d and %d", n, low, high)
	}
}

func (c *checker) deployment(d Deployment) {
	c.checkName("name", d.Name)
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
		c.add("token-keys", "%d keys, but 1 to %d are allowed", len(keys), MaxTokenKeys)
	}
	phases, names := newUniqueSet(), newUniqueSet()
	for i, k := range keys {
		place := fmt.Sprintf("token-keys.%d", i)
		c.checkName(place+".name", k.Name)
		c.requireUnique(names, place+".name", "name "+k.Name)
		c.requireRange(place+".phase", int(k.Phase), 0, MaxPhase)
		c.requireUnique(phases, place+".phase", fmt.Sprintf("phase %d", k.Phase))
	}
}

func (c *checker) domainList(domains []Domain) {
	c.domains = make(map[string]bool, len(domains))
	if len(domains) == 0 {
		c.add("domains", "a deployment needs at least one failure domain")
	}
	for _, d := range domains {
		place := "domains." + d.Name
		c.checkName(place, d.Name)
		if c.domains[d.Name] {
			c.add(place, "the failure domain is declared twice")
		}
		c.domains[d.Name] = true
		if d.State != "" && d.State != StateIn && d.State != StateOut {
			c.add(place+".state", "%q is neither %q nor %q", d.State, StateIn, StateOut)
		}
	}
}

func (c *checker) service(place string, s Service) {
	c.checkName(place, s.Name)
	c.requireUnique(c.names, place+".name", "service name "+s.Name)
	c.requireUnique(c.ids, place+".id", fmt.Sprintf("service id %d", s.ID))
	if s.ID == 0 {
		c.add(place+".id", "0 is not allowed")
	}
	c.checkAddress(place+".address", s.Address)
	c.requireRange(place+".priority", s.Priority, 1, maxPriority)
	c.requireRange(place+".drain-seconds", s.DrainSeconds, 0, maxSeconds)
	c.requireRange(place+".ramp-seconds", s.RampSeconds, 0, maxSeconds)
	prefixes := newUniqueSet()
	for i, r := range s.Routes {
		at := fmt.Sprintf("%s.routes.%d", place, i)
		c.route(at, r)
		c.requireUnique(prefixes, at+".path-prefix", "path "+r.PathPrefix)
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
	c.requireRange(place+".priority", r.Priority, 1, maxPriority)
}

func (c *checker) upstream(place string, u Upstream) {
	c.checkName(place, u.Name)
	c.requireUnique(c.names, place+".name", "upstream name "+u.Name)
	c.requireUnique(c.ids, place+".id", fmt.Sprintf("upstream id %d", u.ID))
	if u.ID == 0 {
		c.add(place+".id", "0 is not allowed")
	}
	c.checkAddress(place+".agent", u.Agent)
	c.requireRange(place+".slots", u.Slots, 1, maxSlots)
	if !c.domains[u.Domain] {
		c.add(place+".domain", "failure domain %q is not declared", u.Domain)
	}
	if u.State != "" && u.State != StateIn && u.State != StateLeaving {
		c.add(place+".state", "%q is neither %q nor %q", u.State, StateIn, StateLeaving)
	}
	if !(u.Weight >= 0 && u.Weight <= maxWeight) { // the negation also rejects NaN
		c.add(place+".weight", "%g is not between 0 and %d", u.Weight, maxWeight)
	}
}

const (
	// maxPriority is the highest number of a priority, which is the lowest priority.
	maxPriority = 9
	// maxSeconds bounds the drain time and the duration of slow start.
	maxSeconds = 24 * 60 * 60
	// maxSlots bounds the number of slots of an upstream.
	maxSlots = 100_000
	// maxWeight bounds the weight of an upstream.
	maxWeight = 100
)
