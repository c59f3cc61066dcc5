package gdoperator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxResponseBytes bounds the size of a response body.
const maxResponseBytes = 64 << 20

// Client is a client of the operator port of one process.
type Client struct {
	// Address is the IP address and port of the operator port.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Status returns the status of the process.
func (c Client) Status(ctx context.Context) (Status, error) {
	var st Status
	data, err := c.get(ctx, "/status", nil)
	if err != nil {
		return Status{}, err
	}
	return st, errors.Wrapf(json.Unmarshal(data, &st), "decode status of %s", c.Address)
}

// Dump returns the state of the process as JSON.
func (c Client) Dump(ctx context.Context) (json.RawMessage, error) {
	data, err := c.get(ctx, "/dump", nil)
	if err == nil && !json.Valid(data) {
		err = errors.Errorf("dump of %s is not JSON", c.Address)
	}
	return data, err
}

// Decisions returns the newest decision records of a flow or request, at most last of
// them, with the oldest first.
func (c Client) Decisions(ctx context.Context, subject string, last int) ([]Record, error) {
	var records []Record
	query := url.Values{"subject": {subject}, "last": {strconv.Itoa(last)}}
	data, err := c.get(ctx, "/decisions", query)
	if err != nil {
		return nil, err
	}
	return records, errors.Wrapf(json.Unmarshal(data, &records), "decode decisions of %s", c.Address)
}

func (c Client) get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "query %s for %s", c.Address, path)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "query %s for %s", c.Address, path)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s of %s", path, c.Address)
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s of %s: %s: %s", path, c.Address, res.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
