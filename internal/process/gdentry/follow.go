package gdentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdbelief"
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
	// retryTime is the time before a failed call is made again.
	retryTime = 250 * time.Millisecond
)

// Source has the state of the deployment.
type Source interface {
	// Load returns the whole state.
	Load(ctx context.Context) (gdbelief.Update, error)
	// Watch waits for changes after the revision, for the duration at most.
	Watch(ctx context.Context, after uint64, wait time.Duration) (gdbelief.Update, error)
}

// follow keeps the book up to date until the context ends.
func (e *Entry) follow(ctx context.Context) {
	lost, whole := false, true
	for ctx.Err() == nil {
		err := e.refresh(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				e.Log.Failure(gdlog.PlatformUnreachable, err, "revision", e.book.Revision())
			}
			lost = true
			whole = whole || errors.Is(err, gdbelief.ErrHistoryLost)
			sleep(ctx, retryTime)
			continue
		}
		if lost {
			e.Log.Event(gdlog.PlatformReachable, "revision", e.book.Revision())
		}
		lost, whole = false, false
	}
}

// refresh makes one call and takes in its answer.
func (e *Entry) refresh(ctx context.Context, whole bool) error {
	limit := watchTime + answerMargin
	if whole {
		limit = loadTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	if whole {
		u, err := e.Source.Load(ctx)
		if err != nil {
			return err
		}
		e.take(asked, u, (*gdbelief.Book).Load)
		return nil
	}
	u, err := e.Source.Watch(ctx, e.book.Revision(), watchTime)
	if err != nil {
		return err
	}
	if len(u.Changes) > 0 {
		asked = time.Now()
	}
	e.take(asked, u, (*gdbelief.Book).Apply)
	return nil
}

// take puts an update in force.
func (e *Entry) take(asked time.Time, u gdbelief.Update, into func(*gdbelief.Book, time.Time, gdbelief.Update) bool) {
	now := time.Now()
	u.Age = now.Sub(asked)
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := into(&e.book, now, u)
	e.core.Confirm(now.Add(-e.book.Age(now)))
	if !changed {
		return
	}
	v := e.book.View()
	e.core.SetView(v)
	e.seen.view(v)
	e.Log.Event(gdlog.ViewChanged, "revision", v.Revision(), "version", v.Version(), "age", u.Age.String(),
		"routes", v.Routes(), "upstreams", len(v.Upstreams()), "domains-out", v.DomainsOut(), "changes", len(u.Changes))
	if v.Version() > 0 {
		e.ready.Store(true)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
