package gdlisten

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// HTTP is a loopback HTTP/1.1 server. Its zero value listens on a free port of
// 127.0.0.1.
type HTTP struct {
	// Host is the IP address to listen on. Empty means 127.0.0.1.
	Host string

	ln net.Listener
}

// Listen binds the listener. A second call does nothing.
func (h *HTTP) Listen() error {
	if h.ln != nil {
		return nil
	}
	host := h.Host
	if host == "" {
		host = "127.0.0.1"
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return errors.Wrap(err, "start the HTTP listener")
	}
	h.ln = ln
	return nil
}

// Addr returns the bound address. It is valid after Listen.
func (h *HTTP) Addr() netip.AddrPort {
	return h.ln.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the server's base URL without a trailing slash. It is valid after
// Listen.
func (h *HTTP) URL() string { return "http://" + h.Addr().String() }

// Serve serves requests until ctx ends, and then returns nil. The contexts of requests
// in progress are derived from ctx and end with it.
func (h *HTTP) Serve(ctx context.Context, handler http.Handler) error {
	if err := h.Listen(); err != nil {
		return err
	}
	srv := &http.Server{
		Handler:     handler,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(h.ln)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve "+h.Addr().String())
}
