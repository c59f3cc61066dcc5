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
	// maxDatagramSize is the maximum size of a datagram, in bytes.
	maxDatagramSize = 2048
	// reorderDelay is the delay of a reordered datagram, so that later ones overtake it.
	reorderDelay = 15 * time.Millisecond
)

// DatagramFaults are the faults of the datagrams to and from a host.
type DatagramFaults struct {
	// Loss, Duplication and Reordering are the probabilities that a datagram is lost, sent
	// twice, or delayed so that later ones overtake it.
	Loss, Duplication, Reordering float64
	// DropIn drops all datagrams to the host, and DropOut all from it.
	DropIn, DropOut bool
}

// DatagramProxy forwards datagrams between hosts. Each host knows the others only by
// addresses of the proxy. Set its exported fields before the first call.
type DatagramProxy struct {
	// Rand decides which datagrams a fault affects.
	Rand *rand.Rand

	mu          sync.Mutex
	hosts       map[netip.AddrPort]*host
	faultCounts map[string]int
}

// host is a host whose datagrams the proxy forwards.
type host struct {
	addr   netip.AddrPort
	conn   *net.UDPConn
	faults DatagramFaults
}

// Add adds the host at addr. Other hosts send it datagrams at proxyAddr and receive its
// datagrams from there.
func (d *DatagramProxy) Add(addr, proxyAddr netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(proxyAddr))
	if err != nil {
		return errors.Wrapf(err, "listen on the proxy address of %s", addr)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts == nil {
		d.hosts, d.faultCounts = make(map[netip.AddrPort]*host), make(map[string]int)
	}
	h := &host{addr: addr, conn: c}
	d.hosts[addr] = h
	go d.forward(h)
	return nil
}

// Remove removes a host and closes its socket at the proxy.
func (d *DatagramProxy) Remove(addr netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[addr]
	if !ok {
		return nil
	}
	delete(d.hosts, addr)
	return errors.Wrapf(h.conn.Close(), "close the proxy socket of %s", addr)
}

// Close removes all hosts.
func (d *DatagramProxy) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first error
	for _, h := range d.hosts {
		if err := h.conn.Close(); first == nil {
			first = err
		}
	}
	d.hosts = nil
	return errors.Wrap(first, "close the datagram proxy")
}

// SetFaults sets the faults of the datagrams to and from a host.
func (d *DatagramProxy) SetFaults(addr netip.AddrPort, f DatagramFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[addr]; h != nil {
		h.faults = f
	}
}

// FaultCounts returns the number of datagrams by fault: "lost", "doubled", "late", or
// "cut" for those dropped in one direction.
func (d *DatagramProxy) FaultCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.faultCounts)
}

// forward forwards the datagrams for a host until its socket is closed.
func (d *DatagramProxy) forward(to *host) {
	b := make([]byte, maxDatagramSize)
	for {
		n, source, err := to.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the destination of an earlier datagram was unreachable
		}
		from, copies, late := d.injectFaults(source, to)
		for range copies {
			if late {
				data := append([]byte(nil), b[:n]...)
				time.AfterFunc(reorderDelay, func() { send(from, data, to.addr) })
				continue
			}
			send(from, b[:n], to.addr)
		}
	}
}

// send sends a datagram from the proxy address of its sender. The datagram is lost if that
// socket is closed.
func send(from *host, b []byte, to netip.AddrPort) { _, _ = from.conn.WriteToUDPAddrPort(b, to) }

// injectFaults decides which fault affects a datagram and counts it. It returns the sender, the number of
// copies to forward, and whether to delay them.
func (d *DatagramProxy) injectFaults(source netip.AddrPort, to *host) (from *host, copies int, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, ok := d.hosts[source]
	if !ok {
		return nil, 0, false
	}
	loss := max(from.faults.Loss, to.faults.Loss)
	switch {
	case from.faults.DropOut || to.faults.DropIn:
		d.faultCounts["cut"]++
		return from, 0, false
	case d.Rand.Float64() < loss:
		d.faultCounts["lost"]++
		return from, 0, false
	case d.Rand.Float64() < max(from.faults.Duplication, to.faults.Duplication):
		d.faultCounts["doubled"]++
		return from, 2, false
	case d.Rand.Float64() < max(from.faults.Reordering, to.faults.Reordering):
		d.faultCounts["late"]++
		return from, 1, true
	}
	return from, 1, false
}
