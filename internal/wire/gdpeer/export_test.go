package gdpeer

import "crypto/tls"

// Certificate returns the certificate of an identity.
func Certificate(id *Identity) tls.Certificate { return id.certificate }

// OpenConnections returns the number of connections to all cached peers.
func OpenConnections(d *Dialer) int {
	n := 0
	for _, c := range d.clients.Values() {
		c.mu.Lock()
		n += len(c.conns)
		c.mu.Unlock()
	}
	return n
}
