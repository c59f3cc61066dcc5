package gdentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
	"godwitdrift.example/godwitdrift/internal/wire/gdfeed"
)

const (
	// beatTime is how often the host looks whether a beacon is due: half the time
	// between two of a reader.
	beatTime = gdreaders.BeaconInterval / 2
	// historyTime is how far back the changes in a beacon go, so that a host that
	// missed two needs to fetch none.
	historyTime = 2*gdreaders.BeaconInterval + 100*time.Millisecond
	// fetchTime bounds the fetching of an update from another entry host.
	fetchTime = time.Second
	// fetchPause is the time between two fetches, so that a run of configurations is
	// fetched in few steps and leaves thin links room.
	fetchPause = 200 * time.Millisecond
	// updatesPath is where other entry hosts fetch updates.
	updatesPath = "/updates"
	afterParam  = "after"
)

// revisionAt is when the book reached a revision.
type revisionAt struct {
	at       time.Time
	revision uint64
}

// joinPeers sets up what the host knows of others at its start.
func (e *EntryHost) joinPeers() {
	e.mu.Lock() // settings may be reloaded while the host starts
	defer e.mu.Unlock()
	self, _ := gdflow.AddressFromAddrPort(e.FeedAddress)
	e.peers = gdreaders.Election{Self: self, Rank: e.Rank, Seeds: e.seedAddresses()}
}

func (e *EntryHost) seedAddresses() []gdflow.Address {
	var out []gdflow.Address
	for _, s := range e.Seeds {
		if a, ok := gdflow.AddressFromAddrPort(netip.AddrPortFrom(s, e.FeedAddress.Port())); ok {
			out = append(out, a)
		}
	}
	return out
}

// remember notes the book's revision for the changes in beacons.
func (e *EntryHost) remember(now time.Time) {
	i := 0
	for ; i < len(e.history)-1 && now.Sub(e.history[i+1].at) > historyTime; i++ {
	}
	e.history = append(e.history[i:], revisionAt{at: now, revision: e.book.Revision()})
}

// beat sends beacons when they are due, and sooner when something has changed.
func (e *EntryHost) beat(ctx context.Context) {
	t := time.NewTicker(beatTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.sendBeacons(time.Now())
	}
}

// sendBeacons sends a beacon to each host that is due one.
func (e *EntryHost) sendBeacons(now time.Time) {
	e.mu.Lock()
	was := e.peers.Reading()
	age := e.book.Age(now)
	to := append([]gdflow.Address(nil), e.peers.Tick(now, age)...)
	reads := e.peers.Reading()
	b := gdfeed.Beacon{Beacon: e.peers.Beacon(now, e.book.Revision(), age)}
	if reads && len(e.history) > 0 && len(to) > 0 {
		b.BaseRevision = max(e.history[0].revision, e.book.CompleteSince())
		b.Update = e.book.ChangesSince(now, b.BaseRevision)
	}
	known, revision := e.peers.KnownHosts(), e.book.Revision()
	e.mu.Unlock()
	if was != reads {
		e.turned(reads, known, revision, age)
	}
	if len(to) == 0 {
		return
	}
	beacons, err := gdfeed.EncodeBeacons(b)
	if err != nil {
		e.Log.Failure(gdlog.ProcessFailed, err)
		return
	}
	for _, a := range to {
		for _, data := range beacons {
			if _, err := e.feed.WriteToUDPAddrPort(data, a.AddrPort()); err != nil {
				e.seen.failedWrites.Inc(1)
			}
		}
	}
}

// turned notes that the host began or ended to read the source.
func (e *EntryHost) turned(reads bool, known int, revision uint64, age time.Duration) {
	ev := gdlog.BecameFollower
	if reads {
		ev = gdlog.BecameReader
		select {
		case e.turn <- struct{}{}:
		default:
		}
	}
	e.Log.Event(ev, "peers", known, "revision", revision, "age", age.String())
}

// hearPeers takes in the beacons of other entry hosts.
func (e *EntryHost) hearPeers(ctx context.Context) error {
	buf := make([]byte, gdsocket.MaxDatagramSize)
	for {
		n, from, err := e.feed.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			e.seen.failedReads.Inc(1)
			continue
		}
		host, ok := gdflow.AddressFromAddrPort(from)
		b, err := gdfeed.DecodeBeacon(buf[:n])
		if err != nil || !ok || from.Port() != e.FeedAddress.Port() {
			e.seen.malformed.Inc(1)
			continue
		}
		e.heardBeacon(time.Now(), host, b)
	}
}

// heardBeacon takes in a beacon with its changes, or has them fetched.
func (e *EntryHost) heardBeacon(now time.Time, host gdflow.Address, b gdfeed.Beacon) {
	e.mu.Lock()
	e.peers.HandleBeacon(now, host, b.Beacon)
	have := e.book.Revision()
	loaded := e.book.Loaded()
	if loaded && b.Reading && (b.Revision == have || b.BaseRevision > 0 && b.BaseRevision <= have && b.Revision > have) {
		e.takeLocked(now, b.Update, (*gddiscovery.State).Apply, host.String())
		have = e.book.Revision()
	}
	e.mu.Unlock()
	if b.Revision > have {
		select {
		case e.behind <- host:
		default:
		}
	}
}

// serveUpdates answers other entry hosts that are behind.
func (e *EntryHost) serveUpdates(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(updatesPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get(afterParam), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		now := time.Now()
		e.mu.Lock()
		u := e.book.ChangesSince(now, after)
		e.mu.Unlock()
		if err := gdfeed.WriteUpdate(w, u); err != nil {
			e.seen.failedWrites.Inc(1)
		}
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: fetchTime, IdleTimeout: fetchTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(e.updates)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve updates")
}

// fetchUpdates fetches updates from hosts that have shown a higher revision.
func (e *EntryHost) fetchUpdates(ctx context.Context) {
	client := &http.Client{Timeout: fetchTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var host gdflow.Address
		select {
		case <-ctx.Done():
			return
		case host = <-e.behind:
		}
		asked := time.Now()
		u, err := fetch(ctx, client, host, e.revision())
		if err != nil {
			e.Log.Failure(gdlog.PeerUnreachable, err, "peer", host.String())
		} else {
			now := time.Now()
			u.Age += now.Sub(asked)
			e.mu.Lock()
			f := (*gddiscovery.State).Apply
			if u.Full {
				f = (*gddiscovery.State).Load
			}
			e.takeLocked(now, u, f, host.String())
			e.mu.Unlock()
		}
		sleep(ctx, fetchPause)
	}
}

// fetch asks another entry host for what has changed after the revision.
func fetch(ctx context.Context, c *http.Client, host gdflow.Address, after uint64) (gddiscovery.Update, error) {
	u := url.URL{
		Scheme: "http", Host: host.String(), Path: updatesPath,
		RawQuery: url.Values{afterParam: {strconv.FormatUint(after, 10)}}.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return gddiscovery.Update{}, errors.Wrapf(err, "fetch updates from %s", host)
	}
	res, err := c.Do(req)
	if err != nil {
		return gddiscovery.Update{}, errors.Wrapf(err, "fetch updates from %s", host)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return gddiscovery.Update{}, errors.Errorf("fetch updates from %s: %s", host, res.Status)
	}
	update, err := gdfeed.ReadUpdate(res.Body)
	return update, errors.Wrapf(err, "fetch updates from %s", host)
}
