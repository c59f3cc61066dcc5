package gdpeer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeerpb"
)

const (
	// DefaultTimeout is the default timeout of one call to a peer.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxPeers is the default number of peers whose connections are reused.
	DefaultMaxPeers = 32
	// maxResponseBytes limits the body of a response. It is large enough for a snapshot
	// of the largest configuration.
	maxResponseBytes = 16 << 20
	// idleConnTimeout is the time after which an unused connection is closed.
	idleConnTimeout = 30 * time.Second
)

// Dialer calls peers at their control addresses, each an IP address with a port. Set
// the exported fields before use. A Dialer is safe for concurrent use.
type Dialer struct {
	Identity *Identity
	// Name and Incarnation identify this process to its peers.
	Name        string
	Incarnation uint64
	// Address is the control address of this process, which peers get with its
	// digests. It may be empty.
	Address string
	// Version returns the active configuration version.
	Version func() gdconf.Version
	// Timeout is the timeout of one call. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxPeers is the number of peers whose connections are reused for further calls.
	// Values below 1 mean DefaultMaxPeers.
	MaxPeers int

	once    sync.Once
	clients *lru.Cache[string, *client]
	mu      sync.Mutex
}

func (d *Dialer) init() {
	d.once.Do(func() {
		if d.Timeout == 0 {
			d.Timeout = DefaultTimeout
		}
		if d.MaxPeers <= 0 {
			d.MaxPeers = DefaultMaxPeers
		}
		retire := func(_ string, c *client) { c.retire() }
		d.clients, _ = lru.NewWithEvict(d.MaxPeers, retire) // returns an error only for a size below 1
	})
}

// Close closes each connection as soon as no call uses it.
func (d *Dialer) Close() {
	d.init()
	d.clients.Purge()
}

// client returns the client of a peer after counting a call as active on it.
func (d *Dialer) client(addr string) *client {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients.Get(addr)
	if !ok {
		c = newClient(d, addr)
	}
	c.beginCall()
	if !ok {
		d.clients.Add(addr, c)
	}
	return c
}

func (d *Dialer) sender() *gdpeerpb.Sender {
	s := &gdpeerpb.Sender{Name: d.Name, Incarnation: d.Incarnation, Address: d.Address}
	if d.Version != nil {
		s.Version = fromVersion(d.Version())
	}
	return s
}

// call makes one call with the timeout. Its error names the operation and the peer.
func call[Q, A any](ctx context.Context, d *Dialer, operation, addr string, f func(gdpeerpb.Peer, context.Context, Q) (A, error), q Q) (A, error) {
	c := d.client(addr)
	defer c.endCall()
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	a, err := f(c.rpc, ctx, q)
	return a, errors.Wrapf(err, "%s at peer %s", operation, addr)
}

// Push sends an update to a peer.
func (d *Dialer) Push(ctx context.Context, to gdsync.Member, u gdsync.Update) error {
	data, err := gdsync.Encode(u)
	if err != nil {
		return err
	}
	q := &gdpeerpb.PushRequest{Sender: d.sender(), Update: data}
	_, err = call(ctx, d, "push update", to.Address(), gdpeerpb.Peer.Push, q)
	return err
}

// ExchangeDigest sends the active version to a peer and returns the peer's version.
func (d *Dialer) ExchangeDigest(ctx context.Context, to gdsync.Member, v gdconf.Version) (gdconf.Version, error) {
	q := &gdpeerpb.DigestRequest{Sender: d.sender()}
	q.Sender.Version = fromVersion(v)
	a, err := call(ctx, d, "exchange digest", to.Address(), gdpeerpb.Peer.Digest, q)
	return toVersion(a.GetVersion()), err
}

// Fetch returns the update from the given version to the peer's. It returns false if the
// peer has no newer version.
func (d *Dialer) Fetch(ctx context.Context, from gdsync.Member, have gdconf.Version) (gdsync.Update, bool, error) {
	q := &gdpeerpb.FetchRequest{Sender: d.sender(), Have: fromVersion(have)}
	a, err := call(ctx, d, "fetch update", from.Address(), gdpeerpb.Peer.Fetch, q)
	if err != nil || len(a.GetUpdate()) == 0 {
		return gdsync.Update{}, false, err
	}
	u, err := gdsync.Decode(a.GetUpdate())
	return u, err == nil, errors.Wrapf(err, "fetch update at peer %s", from.Address())
}

// Announce announces a lease to a peer.
func (d *Dialer) Announce(ctx context.Context, to gdsync.Member, l gdsync.Lease) error {
	q := &gdpeerpb.AnnounceRequest{
		Sender: d.sender(), Revision: l.Revision, Fingerprint: l.Fingerprint,
		Reader: l.Reader, Sequence: l.Sequence,
	}
	_, err := call(ctx, d, "announce lease", to.Address(), gdpeerpb.Peer.Announce, q)
	return err
}

// ExchangeLoad sends the load of this process's upstream to a peer and returns the
// peer's load.
func (d *Dialer) ExchangeLoad(ctx context.Context, addr string, l Load) (PeerLoad, error) {
	q := &gdpeerpb.ExchangeLoadRequest{Sender: d.sender(), Load: fromLoad(l)}
	a, err := call(ctx, d, "exchange load", addr, gdpeerpb.Peer.ExchangeLoad, q)
	if err != nil {
		return PeerLoad{}, err
	}
	return PeerLoad{Load: toLoad(a.GetLoad()), Incarnation: a.GetIncarnation(), Version: toVersion(a.GetVersion())}, nil
}

// Query queries a peer about a key. If it returns an error, the peer may or may not have
// received the query.
func (d *Dialer) Query(ctx context.Context, addr string, query gddedup.Query) (gddedup.Reply, error) {
	data, err := cbor.Marshal(query)
	if err != nil {
		return gddedup.Reply{}, errors.Wrap(err, "encode query")
	}
	q := &gdpeerpb.AskRequest{Sender: d.sender(), Question: data}
	r, err := call(ctx, d, "query a key", addr, gdpeerpb.Peer.Ask, q)
	if err != nil {
		return gddedup.Reply{}, err
	}
	var a gddedup.Reply
	err = cbor.Unmarshal(r.GetAnswer(), &a)
	return a, errors.Wrapf(err, "query a key at peer %s", addr)
}

// Release releases the grant that the peer gave for a query.
func (d *Dialer) Release(ctx context.Context, addr string, query gddedup.Query) error {
	data, err := cbor.Marshal(query)
	if err != nil {
		return errors.Wrap(err, "encode query")
	}
	return d.sendNotify(ctx, addr, &gdpeerpb.NotifyRequest{Released: data})
}

// Notify sends a notice about a key to a peer.
func (d *Dialer) Notify(ctx context.Context, addr string, notice gddedup.Notice) error {
	data, err := cbor.Marshal(notice)
	if err != nil {
		return errors.Wrap(err, "encode notice")
	}
	return d.sendNotify(ctx, addr, &gdpeerpb.NotifyRequest{Notice: data})
}

func (d *Dialer) sendNotify(ctx context.Context, addr string, q *gdpeerpb.NotifyRequest) error {
	q.Sender = d.sender()
	_, err := call(ctx, d, "notify of a key", addr, gdpeerpb.Peer.Notify, q)
	return err
}
