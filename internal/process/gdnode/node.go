// Package gdnode contains the common parts of the balancer and agent processes: the
// source of the configuration, the token keys that are derived from it, counters of
// decisions, and datagram buffers.
//
// # Usage
//
//	w := gdnode.Watcher{Fleet: fleet, Config: conf}
//	if v, keyring, changed := w.Poll(); changed {
//		core.SetView(now, v)
//		opener = gdtoken.NewOpener(keyring)
//	}
package gdnode

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// ConfigSource provides the active configuration. It is safe for concurrent use.
type ConfigSource interface {
	// View returns the active configuration, or nil before the first.
	View() *gdconf.View
	// MayDecide reports whether the process may act on the view: it was not paused,
	// or it has confirmed the view after the pause.
	MayDecide(now time.Time) bool
	// ObservePeerVersion handles the version in a peer's envelope.
	ObservePeerVersion(from string, v gdconf.Version)
}

// Watcher detects new views and derives their token keys. It belongs to one goroutine.
type Watcher struct {
	Fleet  gdkey.FleetKey
	Config ConfigSource

	view    *gdconf.View
	keys    []config.TokenKey
	keyring *gdtoken.Keyring
}

// Poll returns the active view, its token keys, and whether the view has changed
// since the last call. If the keys of a view can't be derived, the previous keys stay
// in use.
func (w *Watcher) Poll() (*gdconf.View, *gdtoken.Keyring, bool) {
	v := w.Config.View()
	if v == nil || v == w.view {
		return w.view, w.keyring, false
	}
	w.view = v
	keys := v.Deployment().TokenKeys
	if !slices.Equal(keys, w.keys) {
		if keyring, err := DeriveKeyring(w.Fleet, keys); err == nil {
			w.keys, w.keyring = keys, keyring
		}
	}
	return w.view, w.keyring, true
}

// DeriveKeyring derives the token keys in the configuration from the fleet key.
func DeriveKeyring(fleet gdkey.FleetKey, keys []config.TokenKey) (*gdtoken.Keyring, error) {
	derived := make([]gdtoken.Key, 0, len(keys))
	for _, k := range keys {
		secret := fleet.Derive("route-token/"+k.Name, gdtoken.KeySize)
		derived = append(derived, gdtoken.NewKey(k.Phase, secret))
	}
	keyring, err := gdtoken.NewKeyring(derived)
	return keyring, errors.Wrap(err, "derive token keys")
}

// Buffer is a buffer for one datagram.
type Buffer [gdenvelope.MaxSize]byte

var buffers = sync.Pool{New: func() any { return new(Buffer) }}

// GetBuffer returns a buffer with undefined content.
func GetBuffer() *Buffer { return buffers.Get().(*Buffer) }

// PutBuffer returns a buffer to the pool. The caller must not use it afterwards.
func PutBuffer(b *Buffer) { buffers.Put(b) }

// CountRingFull is the name of the counter of datagrams that were dropped because the
// ring was full.
const CountRingFull = "ring-full"

// maxReasons is the maximum number of reasons that Counters can count.
const maxReasons = 32

// Counters counts packets by the reason for their decision, and datagrams that were
// dropped without a decision. It is safe for concurrent use.
type Counters struct {
	reasons   [maxReasons]atomic.Uint64
	truncated atomic.Uint64
	oversized atomic.Uint64
	format    atomic.Uint64
	forged    atomic.Uint64
	replayed  atomic.Uint64
	noHeader  atomic.Uint64
	sendError atomic.Uint64
	ringFull  atomic.Uint64
}

// AddDecision counts a decision on a packet.
func (c *Counters) AddDecision(r gdroute.Reason) { c.reasons[r%maxReasons].Add(1) }

// AddEnvelopeError counts an envelope that could not be opened.
func (c *Counters) AddEnvelopeError(err error) {
	switch {
	case errors.Is(err, gdenvelope.ErrTruncated):
		c.truncated.Add(1)
	case errors.Is(err, gdenvelope.ErrOversized):
		c.oversized.Add(1)
	case errors.Is(err, gdenvelope.ErrReplayed):
		c.replayed.Add(1)
	case errors.Is(err, gdenvelope.ErrForged):
		c.forged.Add(1)
	default:
		c.format.Add(1)
	}
}

// AddNoHeader counts a caller's datagram without a readable QUIC header.
func (c *Counters) AddNoHeader() { c.noHeader.Add(1) }

// AddSendError counts a datagram that could not be sent.
func (c *Counters) AddSendError() { c.sendError.Add(1) }

// AddSendErrors counts n datagrams that could not be sent.
func (c *Counters) AddSendErrors(n int) { c.sendError.Add(uint64(n)) }

// AddRingFull counts a datagram that was dropped because the ring was full.
func (c *Counters) AddRingFull() { c.ringFull.Add(1) }

// Count is one counter with its name in kebab case.
type Count struct {
	Name  string `json:"name"`
	Value uint64 `json:"value"`
}

// Snapshot returns all counters that are above zero.
func (c *Counters) Snapshot() []Count {
	var out []Count
	add := func(name string, n *atomic.Uint64) {
		if v := n.Load(); v > 0 {
			out = append(out, Count{Name: name, Value: v})
		}
	}
	for i := range gdroute.NumReasons() {
		add(gdroute.Reason(i).String(), &c.reasons[i])
	}
	add("envelope-truncated", &c.truncated)
	add("envelope-oversized", &c.oversized)
	add("envelope-format", &c.format)
	add("envelope-forged", &c.forged)
	add("envelope-replayed", &c.replayed)
	add("no-header", &c.noHeader)
	add("send-error", &c.sendError)
	add(CountRingFull, &c.ringFull)
	return out
}
