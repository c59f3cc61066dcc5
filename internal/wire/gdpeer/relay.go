package gdpeer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// RelayPrefix is the path prefix under which agents serve requests relayed by peers.
const RelayPrefix = "/relay"

// Relayer relays callers' requests to peers. It streams bodies in both directions. Set
// the exported fields before use. A Relayer is safe for concurrent use.
type Relayer struct {
	Identity *Identity

	once      sync.Once
	transport *http.Transport
}

func (r *Relayer) init() {
	r.once.Do(func() {
		var protocols http.Protocols
		protocols.SetHTTP2(true)
		r.transport = &http.Transport{
			TLSClientConfig:     r.Identity.clientConfig(),
			TLSHandshakeTimeout: DefaultTimeout,
			Protocols:           &protocols,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}
	})
}

// Relay sends the request to the peer at the address. The second result reports whether
// the peer may have received the request, even if Relay returns an error.
func (r *Relayer) Relay(ctx context.Context, addr string, req *http.Request) (*http.Response, bool, error) {
	r.init()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out := req.Clone(ctx)
	out.URL.Scheme = "https"
	out.URL.Host = addr
	out.URL.Path = RelayPrefix + req.URL.Path
	out.RequestURI = ""
	out.Host = req.Host
	if out.URL.RawPath != "" {
		out.URL.RawPath = RelayPrefix + out.URL.RawPath
	}
	if req.ContentLength == 0 {
		out.Body = http.NoBody
	}
	res, err := r.transport.RoundTrip(out)
	return res, connected.Load(), errors.Wrapf(err, "relay request to peer %s", addr)
}
