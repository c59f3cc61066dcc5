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

// requests calls send, which sends one request, again and again until ctx or the
// connection ends.
func (f *flow) requests(ctx context.Context, c *conn, send func(context.Context, *conn) error) error {
	for ctx.Err() == nil {
		if err := send(ctx, c); err != nil {
			return err
		}
		f.pause(ctx, f.load.interval(f.target))
		if c.ended() {
			return context.Cause(c.quic.Context())
		}
	}
	return errNotBroken
}

func (f *flow) echo(ctx context.Context, c *conn) error {
	_, err := f.request(ctx, c, requestSpec{path: "/", body: f.body()})
	return err
}

// once sends an at-most-once request and repeats it, with the same key and body,
// while its outcome is unknown.
func (f *flow) once(ctx context.Context, c *conn) error {
	key, err := f.nextKey(ctx, c)
	if err != nil || key == "" {
		return err
	}
	spec := requestSpec{path: f.target.OncePath, key: key, body: f.body()}
	for range maxOnceAttempts {
		o, err := f.request(ctx, c, spec)
		if err != nil || o != Unknown {
			return err
		}
		f.pause(ctx, f.load.interval(f.target))
	}
	return nil
}

// requestSpec is the content of one request.
type requestSpec struct {
	path string
	key  string
	body []byte
}

// request sends one request and counts its outcome. It returns an error only if
// the connection has ended.
func (f *flow) request(ctx context.Context, c *conn, spec requestSpec) (Outcome, error) {
	f.sent++
	id := fmt.Sprintf("%s-%d", f.name, f.sent)
	start := time.Now()
	a, err := f.send(ctx, c, id, spec)
	end := time.Now()
	o := f.countOutcome(a, err, id, spec.body, end.Sub(start))
	f.load.tally.addSample(Sample{
		Service: f.target.Service, Kind: string(f.kind), Latency: end.Sub(start), Outcome: o,
		Upstream: a.header.Get(gdupstreamsim.HeaderUpstream),
	}, end)
	if err != nil && c.ended() {
		return o, errors.Wrap(err, "request "+id)
	}
	return o, nil
}

// answer is an answer with its complete body.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (f *flow) send(ctx context.Context, c *conn, id string, spec requestSpec) (answer, error) {
	// A request in progress ends only by its timeout, not by the end of the run.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.load.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(spec.path), bytes.NewReader(spec.body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(gdupstreamsim.HeaderRequestID, id)
	req.Header.Set(gdupstreamsim.HeaderTimeout, strconv.FormatInt(f.load.timeout().Milliseconds(), 10))
	if spec.key != "" {
		req.Header.Set(gdupstreamsim.HeaderIdempotencyKey, spec.key)
	}
	res, err := c.http.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: got}, err
}

// countOutcome determines the outcome of one request and counts it.
func (f *flow) countOutcome(a answer, err error, id string, body []byte, d time.Duration) Outcome {
	t := &f.load.tally
	switch {
	case err != nil:
		t.countUnknown(f.reason(err.Error()))
		return Unknown
	case a.status != http.StatusOK && a.header.Get(HeaderOutcome) == OutcomeNotRun:
		t.countNotRun(id, f.reason(a.description()))
		return Refused
	case a.status != http.StatusOK:
		t.countUnknown(f.reason(a.description()))
		return Unknown
	case a.header.Get(gdupstreamsim.HeaderService) != f.target.Service:
		t.recordError(id+": answered by service "+a.header.Get(gdupstreamsim.HeaderService), func(r *Result) { r.Misrouted++ })
		return Wrong
	case !f.answers(a, id, body):
		t.recordError(id+": wrong answer, request ID "+a.header.Get(gdupstreamsim.HeaderRequestID), func(r *Result) { r.Wrong++ })
		return Wrong
	}
	t.countAnswered(f.target.Service, a.header.Get(gdupstreamsim.HeaderUpstream), d)
	return Answered
}

// reason returns the reason for a missing answer, with the service and the kind of
// the flow.
func (f *flow) reason(text string) string {
	return fmt.Sprintf("%s %s: %s", f.target.Service, f.kind, text)
}

// description describes an answer whose status is not 200.
func (a answer) description() string {
	outcome := orDefault(a.header.Get(HeaderOutcome), "no outcome")
	return fmt.Sprintf("status %d, %s, %s", a.status, outcome, orDefault(a.header.Get(HeaderReason), "no reason"))
}

// answers reports whether the answer belongs to the request and echoes its whole
// body. A repeated at-most-once request may get the answer to its first attempt.
func (f *flow) answers(a answer, id string, body []byte) bool {
	got := a.header.Get(gdupstreamsim.HeaderRequestID)
	sameRequest := got == id || f.kind == kindOnce && strings.HasPrefix(got, f.name+"-")
	return sameRequest && bytes.Equal(a.body, body)
}

func (f *flow) body() []byte {
	b := make([]byte, f.load.bodySize())
	for i := range b {
		b[i] = 'a' + byte(f.rng.IntN(26))
	}
	return b
}

func (f *flow) url(path string) string { return "https://" + f.target.Addr.String() + path }
