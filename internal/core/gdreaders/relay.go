package gdreaders

import (
	"cmp"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// MaxRelayTargets is the number of hosts that a message lists at most: 512 bytes.
	MaxRelayTargets = 128
	// maxRelayFanout is to how many hosts a relay sends a beacon, so that no host's traffic
	// grows with the deployment.
	maxRelayFanout = 16
	// maxDirect is the number of hosts up to which a reader sends its beacons directly.
	maxDirect = 32
	// relayTimeout is how long after its last hello a host serves as a relay.
	relayTimeout = helloInterval + BeaconInterval
)

// Recipient is a host that gets a beacon.
type Recipient struct {
	Address gdflow.Address
	// Targets are the hosts to which the recipient relays the beacon; see [Relay].
	Targets []gdflow.Address
}

func direct(out []Recipient, a gdflow.Address) []Recipient { return append(out, Recipient{Address: a}) }

// addRelays adds the recipients of a reader's beacon for the hosts that it knows.
//
// A reader of a large deployment sends each beacon to one relay of each failure domain, and
// lists the domain's other hosts, for which the relay is responsible. A relay with many
// divides them into groups and makes the first of each responsible for its group: the
// broadcast of the Distributed K-ary System over a list in place of an identifier space.
// Relays keep no state: the reader chooses them anew for each beacon among the hosts from
// which it has just heard. The two readers choose different relays where there are enough
// hosts, so that the loss of a relay costs its hosts one of two beacons until the reader
// notices.
func (e *Election) addRelays(now time.Time) {
	byDomain := make(map[string][]gdflow.Address)
	for a, o := range e.known {
		o.needsBeacon = false
		if now.Sub(o.receivedAt) < relayTimeout {
			byDomain[o.domain] = append(byDomain[o.domain], a)
		} else {
			e.out = direct(e.out, a)
		}
	}
	position := e.count(now).better
	for _, hosts := range byDomain {
		slices.SortFunc(hosts, func(a, b gdflow.Address) int {
			// Readers come last, so that all readers have the others in the same order.
			x, y := e.known[a], e.known[b]
			return cmp.Or(compareBool(x.reading, y.reading), cmp.Compare(x.rank, y.rank), a.AddrPort().Compare(b.AddrPort()))
		})
		e.out = append(e.out, spread(hosts, position)...)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// spread divides the hosts of a failure domain, the best relays first, between as many
// relays as they need. Readers at different positions choose different relays.
func spread(hosts []gdflow.Address, position int) []Recipient {
	relays := (len(hosts) + MaxRelayTargets) / (MaxRelayTargets + 1)
	first := min(position*relays, len(hosts)-relays)
	others := slices.Concat(hosts[:first], hosts[first+relays:])
	out := make([]Recipient, 0, relays)
	for i, a := range hosts[first : first+relays] {
		out = append(out, Recipient{Address: a, Targets: others[i*len(others)/relays : (i+1)*len(others)/relays]})
	}
	return out
}

// Relay returns to whom a relay sends a beacon with the targets: to all of them or, if they
// are many, to the first of each of maxRelayFanout groups, which relays it to the others
// of its group.
func Relay(targets []gdflow.Address) []Recipient {
	groups := min(len(targets), maxRelayFanout)
	out := make([]Recipient, 0, groups)
	for i := range groups {
		group := targets[i*len(targets)/groups : (i+1)*len(targets)/groups]
		out = append(out, Recipient{Address: group[0], Targets: group[1:]})
	}
	return out
}
