package gdentry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

const (
	// watchTime is how long a watch waits. A watch may hear nothing for a second
	// without being cut, so that nothing may depend on a longer one.
	watchTime = time.Second
	// answerMargin is how long after that an answer may come.
	answerMargin = time.Second
	// loadTime is how long reading the whole state may take.
	loadTime = 3 * time.Second
	// catchUpTime is how long the watch after a load waits: it only fetches what has
	// changed while the load came in, which takes a third of a second on a thin link.
	catchUpTime = time.Millisecond
	// gatherTime is the time between two watches, in which changes gather: a tenth
	// of a second is a thirtieth of the shortest bound on a configuration.
	gatherTime = 100 * time.Millisecond
	// retryTime is the time before a failed call is made again.
	retryTime = 100 * time.Millisecond
	// mostRetryTime is the longest such time; it doubles with each failure.
	mostRetryTime = 800 * time.Millisecond
)

// Source has the state of the deployment.
type Source interface {
	// Load returns the whole state.
	Load(ctx context.Context) (gddiscovery.Update, error)
	// Watch waits for changes after the revision, for the duration at most.
	Watch(ctx context.Context, after uint64, wait time.Duration) (gddiscovery.Update, error)
}

// follow loads the state and then watches the source while it is this host's turn.
func (e *EntryHost) follow(ctx context.Context) {
	relist, failures := false, 0
	for ctx.Err() == nil {
		loaded, reading := e.role()
		if loaded && !reading {
			select {
			case <-ctx.Done():
			case <-e.turn:
			}
			continue
		}
		err := e.refresh(ctx, relist || !loaded)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				e.Log.Event(gdlog.PlatformReachable, "revision", e.revision(), "failures", failures)
			}
			relist, failures = false, 0
			sleep(ctx, gatherTime)
			continue
		}
		if failures == 0 {
			e.Log.Failure(gdlog.PlatformUnreachable, err, "revision", e.revision())
		}
		failures++
		relist = relist || errors.Is(err, gddiscovery.ErrHistoryLost)
		sleep(ctx, min(retryTime<<min(failures-1, 8), mostRetryTime))
	}
}

// role returns whether the host has a whole state and whether it reads the source for
// the others.
func (e *EntryHost) role() (loaded, reading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Loaded(), e.peers.Reading()
}

func (e *EntryHost) revision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Revision()
}

// refresh makes one call and takes in its answer.
func (e *EntryHost) refresh(ctx context.Context, whole bool) error {
	limit := watchTime + answerMargin
	if whole {
		limit = loadTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	if whole {
		u, err := e.source().Load(ctx)
		if err != nil {
			return err
		}
		e.take(asked, u, (*gddiscovery.State).Load)
	}
	wait := watchTime
	if whole {
		wait = catchUpTime
	}
	u, err := e.source().Watch(ctx, e.revision(), wait)
	if err != nil {
		return err
	}
	// A watch answers at once when something changes, so its answer holds for now.
	e.take(time.Now(), u, (*gddiscovery.State).Apply)
	return nil
}

// into is how a book takes in an update: Load or Apply.
type into func(*gddiscovery.State, time.Time, gddiscovery.Update) bool

// take puts an update in force that the source gave after it was asked.
func (e *EntryHost) take(asked time.Time, u gddiscovery.Update, f into) {
	now := time.Now()
	u.Age += now.Sub(asked)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.takeLocked(now, u, f, "store")
}

// takeLocked puts an update in force. The lock is held.
func (e *EntryHost) takeLocked(now time.Time, u gddiscovery.Update, f into, source string) {
	changed := f(&e.book, now, u)
	e.core.ConfirmView(now.Add(-e.book.Age(now)))
	if !changed {
		return
	}
	e.remember(now)
	v := e.book.View()
	e.act(now, e.core.SetView(now, v))
	e.peers.TriggerBeacon()
	e.seen.view(v)
	e.Log.Event(gdlog.ViewChanged, "revision", v.Revision(), "version", v.Version(), "age", u.Age.String(),
		"routes", v.Routes(), "upstreams", len(v.Upstreams()), "domains-out", v.DomainsOut(), "changes", len(u.Changes),
		"source", source)
	if v.Version() > 0 {
		e.ready.Store(true)
	}
}

// act carries out what a new view has brought about. The lock is held.
func (e *EntryHost) act(now time.Time, actions []gddispatch.Action) {
	if !e.peers.Reading() {
		// The readers are the first to know of a standing, and two are enough.
		actions = slices.DeleteFunc(actions, func(a gddispatch.Action) bool { return a.Verb == gddispatch.SendStatus })
	}
	if len(actions) == 0 {
		return
	}
	e.views.do(now, actions)
	e.views.flush()
	e.wakeTick()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
