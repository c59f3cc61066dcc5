package gdplatform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds one request, including the read of the response body.
	DefaultTimeout = 3 * time.Second
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	// MaxHostsBytes is the maximum size of the encoded list of hosts.
	MaxHostsBytes = 4 << 20
)

// Client is an HTTP client of one platform. The exported fields must be set before the
// first request. It is safe for concurrent use.
type Client struct {
	// URL is the platform's base URL, such as "http://192.0.2.5:8500".
	URL string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds one request; zero means DefaultTimeout.
	Timeout time.Duration
	// ETagKeys are the keys whose ETag the client stores and sends with the next read,
	// so that the platform responds to an unchanged value without a body.
	ETagKeys []string
	// OnInvalidHost, if set, is called with the error of each row of the list of hosts that can't be
	// decoded.
	OnInvalidHost func(error)

	mu    sync.Mutex
	etags map[string]string
}

// Value is one value of the platform.
type Value struct {
	data      []byte
	present   bool
	unchanged bool
}

// NewValue returns a value that is present.
func NewValue(data []byte) Value { return Value{data: data, present: true} }

// Data returns the value's bytes, none when it is absent or unchanged.
func (v Value) Data() []byte { return v.data }

// Present reports whether the platform holds the value.
func (v Value) Present() bool { return v.present }

// Unchanged reports whether the value is the same as at the last read.
func (v Value) Unchanged() bool { return v.unchanged }

// Role is the kind of process that a host runs.
type Role string

const (
	// RoleBalancer is the role of an entry host.
	RoleBalancer Role = "balancer"
	// RoleAgent is the role of a host that runs an agent beside an upstream.
	RoleAgent Role = "agent"
)

// HostState says whether a host is in service or shutting down.
type HostState string

const (
	// HostLive is the state of a host in service.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that is shutting down.
	HostLeaving HostState = "leaving"
)

// Host is one row of the platform's list of hosts.
type Host struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// OperatorAddress is the address of the process's operator port, which uses HTTP.
	OperatorAddress string    `json:"operator-address"`
	State           HostState `json:"state"`
}

// ReadValue reads a value. An absent value is not an error.
func (c *Client) ReadValue(ctx context.Context, key string) (Value, error) {
	path := "/v1/values/" + url.PathEscape(key)
	if etag := c.etag(key); etag != "" {
		path += "?after=" + url.QueryEscape(etag)
	}
	res, err := c.get(ctx, path, MaxValueBytes)
	if err != nil {
		return Value{}, errors.Wrapf(err, "read value %s from platform %s", key, c.URL)
	}
	switch res.status {
	case http.StatusOK:
		c.storeETag(key, res.etag)
		return NewValue(res.body), nil
	case http.StatusNotModified:
		return Value{present: true, unchanged: true}, nil
	case http.StatusNotFound:
		c.storeETag(key, "")
		return Value{}, nil
	}
	return Value{}, errors.Errorf("read value %s from platform %s: status %d", key, c.URL, res.status)
}

// Hosts reads the list of live and leaving hosts. The platform may serve an outdated
// list. Rows that can't be decoded are left out.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	res, err := c.get(ctx, "/v1/hosts", MaxHostsBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "read hosts from platform %s", c.URL)
	}
	if res.status != http.StatusOK {
		return nil, errors.Errorf("read hosts from platform %s: status %d", c.URL, res.status)
	}
	var list struct {
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(res.body, &list); err != nil {
		return nil, errors.Wrapf(err, "decode hosts from platform %s", c.URL)
	}
	hosts := make([]Host, 0, len(list.Hosts))
	for i, row := range list.Hosts {
		h, err := decodeHost(row)
		if err == nil {
			hosts = append(hosts, h)
		} else if c.OnInvalidHost != nil {
			c.OnInvalidHost(errors.Wrapf(err, "decode host %d from platform %s", i, c.URL))
		}
	}
	return hosts, nil
}

func decodeHost(row []byte) (Host, error) {
	var h Host
	if err := json.Unmarshal(row, &h); err != nil {
		return Host{}, err
	}
	if h.Name == "" {
		return Host{}, errors.New("name is missing")
	}
	if h.Address == "" {
		return h, nil // operators may still reach it
	}
	_, port, err := net.SplitHostPort(h.Address)
	if err != nil {
		return Host{}, errors.Wrapf(err, "address of %q", h.Name)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return Host{}, errors.Errorf("address of %q: port %q is not between 1 and 65535", h.Name, port)
	}
	return h, nil
}

// response is an HTTP response whose body has been read.
type response struct {
	status int
	etag   string
	body   []byte
}

func (c *Client) get(ctx context.Context, path string, limit int64) (response, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+path, nil)
	if err != nil {
		return response{}, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(body)) > limit {
		return response{}, errors.Errorf("the response is larger than %d bytes", limit)
	}
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

func (c *Client) etag(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etags[key]
}

func (c *Client) storeETag(key, etag string) {
	for _, k := range c.ETagKeys {
		if k != key {
			continue
		}
		c.mu.Lock()
		if c.etags == nil {
			c.etags = map[string]string{}
		}
		c.etags[key] = etag
		c.mu.Unlock()
	}
}
