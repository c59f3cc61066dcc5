package gdfaultproxy

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxDatagram is the longest datagram, in bytes.
	maxDatagram = 2048
	// lateTime is how late datagrams come that change their order.
	lateTime = 15 * time.Millisecond
)

// DatagramFaults are what happens to the datagrams of one host.
type DatagramFaults struct {
	// Loss, Duplication and Reordering are the shares that are lost, come twice, or come late.
	Loss, Duplication, Reordering float64
	// DropIn and DropOut lose all that the host is sent, or sends.
	DropIn, DropOut bool
}

// DatagramProxy relays datagrams between hosts that know each other only at addresses of
// the relay. Its exported fields are set before the first call.
type DatagramProxy struct {
	// Rand draws which datagrams are harmed.
	Rand *rand.Rand

	mu     sync.Mutex
	hosts  map[netip.AddrPort]*host
	harmed map[string]int
}

// host is one that datagrams come from and go to.
type host struct {
	at     netip.AddrPort
	seen   *net.UDPConn
	faults DatagramFaults
}

// Add relays what other hosts send to the address at which they see the host.
func (d *DatagramProxy) Add(at, seen netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(seen))
	if err != nil {
		return errors.Wrapf(err, "relay for %s", at)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts == nil {
		d.hosts, d.harmed = make(map[netip.AddrPort]*host), make(map[string]int)
	}
	h := &host{at: at, seen: c}
	d.hosts[at] = h
	go d.read(h)
	return nil
}

// Remove ends the relay to a host.
func (d *DatagramProxy) Remove(at netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[at]
	if !ok {
		return nil
	}
	delete(d.hosts, at)
	return errors.Wrapf(h.seen.Close(), "end relay for %s", at)
}

// Close ends all relays.
func (d *DatagramProxy) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first error
	for _, h := range d.hosts {
		if err := h.seen.Close(); first == nil {
			first = err
		}
	}
	d.hosts = nil
	return errors.Wrap(first, "end relays")
}

// SetFaults sets what happens to the datagrams from and to a host.
func (d *DatagramProxy) SetFaults(at netip.AddrPort, f DatagramFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[at]; h != nil {
		h.faults = f
	}
}

// FaultCounts returns how many datagrams were lost, doubled, late or cut.
func (d *DatagramProxy) FaultCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.harmed)
}

// read relays the datagrams to one host until its socket is closed.
func (d *DatagramProxy) read(to *host) {
	b := make([]byte, maxDatagram)
	for {
		n, source, err := to.seen.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram found nobody
		}
		from, copies, late := d.harm(source, to)
		for range copies {
			if late {
				data := append([]byte(nil), b[:n]...)
				time.AfterFunc(lateTime, func() { send(from, data, to.at) })
				continue
			}
			send(from, b[:n], to.at)
		}
	}
}

// send sends a datagram. It is lost when the relay of its sender has ended.
func send(from *host, b []byte, to netip.AddrPort) { _, _ = from.seen.WriteToUDPAddrPort(b, to) }

// harm decides what becomes of a datagram: from whose address it goes on, how often,
// and whether late.
func (d *DatagramProxy) harm(source netip.AddrPort, to *host) (from *host, copies int, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, ok := d.hosts[source]
	if !ok {
		return nil, 0, false
	}
	loss := max(from.faults.Loss, to.faults.Loss)
	switch {
	case from.faults.DropOut || to.faults.DropIn:
		d.harmed["cut"]++
		return from, 0, false
	case d.Rand.Float64() < loss:
		d.harmed["lost"]++
		return from, 0, false
	case d.Rand.Float64() < max(from.faults.Duplication, to.faults.Duplication):
		d.harmed["doubled"]++
		return from, 2, false
	case d.Rand.Float64() < max(from.faults.Reordering, to.faults.Reordering):
		d.harmed["late"]++
		return from, 1, true
	}
	return from, 1, false
}
