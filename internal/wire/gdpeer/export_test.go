package gdpeer

import "crypto/tls"

// Certificate gives tests the certificate of an identity.
func Certificate(id *Identity) tls.Certificate { return id.certificate }

// OpenConnections gives tests the number of connections to all kept peers.
func OpenConnections(d *Dialer) int {
	n := 0
	for _, c := range d.clients.Values() {
		c.mu.Lock()
		n += len(c.conns)
		c.mu.Unlock()
	}
	return n
}
