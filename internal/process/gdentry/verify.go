package gdentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

const (
	// verifyInterval is the delay between two verifications of the view, each of which is a call to
	// the source. With many entry hosts it is verifyIntervalPerHost for each, so that all together
	// make at most a thousand calls a second.
	verifyInterval        = 20 * time.Millisecond
	verifyIntervalPerHost = time.Millisecond
	// verifyTimeout is the timeout of one. The source answers within milliseconds.
	verifyTimeout = 500 * time.Millisecond
	// verifyRetryDelay is the delay after one that has failed. The readers' beacons verify the
	// view as well, if they reach the source.
	verifyRetryDelay = time.Second
)

// requestVerification passes a request of the dispatcher to verifyViews.
func (e *EntryHost) requestVerification() {
	select {
	case e.verify <- struct{}{}:
	default: // the next verification will do
	}
}

// verifyViews verifies the view whenever the dispatcher requests it.
func (e *EntryHost) verifyViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.verify:
		}
		err := e.verifyView(ctx)
		if ctx.Err() != nil {
			return
		}
		delay := e.verifyDelay()
		if err != nil {
			e.Log.Failure(gdlog.ViewNotVerified, err, "revision", e.revision())
			delay = verifyRetryDelay
		}
		sleep(ctx, delay)
	}
}

// verifyDelay returns the delay after a verification.
func (e *EntryHost) verifyDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(verifyInterval, time.Duration(e.election.KnownHosts())*verifyIntervalPerHost)
}

// verifyView requests the changes since the known revision, without waiting for any, and passes the time
// of the request to the dispatcher: the view has all that the source had then.
func (e *EntryHost) verifyView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	requested := time.Now()
	u, err := e.source().Watch(ctx, e.revision(), catchUpWait)
	if err != nil {
		return err
	}
	e.metrics.verifications.Inc(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	now, before := time.Now(), e.state.Revision()
	u.Age += now.Sub(requested)
	e.applyLocked(now, u, (*gddiscovery.State).Apply, "store")
	if after := e.state.Revision(); after < u.Revision {
		return errors.Errorf("verify the view: the changes of revision %s don't apply to revision %s", u.Revision, after)
	}
	e.metrics.event(now, e.Log, gdlog.ViewVerified, "revision", e.state.Revision(), "before", before, "took", now.Sub(requested).String())
	e.viewSender.execute(now, e.dispatcher.VerifyView(now, requested))
	e.viewSender.flush()
	e.wakeTick()
	return nil
}
