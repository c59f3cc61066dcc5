// Package gdenvelope is the datagram format between balancers and agents.
//
// An envelope carries one datagram from or to a caller with the metadata that the
// receiver needs: the service, the caller, the balancer through which to respond, the
// version of the sender's configuration, and the number of hops between agents. Each
// envelope is authenticated (AES-GMAC under a key that is derived from the fleet key
// for the sender's session) and numbered, so that forged, truncated, oversized and
// replayed envelopes are dropped.
//
// # Layout
//
//	0   1   format and version, 0xd1
//	1   1   kind
//	2   8   sender's session, random for each Sealer
//	10  8   counter, from 1
//	18  8   revision of the active configuration at the sender
//	26  8   digest of that configuration
//	34  2   service
//	36  1   hops
//	37  1   flags: 1 the caller's address is IPv6, 2 the balancer's, 4 the service's
//	38      caller: address (4 or 16) and port (2)
//	        balancer: address (4 or 16) and port (2)
//	        service address at which it arrived: address (4 or 16) and port (2)
//	        payload
//	        tag (16)
//
// Numbers are big endian. An envelope adds 72 bytes to a payload when all
// addresses are IPv4.
//
// # Usage
//
//	s, err := gdenvelope.NewSealer(fleet)
//	wire, err := s.Seal(buf[:0], gdenvelope.Envelope{...})
//	o := gdenvelope.NewOpener(fleet)
//	e, err := o.Open(wire)
//
// A Sealer or an Opener must be used by one goroutine only. Payloads of opened
// envelopes point into the wire bytes.
package gdenvelope
