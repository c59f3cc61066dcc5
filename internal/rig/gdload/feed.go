package gdload

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

// stalledShare is the share of its lines below which a feed has stalled.
const stalledShare = 0.25

// errStalled ends a feed that gets too few lines.
var errStalled = errors.New("the feed stalled")

// feed holds a streamed answer and checks that no line is missing.
func (f *flow) feed(ctx context.Context, c *conn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var lines atomic.Int64
	go f.watchFeed(ctx, &lines, cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url("/feed"), nil)
	if err != nil {
		return err
	}
	f.sent++
	req.Header.Set(gdupstreamsim.HeaderRequestID, fmt.Sprintf("%s-%d", f.name, f.sent))
	res, err := c.http.RoundTrip(req)
	if err != nil {
		return feedEnd(ctx, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return f.feedRefused(ctx, res)
	}
	if got := res.Header.Get(gdupstreamsim.HeaderService); got != f.target.Service {
		f.load.tally.fault(f.name+": feed from "+got, func(r *Result) { r.Misrouted++ })
	}
	return feedEnd(ctx, f.lines(res, &lines))
}

// watchFeed ends a feed that has got less than its share of lines in one
// interval of silence. A line now and then, carried by a probe of a path that is
// dead the other way, does not keep it alive.
func (f *flow) watchFeed(ctx context.Context, lines *atomic.Int64, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(f.load.silence())
	defer tick.Stop()
	least := int64(stalledShare * float64(f.load.silence()) / float64(f.load.feedInterval()))
	for {
		before := lines.Load()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if lines.Load()-before < least {
			cancel(errStalled)
			return
		}
	}
}

// feedRefused counts a feed that was not opened; its flow was not broken.
func (f *flow) feedRefused(ctx context.Context, res *http.Response) error {
	a := answer{status: res.StatusCode, header: res.Header}
	if res.Header.Get(HeaderOutcome) == OutcomeNotRun {
		f.load.tally.notRun(fmt.Sprintf("%s-%d", f.name, f.sent), f.reason(a.words()))
	} else {
		f.load.tally.unknown(f.reason(a.words()))
	}
	f.pause(ctx, reconnectPause)
	return errOwnWish
}

// feedEnd gives the reason for a feed's end: the stall before the error that it
// brought about.
func feedEnd(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Wrap(err, "feed")
}

// lines reads the feed's numbered lines and returns why it ended.
func (f *flow) lines(res *http.Response, lines *atomic.Int64) error {
	upstream := res.Header.Get(gdupstreamsim.HeaderUpstream)
	in := bufio.NewReader(res.Body)
	for n := 0; ; n++ {
		line, err := in.ReadString('\n')
		if err != nil {
			return err // a part of a line is no wrong line
		}
		lines.Add(1)
		want := upstream + " " + strconv.Itoa(n) + "\n"
		if line != want {
			words := fmt.Sprintf("%s: feed line %q, want %q", f.name, line, want)
			f.load.tally.fault(words, func(r *Result) { r.Wrong++ })
			return errors.New("the feed lost a line")
		}
		f.load.tally.change(func(r *Result) { r.FeedLines++ })
	}
}
