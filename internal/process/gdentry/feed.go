package gdentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
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
	// beaconCheckInterval is the interval at which the host checks whether a beacon is
	// due: half the beacon interval of a reader.
	beaconCheckInterval = gdreaders.BeaconInterval / 2
	// changeRepeats is in how many beacons a reader sends each change. A host that missed
	// the beacons of both readers fetches an update.
	changeRepeats = 2
	// fetchTimeout is the timeout for fetching an update from another entry host, and
	// maxFetchTimeout the highest one after updates that took longer to arrive.
	fetchTimeout    = time.Second
	maxFetchTimeout = 16 * time.Second
	// fetchInterval is the delay between two fetches, so that a series of configurations
	// is fetched in few steps and does not saturate slow links.
	fetchInterval = 200 * time.Millisecond
	// updatesPath is where other entry hosts fetch updates.
	updatesPath = "/updates"
	afterParam  = "after"
)

// initState initialises the state and the reader election.
func (e *EntryHost) initState() {
	e.mu.Lock() // settings may be reloaded during the start
	defer e.mu.Unlock()
	e.state.MaxFlowAge = e.MaxFlowAge
	self, _ := gdflow.AddressFromAddrPort(e.FeedAddress)
	e.election = gdreaders.Election{Self: self, Rank: e.Rank, Domain: e.Domain, Seeds: e.seedAddresses()}
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

// runBeacons sends beacons when they are due, and earlier when the view has changed.
func (e *EntryHost) runBeacons(ctx context.Context) {
	t := time.NewTicker(beaconCheckInterval)
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

// sendBeacons sends a beacon to each host for which one is due.
func (e *EntryHost) sendBeacons(now time.Time) {
	e.mu.Lock()
	wasReader := e.election.Reading()
	age := e.state.Age(now)
	to := slices.Clone(e.election.Tick(now, age))
	reads := e.election.Reading()
	b := gdfeed.Beacon{Beacon: e.election.Beacon(now, e.state.Revision(), age)}
	_, b.Unconfirmed = e.state.Unconfirmed()
	b.SettlingLeft = e.state.SettlingLeft(now)
	if base, ok := e.history.Base(); reads && ok && len(to) > 0 {
		b.BaseRevision = max(base, e.state.CompleteSince())
		b.Update = e.state.ChangesSince(now, b.BaseRevision)
	}
	switch {
	case !reads:
		e.history.Reset()
	case e.election.SentToAll(now):
		e.history.Sent(b.Revision)
	}
	known, revision := e.election.KnownHosts(), e.state.Revision()
	e.mu.Unlock()
	if wasReader != reads {
		e.readingChanged(reads, known, revision, age)
	}
	if len(to) == 0 {
		return
	}
	beacons, err := gdfeed.EncodeBeacons(b)
	if err != nil {
		e.Log.Failure(gdlog.ProcessFailed, err)
		return
	}
	for _, r := range to {
		for _, data := range beacons {
			if len(r.Targets) > 0 {
				data = gdfeed.AppendToRelay(nil, data, r.Targets)
			}
			e.sendFeed(r.Address.AddrPort(), data)
		}
	}
}

// sendFeed sends a datagram to another entry host.
func (e *EntryHost) sendFeed(to netip.AddrPort, data []byte) {
	if _, err := e.feed.WriteToUDPAddrPort(data, to); err != nil {
		e.metrics.failedWrites.Inc(1)
	}
}

// readingChanged logs that the host has started or stopped reading the source, and
// wakes the reading goroutine.
func (e *EntryHost) readingChanged(reads bool, known int, revision gddiscovery.Revision, age time.Duration) {
	ev := gdlog.BecameFollower
	if reads {
		ev = gdlog.BecameReader
		select {
		case e.becameReader <- struct{}{}:
		default:
		}
	}
	e.Log.Event(ev, "peers", known, "revision", revision, "age", age.String())
}

// readBeacons receives the beacons of other entry hosts.
func (e *EntryHost) readBeacons(ctx context.Context) error {
	buf := make([]byte, gdsocket.MaxDatagramSize)
	for {
		n, from, err := e.feed.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			e.metrics.failedReads.Inc(1)
			continue
		}
		sender, ok := gdflow.AddressFromAddrPort(from)
		if !ok || from.Port() != e.FeedAddress.Port() || !e.handleDatagram(time.Now(), sender, buf[:n]) {
			e.metrics.malformed.Inc(1)
		}
	}
}

// handleDatagram handles the beacon in a datagram, and relays it if the sender asks for it.
// It reports false if the datagram is invalid.
func (e *EntryHost) handleDatagram(now time.Time, sender gdflow.Address, data []byte) bool {
	d, err := gdfeed.ParseDatagram(data, e.FeedAddress.Port())
	if err != nil {
		return false
	}
	b, err := gdfeed.DecodeBeacon(d.Beacon)
	if err != nil {
		return false
	}
	origin := sender
	if d.Relayed {
		origin = d.Origin
	}
	e.handleBeacon(now, origin, sender, b)
	for _, r := range gdreaders.Relay(d.Targets) {
		out := d.Beacon
		if len(r.Targets) > 0 {
			out = gdfeed.AppendToRelay(nil, out, r.Targets)
		}
		e.sendFeed(r.Address.AddrPort(), gdfeed.AppendRelayed(nil, out, origin))
	}
	return true
}

// handleBeacon applies a beacon with its changes. If the host is still behind, an update
// is fetched from the sender, which may have relayed the beacon of the origin.
func (e *EntryHost) handleBeacon(now time.Time, origin, sender gdflow.Address, b gdfeed.Beacon) {
	e.mu.Lock()
	e.election.HandleBeacon(now, origin, b.Beacon)
	current := e.state.Revision()
	if e.state.Loaded() && b.Reading && (b.Revision == current || b.BaseRevision > 0 && b.BaseRevision <= current && b.Revision > current) {
		e.applyLocked(now, b.Update, (*gddiscovery.State).Apply, origin.String())
	}
	behind := b.Revision > e.state.Revision() || e.learnsFrom(now, b)
	e.mu.Unlock()
	if behind {
		select {
		case e.behind <- sender:
		default:
		}
	}
}

// learnsFrom notes how long the sender's view may lack upstreams since the source was
// restored, and reports whether the sender keeps other things from before than this host.
// It is called with mu locked.
func (e *EntryHost) learnsFrom(now time.Time, b gdfeed.Beacon) bool {
	if !e.state.Loaded() || b.Revision.Era() != e.state.Revision().Era() {
		return false
	}
	e.state.ExtendSettling(now, b.SettlingLeft)
	e.confirmView(now)
	_, sum := e.state.Unconfirmed()
	return b.Unconfirmed != 0 && b.Unconfirmed != sum
}

// serveUpdates serves updates to other entry hosts.
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
		u := e.state.UpdateSince(now, gddiscovery.Revision(after))
		e.mu.Unlock()
		if err := gdfeed.WriteUpdate(w, u); err != nil {
			e.metrics.failedWrites.Inc(1)
		}
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, IdleTimeout: fetchTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(e.updates)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve updates")
}

// fetchUpdates fetches updates from hosts that have announced a higher revision.
func (e *EntryHost) fetchUpdates(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: fetchTimeout}).DialContext, ResponseHeaderTimeout: fetchTimeout, DisableKeepAlives: true,
	}}
	var unread gddiscovery.Unread
	for {
		var host gdflow.Address
		select {
		case <-ctx.Done():
			return
		case host = <-e.behind:
		}
		timeout := unread.Extend(fetchTimeout, maxFetchTimeout)
		err := e.fetchUpdate(ctx, client, timeout, host, e.revision())
		if errors.Is(err, errNotApplicable) {
			err = e.fetchUpdate(ctx, client, timeout, host, 0)
		}
		unread.Note(err)
		if err != nil {
			e.Log.Failure(gdlog.PeerUnreachable, err, "peer", host.String(), "timeout", timeout.String())
		}
		sleep(ctx, fetchInterval)
	}
}

// errNotApplicable means that an update does not apply to this host's state. The full
// state does.
var errNotApplicable = errors.New("update does not apply to the known configuration")

// fetchUpdate fetches and applies the changes after the revision, or the full state if
// that is 0.
func (e *EntryHost) fetchUpdate(ctx context.Context, client *http.Client, timeout time.Duration, host gdflow.Address, after gddiscovery.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requested := time.Now()
	u, err := fetch(ctx, client, host, after)
	if err != nil {
		return err
	}
	now := time.Now()
	u.Age += now.Sub(requested)
	e.mu.Lock()
	defer e.mu.Unlock()
	f := (*gddiscovery.State).Apply
	if u.Full {
		f = (*gddiscovery.State).Load
	}
	e.applyLocked(now, u, f, host.String())
	if e.state.Revision() < u.Revision {
		return errors.Wrapf(errNotApplicable, "apply update of revision %d from %s", u.Revision, host)
	}
	return nil
}

// fetch fetches the changes after the revision from another entry host.
func fetch(ctx context.Context, c *http.Client, host gdflow.Address, after gddiscovery.Revision) (gddiscovery.Update, error) {
	u := url.URL{
		Scheme: "http", Host: host.String(), Path: updatesPath,
		RawQuery: url.Values{afterParam: {strconv.FormatUint(uint64(after), 10)}}.Encode(),
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
	if err != nil {
		return gddiscovery.Update{}, gddiscovery.Unreadable(errors.Wrapf(err, "fetch updates from %s", host))
	}
	return update, nil
}
