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
	// catchUpWait is how long the watch after a load waits. It only gets the changes
	// made while the state was transferred, which takes a third of a second on a slow
	// link.
	catchUpWait = time.Millisecond
	// catchUpTimeout is the timeout for that watch.
	catchUpTimeout = 2 * time.Second
	// watchInterval is the delay between two watches, in which changes accumulate: a
	// tenth of a second is a thirtieth of the shortest limit for a configuration.
	watchInterval = 100 * time.Millisecond
)

// Source provides the state of the deployment.
type Source interface {
	// Load returns the full state. It and Watch return an error if the answer is from an
	// earlier era than the source is known to be in, and ErrUnreadable if it has begun and
	// can't be read.
	Load(ctx context.Context) (gddiscovery.Update, error)
	// Watch returns the changes after the revision. It waits for one up to the duration. The
	// error is ErrHistoryLost if the source has begun another era since.
	Watch(ctx context.Context, after gddiscovery.Revision, wait time.Duration) (gddiscovery.Update, error)
}

// follow loads the state, and watches the source while this host is a reader.
func (e *EntryHost) follow(ctx context.Context) {
	var requests gddiscovery.Requests
	for ctx.Err() == nil {
		loaded, reading := e.role()
		if loaded && !reading {
			select {
			case <-ctx.Done():
			case <-e.becameReader:
			}
			continue
		}
		r := requests.Next(loaded)
		err := e.refresh(ctx, r, &requests)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if n := requests.Failures(); n > 0 {
				e.Log.Event(gdlog.PlatformReachable, "revision", e.revision(), "failures", n)
			}
			requests.Succeeded()
			sleep(ctx, watchInterval)
			continue
		}
		e.recordFailure(err, r, requests.Failures())
		sleep(ctx, requests.Failed(r, err))
	}
}

// recordFailure records that a request to the source has failed, after a number of other ones.
func (e *EntryHost) recordFailure(err error, r gddiscovery.Request, before int) {
	if before == 0 {
		e.Log.Failure(gdlog.PlatformUnreachable, err, "revision", e.revision())
	}
	if errors.Is(err, gddiscovery.ErrUnreadable) {
		e.metrics.unreadable.Inc(1)
		e.Log.Failure(gdlog.AnswerUnreadable, err, "revision", e.revision(), "full", r.Full(), "timeout", r.Timeout().String())
	}
}

// role returns whether the host has loaded the full state, and whether it is a reader.
func (e *EntryHost) role() (loaded, reading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Loaded(), e.election.Reading()
}

func (e *EntryHost) revision() gddiscovery.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Revision()
}

// refresh makes a request to the source and applies the result.
func (e *EntryHost) refresh(ctx context.Context, r gddiscovery.Request, requests *gddiscovery.Requests) error {
	if !r.Full() {
		return e.watch(ctx, r.Wait(), r.Timeout())
	}
	if err := e.load(ctx, r.Timeout()); err != nil {
		return err
	}
	requests.Loaded()
	return e.watch(ctx, catchUpWait, catchUpTimeout)
}

// load loads the full state.
func (e *EntryHost) load(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requested := time.Now()
	u, err := e.source().Load(ctx)
	if err != nil {
		return err
	}
	e.apply(requested, u, (*gddiscovery.State).Load)
	return nil
}

// watch requests the changes since the known revision.
func (e *EntryHost) watch(ctx context.Context, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u, err := e.source().Watch(ctx, e.revision(), wait)
	if err != nil {
		return err
	}
	// A watch returns at once when something changes, so its result is current.
	e.apply(time.Now(), u, (*gddiscovery.State).Apply)
	return nil
}

// updateFunc applies an update to a state: State.Load or State.Apply.
type updateFunc func(*gddiscovery.State, time.Time, gddiscovery.Update) bool

// apply applies an update that was requested from the source at the time.
func (e *EntryHost) apply(requested time.Time, u gddiscovery.Update, f updateFunc) {
	now := time.Now()
	u.Age += now.Sub(requested)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyLocked(now, u, f, "store")
}

// applyLocked applies an update. It is called with mu locked.
func (e *EntryHost) applyLocked(now time.Time, u gddiscovery.Update, f updateFunc, source string) {
	before := e.state.Revision()
	changed := f(&e.state, now, u)
	e.confirmView(now)
	if after := e.state.Revision(); after.Era() > before.Era() && before != 0 {
		kept, _ := e.state.Unconfirmed()
		e.Log.Event(gdlog.SourceRestored, "revision", after, "before", before, "version", e.state.View().Version(), "kept", kept,
			"settled-in", e.state.SettlingLeft(now).String(), "source", source)
	}
	if !changed {
		return
	}
	v := e.state.View()
	e.execute(now, e.dispatcher.SetView(now, v))
	e.election.TriggerBeacon()
	e.metrics.recordView(v)
	e.Log.Event(gdlog.ViewChanged, "revision", v.Revision(), "version", v.Version(), "age", u.Age.String(),
		"routes", v.Routes(), "upstreams", len(v.Upstreams()), "ignored", v.Ignored(), "domains-out", v.DomainsOut(), "changes", len(u.Changes),
		"source", source)
	if v.Version() > 0 {
		e.ready.Store(true)
	}
}

// confirmView passes the age of the state to the dispatcher, and from when on it lists all
// upstreams. It is called with mu locked.
func (e *EntryHost) confirmView(now time.Time) {
	e.dispatcher.ConfirmView(now.Add(-e.state.Age(now)), now.Add(e.state.SettlingLeft(now)))
}

// execute executes the actions after a change of the view. It is called with mu locked.
func (e *EntryHost) execute(now time.Time, actions []gddispatch.Action) {
	if !e.election.Reading() {
		// The readers are the first to learn of a status, and two of them are enough.
		actions = slices.DeleteFunc(actions, func(a gddispatch.Action) bool { return a.Verb == gddispatch.SendStatus })
	}
	if len(actions) == 0 {
		return
	}
	e.viewSender.execute(now, actions)
	e.viewSender.flush()
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
