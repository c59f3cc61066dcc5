// Package gdpeerpb holds the generated messages and the twirp service of
// peer.proto. Only package gdpeer uses it; write it anew with `make generate`.
//
// # Usage
//
// See package gdpeer, whose Server and Dialer wrap the generated service.
package gdpeerpb
