package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdserve"
)

// requestTimeout bounds each request to a process or the platform.
const requestTimeout = 5 * time.Second

// runBalancer runs a balancer until the context ends.
type runBalancer func(ctx context.Context, s gdsettings.Balancer) error

// runAgent runs an agent until the context ends.
type runAgent func(ctx context.Context, s gdsettings.Agent) error

// clock returns the current time.
type clock func() time.Time

// console contains the standard streams of a command.
type console struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// newInjector provides the dependencies of the commands.
func newInjector(in io.Reader, out, err io.Writer) do.Injector {
	i := do.New()
	do.ProvideValue(i, console{in: in, out: out, err: err})
	do.ProvideValue(i, clock(time.Now))
	do.ProvideValue(i, newClient())
	do.ProvideValue(i, runBalancer(func(ctx context.Context, s gdsettings.Balancer) error {
		return gdserve.RunBalancer(ctx, s, err)
	}))
	do.ProvideValue(i, runAgent(func(ctx context.Context, s gdsettings.Agent) error {
		return gdserve.RunAgent(ctx, s, err)
	}))
	return i
}

// newClient returns a client that ignores the proxy settings of the environment.
func newClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
}
