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
	// DefaultTimeout bounds one call to a peer.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxPeers is the number of peers whose connections are kept.
	DefaultMaxPeers = 32
	// maxAnswerBytes bounds the body of an answer; a snapshot of the largest
	// configuration fits.
	maxAnswerBytes = 16 << 20
	// idleConn is the time after which an unused connection is closed.
	idleConn = 30 * time.Second
)

// Dialer calls peers by their control address, an IP address with a port. Set
// the exported fields before use; it is safe for concurrent use.
type Dialer struct {
	Identity *Identity
	// Name and Incarnation say who calls.
	Name        string
	Incarnation uint64
	// Address is the control address under which peers reach this process, if
	// they are to learn it from its digests.
	Address string
	// Version returns the configuration version in force.
	Version func() gdconf.Version
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout time.Duration
	// MaxPeers is the number of peers whose connections are kept for further
	// calls; zero means DefaultMaxPeers.
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
		if d.MaxPeers == 0 {
			d.MaxPeers = DefaultMaxPeers
		}
		retire := func(_ string, c *client) { c.retire() }
		d.clients, _ = lru.NewWithEvict(d.MaxPeers, retire) // fails for a size below 1 only
	})
}

// Close closes each connection as soon as it carries no call.
func (d *Dialer) Close() {
	d.init()
	d.clients.Purge()
}

// client returns the peer's client with a call begun on it.
func (d *Dialer) client(addr string) *client {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients.Get(addr)
	if !ok {
		c = newClient(d, addr)
	}
	c.begin()
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

// call runs one call within the timeout. Its error carries the step and peer.
func call[Q, A any](ctx context.Context, d *Dialer, step, addr string, f func(gdpeerpb.Peer, context.Context, Q) (A, error), q Q) (A, error) {
	c := d.client(addr)
	defer c.release()
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	a, err := f(c.rpc, ctx, q)
	return a, errors.Wrapf(err, "%s at peer %s", step, addr)
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

// Digest tells a peer the version in force and returns the peer's.
func (d *Dialer) ExchangeDigest(ctx context.Context, to gdsync.Member, v gdconf.Version) (gdconf.Version, error) {
	q := &gdpeerpb.DigestRequest{Sender: d.sender()}
	q.Sender.Version = fromVersion(v)
	a, err := call(ctx, d, "exchange digest", to.Address(), gdpeerpb.Peer.Digest, q)
	return toVersion(a.GetVersion()), err
}

// Fetch returns what leads from the version to the peer's, and false when the
// peer has nothing newer.
func (d *Dialer) Fetch(ctx context.Context, from gdsync.Member, have gdconf.Version) (gdsync.Update, bool, error) {
	q := &gdpeerpb.FetchRequest{Sender: d.sender(), Have: fromVersion(have)}
	a, err := call(ctx, d, "fetch update", from.Address(), gdpeerpb.Peer.Fetch, q)
	if err != nil || len(a.GetUpdate()) == 0 {
		return gdsync.Update{}, false, err
	}
	u, err := gdsync.Decode(a.GetUpdate())
	return u, err == nil, errors.Wrapf(err, "fetch update at peer %s", from.Address())
}

// Announce tells a peer of a lease.
func (d *Dialer) Announce(ctx context.Context, to gdsync.Member, l gdsync.Lease) error {
	q := &gdpeerpb.AnnounceRequest{
		Sender: d.sender(), Revision: l.Revision, Fingerprint: l.Fingerprint,
		Reader: l.Reader, Sequence: l.Sequence,
	}
	_, err := call(ctx, d, "announce lease", to.Address(), gdpeerpb.Peer.Announce, q)
	return err
}

// ExchangeLoad tells a peer the own load and returns the peer's.
func (d *Dialer) ExchangeLoad(ctx context.Context, addr string, l Load) (PeerLoad, error) {
	q := &gdpeerpb.ExchangeLoadRequest{Sender: d.sender(), Load: fromLoad(l)}
	a, err := call(ctx, d, "exchange load", addr, gdpeerpb.Peer.ExchangeLoad, q)
	if err != nil {
		return PeerLoad{}, err
	}
	return PeerLoad{Load: toLoad(a.GetLoad()), Incarnation: a.GetIncarnation(), Version: toVersion(a.GetVersion())}, nil
}

// Ask asks a peer about a key. On an error the peer may or may not have taken
// the question in.
func (d *Dialer) Query(ctx context.Context, addr string, question gddedup.Query) (gddedup.Reply, error) {
	data, err := cbor.Marshal(question)
	if err != nil {
		return gddedup.Reply{}, errors.Wrap(err, "encode a question")
	}
	q := &gdpeerpb.AskRequest{Sender: d.sender(), Question: data}
	r, err := call(ctx, d, "ask about a key", addr, gdpeerpb.Peer.Ask, q)
	if err != nil {
		return gddedup.Reply{}, err
	}
	var a gddedup.Reply
	err = cbor.Unmarshal(r.GetAnswer(), &a)
	return a, errors.Wrapf(err, "ask about a key at peer %s", addr)
}

// Release gives the grant of a question back.
func (d *Dialer) Release(ctx context.Context, addr string, question gddedup.Query) error {
	data, err := cbor.Marshal(question)
	if err != nil {
		return errors.Wrap(err, "encode a question")
	}
	return d.sendNotify(ctx, addr, &gdpeerpb.NotifyRequest{Released: data})
}

// Tell sends a notice about a key.
func (d *Dialer) Notify(ctx context.Context, addr string, notice gddedup.Notice) error {
	data, err := cbor.Marshal(notice)
	if err != nil {
		return errors.Wrap(err, "encode a notice")
	}
	return d.sendNotify(ctx, addr, &gdpeerpb.NotifyRequest{Notice: data})
}

func (d *Dialer) sendNotify(ctx context.Context, addr string, q *gdpeerpb.NotifyRequest) error {
	q.Sender = d.sender()
	_, err := call(ctx, d, "notify about a key", addr, gdpeerpb.Peer.Notify, q)
	return err
}
