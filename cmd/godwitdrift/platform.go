package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

// platform reads values and hosts from the platform.
type platform struct {
	client *gdplatform.Client
}

func newPlatform(url string, client *http.Client) platform {
	url = strings.TrimSuffix(url, "/")
	return platform{client: &gdplatform.Client{
		URL: url, HTTP: client, Timeout: requestTimeout,
		OnInvalidHost: func(err error) { fmt.Fprintln(os.Stderr, "godwitdrift:", err) },
	}}
}

// readResult is a value, or the error of reading it.
type readResult struct {
	value gdplatform.Value
	err   error
}

// index reads only the index.
func (p platform) index(ctx context.Context) (config.Index, error) {
	v, err := p.client.ReadValue(ctx, config.IndexKey)
	if err != nil {
		return config.Index{}, unreachable(err)
	}
	if !v.Present() {
		return config.Index{}, unreachable(errors.Errorf("platform %s publishes no index", p.client.URL))
	}
	idx, err := config.ParseIndex(v.Data())
	return idx, unreachable(errors.Wrapf(err, "index of platform %s", p.client.URL))
}

// values reads the index and all values that it lists. It omits values that the
// platform doesn't have, and returns only the index if that can't be parsed:
// [config.Assemble] reports these problems. If w is a terminal, values shows the
// progress on it.
func (p platform) values(ctx context.Context, w io.Writer) ([]config.Value, error) {
	index, err := p.client.ReadValue(ctx, config.IndexKey)
	if err != nil {
		return nil, unreachable(err)
	}
	if !index.Present() {
		return nil, nil
	}
	values := []config.Value{config.NewValue(config.IndexKey, index.Data())}
	idx, err := config.ParseIndex(index.Data())
	if err != nil {
		return values, nil
	}
	reads := inParallel(w, idx.Services, func(row config.IndexRow) readResult {
		v, err := p.client.ReadValue(ctx, config.ServiceKey(row.Name))
		return readResult{value: v, err: err}
	})
	for i, r := range reads {
		if r.err != nil {
			return nil, unreachable(r.err)
		}
		if r.value.Present() {
			values = append(values, config.NewValue(config.ServiceKey(idx.Services[i].Name), r.value.Data()))
		}
	}
	return values, nil
}

func (p platform) hosts(ctx context.Context) ([]gdplatform.Host, error) {
	hosts, err := p.client.Hosts(ctx)
	return hosts, unreachable(err)
}
