package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

// platform reads what the platform publishes.
type platform struct {
	url  string
	http *http.Client
}

// host is one entry of the platform's host list.
type host struct {
	Name            string `json:"name"`
	Role            string `json:"role"`
	Domain          string `json:"domain"`
	Address         string `json:"address"`
	OperatorAddress string `json:"operator-address"`
	State           string `json:"state"`
}

func (p platform) get(ctx context.Context, path string) ([]byte, error) {
	url := strings.TrimSuffix(p.url, "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "ask platform for %s", path)
	}
	res, err := p.http.Do(req)
	if err != nil {
		return nil, unreachable(errors.Wrapf(err, "ask platform for %s", path))
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, config.MaxValueBytes+1))
	if err != nil {
		return nil, unreachable(errors.Wrapf(err, "read %s of platform %s", path, p.url))
	}
	if res.StatusCode != http.StatusOK {
		return nil, unreachable(errors.Errorf("read %s of platform %s: %s", path, p.url, res.Status))
	}
	return data, nil
}

func (p platform) value(ctx context.Context, key string) (config.Value, error) {
	data, err := p.get(ctx, "/v1/values/"+key)
	return config.NewValue(key, data), err
}

// index reads the index alone.
func (p platform) index(ctx context.Context) (config.Index, error) {
	v, err := p.value(ctx, config.IndexKey)
	if err != nil {
		return config.Index{}, err
	}
	idx, err := config.ParseIndex(v.Data())
	return idx, unreachable(errors.Wrapf(err, "index of platform %s", p.url))
}

// read is one value, or why it could not be read.
type read struct {
	value config.Value
	err   error
}

// values reads the index and every value that it names; of an index that can't be
// parsed, the index alone. On a terminal w shows how far it is.
func (p platform) values(ctx context.Context, w io.Writer) ([]config.Value, error) {
	index, err := p.value(ctx, config.IndexKey)
	if err != nil {
		return nil, err
	}
	idx, err := config.ParseIndex(index.Data())
	if err != nil {
		return []config.Value{index}, nil // config.Assemble says what is wrong with it
	}
	reads := inParallel(w, idx.Services, func(row config.IndexRow) read {
		v, err := p.value(ctx, config.ServiceKey(row.Name))
		return read{value: v, err: err}
	})
	values := []config.Value{index}
	for _, r := range reads {
		if r.err != nil {
			return nil, r.err
		}
		values = append(values, r.value)
	}
	return values, nil
}

func (p platform) hosts(ctx context.Context) ([]host, error) {
	data, err := p.get(ctx, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var list struct {
		Hosts []host `json:"hosts"`
	}
	err = json.Unmarshal(data, &list)
	return list.Hosts, unreachable(errors.Wrapf(err, "host list of platform %s", p.url))
}
