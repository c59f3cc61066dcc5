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

// minLineRatio is the ratio of received to expected lines below which a feed
// counts as stalled.
const minLineRatio = 0.25

// errStalled is the cause with which a feed that receives too few lines is cancelled.
var errStalled = errors.New("feed stalled")

// feed opens a feed, reads it until it ends and checks that no line is missing.
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
		return feedError(ctx, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return f.feedRefused(ctx, res)
	}
	if got := res.Header.Get(gdupstreamsim.HeaderService); got != f.target.Service {
		f.load.tally.recordError(f.name+": feed answered by service "+got, func(r *Result) { r.Misrouted++ })
	}
	return feedError(ctx, f.readLines(res, &lines))
}

// watchFeed cancels a feed that receives less than minLineRatio of the expected
// lines within one stall timeout. An occasional line is not enough: a probe can
// carry one over a path that loses all packets in the other direction.
func (f *flow) watchFeed(ctx context.Context, lines *atomic.Int64, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(f.load.feedStallTimeout())
	defer tick.Stop()
	minLines := int64(minLineRatio * float64(f.load.feedStallTimeout()) / float64(f.load.feedInterval()))
	for {
		before := lines.Load()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if lines.Load()-before < minLines {
			cancel(errStalled)
			return
		}
	}
}

// feedRefused counts a refused feed. Its flow does not count as broken.
func (f *flow) feedRefused(ctx context.Context, res *http.Response) error {
	a := answer{status: res.StatusCode, header: res.Header}
	if res.Header.Get(HeaderOutcome) == OutcomeNotRun {
		f.load.tally.countNotRun(fmt.Sprintf("%s-%d", f.name, f.sent), f.reason(a.description()))
	} else {
		f.load.tally.countUnknown(f.reason(a.description()))
	}
	f.pause(ctx, reconnectPause)
	return errNotBroken
}

// feedError returns why the feed ended. A stall takes precedence over the error
// that results from cancelling the feed.
func feedError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Wrap(err, "feed ended")
}

// readLines reads the feed's numbered lines, counts them in lines and returns why
// the feed ended.
func (f *flow) readLines(res *http.Response, lines *atomic.Int64) error {
	upstream := res.Header.Get(gdupstreamsim.HeaderUpstream)
	in := bufio.NewReader(res.Body)
	for n := 0; ; n++ {
		line, err := in.ReadString('\n')
		if err != nil {
			return err // an incomplete line does not count as wrong
		}
		lines.Add(1)
		want := upstream + " " + strconv.Itoa(n) + "\n"
		if line != want {
			msg := fmt.Sprintf("%s: feed line %q, want %q", f.name, line, want)
			f.load.tally.recordError(msg, func(r *Result) { r.Wrong++ })
			return errors.New("feed line out of sequence")
		}
		f.load.tally.update(func(r *Result) { r.FeedLines++ })
	}
}
