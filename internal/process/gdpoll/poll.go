// Package gdpoll reads the configuration from the platform at a fixed interval.
//
// # Usage
//
//	p := &gdpoll.Poller{Platform: "http://127.0.0.1:8000", Interval: time.Second}
//	go p.Run(ctx)
//	v := p.View()
package gdpoll

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Poller keeps the highest valid configuration that it has read. Its fields are
// set before Run.
type Poller struct {
	Platform string
	Interval time.Duration

	view atomic.Pointer[gdconf.View]
}

// View returns the configuration in force, or nil before the first.
func (p *Poller) View() *gdconf.View { return p.view.Load() }

// MayDecide always holds: a poller does not notice pauses.
func (p *Poller) MayDecide(time.Time) bool { return true }

// PeerVersion is ignored: a poller hears of versions from the platform alone.
func (p *Poller) PeerVersion(string, gdconf.Version) {}

// Run reads until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	t := time.NewTicker(p.Interval)
	defer t.Stop()
	for {
		if v, err := p.read(ctx); err == nil {
			p.keep(v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (p *Poller) keep(v *gdconf.View) {
	old := p.view.Load()
	if old == nil || v.Version().Compare(old.Version()) > 0 {
		p.view.Store(v)
	}
}

func (p *Poller) read(ctx context.Context) (*gdconf.View, error) {
	data, err := p.get(ctx, config.IndexKey)
	if err != nil {
		return nil, err
	}
	idx, err := config.ParseIndex(data)
	if err != nil {
		return nil, err
	}
	services := make([]config.Service, 0, len(idx.Services))
	for _, row := range idx.Services {
		data, err := p.get(ctx, config.ServiceKey(row.Name))
		if err != nil {
			return nil, err
		}
		s, err := config.ParseService(data)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	d, err := config.Join(idx, services)
	if err != nil {
		return nil, err
	}
	return gdconf.New(d)
}

func (p *Poller) get(ctx context.Context, key string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Platform+"/v1/values/"+key, http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s from the platform", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s from the platform", key)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read %s from the platform: status %s", key, res.Status)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, config.MaxValueBytes+1))
	return data, errors.Wrapf(err, "read %s from the platform", key)
}
