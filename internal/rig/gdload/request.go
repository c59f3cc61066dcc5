package gdload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

// requests sends one request after the other until ctx or the connection ends.
func (f *flow) requests(ctx context.Context, c *conn, one func(context.Context, *conn) error) error {
	for ctx.Err() == nil {
		if err := one(ctx, c); err != nil {
			return err
		}
		f.pause(ctx, f.load.interval(f.target))
		if c.dead() {
			return context.Cause(c.quic.Context())
		}
	}
	return errOwnWish
}

func (f *flow) echo(ctx context.Context, c *conn) error {
	_, err := f.request(ctx, c, call{path: "/", body: f.body()})
	return err
}

// once sends an at-most-once request, and repeats it under the same key and with
// the same body while its outcome is unknown.
func (f *flow) once(ctx context.Context, c *conn) error {
	key, err := f.key(ctx, c)
	if err != nil || key == "" {
		return err
	}
	one := call{path: f.target.OncePath, key: key, body: f.body()}
	for range maxOnceAttempts {
		o, err := f.request(ctx, c, one)
		if err != nil || o != Unknown {
			return err
		}
		f.pause(ctx, f.load.interval(f.target))
	}
	return nil
}

// call is what one request asks.
type call struct {
	path string
	key  string
	body []byte
}

// request sends one request and counts its outcome. An error means that the
// connection has ended.
func (f *flow) request(ctx context.Context, c *conn, one call) (Outcome, error) {
	f.sent++
	id := fmt.Sprintf("%s-%d", f.name, f.sent)
	began := time.Now()
	a, err := f.send(ctx, c, id, one)
	end := time.Now()
	o := f.judge(a, err, id, one.body, end.Sub(began))
	f.load.tally.sample(Sample{
		Service: f.target.Service, Kind: string(f.kind), Latency: end.Sub(began), Outcome: o,
		Upstream: a.header.Get(gdupstreamsim.HeaderUpstream),
	}, end)
	if err != nil && c.dead() {
		return o, errors.Wrap(err, "request "+id)
	}
	return o, nil
}

// answer is an answer that was read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (f *flow) send(ctx context.Context, c *conn, id string, one call) (answer, error) {
	// The run's end must not cut a request in progress, only its timeout may.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.load.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(one.path), bytes.NewReader(one.body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(gdupstreamsim.HeaderRequestID, id)
	req.Header.Set(gdupstreamsim.HeaderTimeout, strconv.FormatInt(f.load.timeout().Milliseconds(), 10))
	if one.key != "" {
		req.Header.Set(gdupstreamsim.HeaderIdempotencyKey, one.key)
	}
	res, err := c.http.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: got}, err
}

// judge counts the outcome of one request.
func (f *flow) judge(a answer, err error, id string, body []byte, d time.Duration) Outcome {
	t := &f.load.tally
	switch {
	case err != nil:
		t.unknown(f.reason(err.Error()))
		return Unknown
	case a.status != http.StatusOK && a.header.Get(HeaderOutcome) == OutcomeNotRun:
		t.notRun(id, f.reason(a.words()))
		return Refused
	case a.status != http.StatusOK:
		t.unknown(f.reason(a.words()))
		return Unknown
	case a.header.Get(gdupstreamsim.HeaderService) != f.target.Service:
		t.fault(id+": answered by "+a.header.Get(gdupstreamsim.HeaderService), func(r *Result) { r.Misrouted++ })
		return Wrong
	case !f.own(a, id, body):
		t.fault(id+": wrong answer to "+a.header.Get(gdupstreamsim.HeaderRequestID), func(r *Result) { r.Wrong++ })
		return Wrong
	}
	t.answered(f.target.Service, a.header.Get(gdupstreamsim.HeaderUpstream), d)
	return Answered
}

// reason is what was seen in place of an answer, by service and kind of flow.
func (f *flow) reason(words string) string {
	return fmt.Sprintf("%s %s: %s", f.target.Service, f.kind, words)
}

// words says what an answer without success was.
func (a answer) words() string {
	outcome := or(a.header.Get(HeaderOutcome), "no outcome")
	return fmt.Sprintf("status %d, %s, %s", a.status, outcome, or(a.header.Get(HeaderReason), "no reason"))
}

// own reports whether the answer is whole and belongs to the request. A repeated
// at-most-once request may get the answer of its first attempt.
func (f *flow) own(a answer, id string, body []byte) bool {
	got := a.header.Get(gdupstreamsim.HeaderRequestID)
	mine := got == id || f.kind == kindOnce && strings.HasPrefix(got, f.name+"-")
	return mine && bytes.Equal(a.body, body)
}

func (f *flow) body() []byte {
	b := make([]byte, f.load.body())
	for i := range b {
		b[i] = 'a' + byte(f.rng.IntN(26))
	}
	return b
}

func (f *flow) url(path string) string { return "https://" + f.target.Addr.String() + path }
