// Package gdnode holds what the balancer and the agent processes share: the
// view of the configuration as a process sees it, the token keys that follow
// from it, counters of decisions, and the buffers of datagrams.
//
// # Usage
//
//	w := gdnode.Watcher{Fleet: fleet, Config: conf}
//	if v, ring, changed := w.Look(); changed {
//		core.SetView(now, v)
//		opener = gdtoken.NewOpener(ring)
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

// ConfigSource is the port through which a process learns the configuration in force.
// It is safe for concurrent use.
type ConfigSource interface {
	// View returns the configuration in force, or nil before the first.
	View() *gdconf.View
	// MayDecide reports whether the process may act on the view: it was not
	// paused, or has confirmed the view since.
	MayDecide(now time.Time) bool
	// PeerVersion notes the version that a peer's envelope carried.
	ObservePeerVersion(from string, v gdconf.Version)
}

// Watcher notices a new view. It belongs to one goroutine.
type Watcher struct {
	Fleet  gdkey.FleetKey
	Config ConfigSource

	view *gdconf.View
	keys []config.TokenKey
	ring *gdtoken.Keyring
}

// Poll returns the view in force and its token keys, and whether the view has
// changed since the last call. Keys that the view could not give leave the old
// ones in place.
func (w *Watcher) Poll() (*gdconf.View, *gdtoken.Keyring, bool) {
	v := w.Config.View()
	if v == nil || v == w.view {
		return w.view, w.ring, false
	}
	w.view = v
	keys := v.Deployment().TokenKeys
	if !slices.Equal(keys, w.keys) {
		if ring, err := DeriveKeyring(w.Fleet, keys); err == nil {
			w.keys, w.ring = keys, ring
		}
	}
	return w.view, w.ring, true
}

// DeriveKeyring derives the token keys that the configuration names.
func DeriveKeyring(fleet gdkey.FleetKey, keys []config.TokenKey) (*gdtoken.Keyring, error) {
	derived := make([]gdtoken.Key, 0, len(keys))
	for _, k := range keys {
		secret := fleet.Derive("route-token/"+k.Name, gdtoken.KeySize)
		derived = append(derived, gdtoken.NewKey(k.Phase, secret))
	}
	ring, err := gdtoken.NewKeyring(derived)
	return ring, errors.Wrap(err, "derive token keys")
}

// Buffer is room for one datagram.
type Buffer [gdenvelope.MaxSize]byte

var buffers = sync.Pool{New: func() any { return new(Buffer) }}

// GetBuffer returns a buffer with undefined content.
func GetBuffer() *Buffer { return buffers.Get().(*Buffer) }

// PutBuffer gives a buffer back. Its content must not be used afterwards.
func PutBuffer(b *Buffer) { buffers.Put(b) }

// CountRingFull is the name of the counter of datagrams that a full ring dropped.
const CountRingFull = "ring-full"

// maxReasons bounds the reasons that Counters can count.
const maxReasons = 32

// Counters counts packets by the reason of their decision, and datagrams that
// were unfit. It is safe for concurrent use.
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

// AddSendError counts a datagram that the host did not take.
func (c *Counters) AddSendError() { c.sendError.Add(1) }

// AddSendErrors counts n datagrams that the host did not take.
func (c *Counters) AddSendErrors(n int) { c.sendError.Add(uint64(n)) }

// AddRingFull counts a datagram that was dropped at a full ring.
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
