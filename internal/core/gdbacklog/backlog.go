// Package gdbacklog orders requests that an agent keeps back until their upstream has
// room.
//
// # Usage
//
//	b := &gdbacklog.Backlog[*flow]{MaxPackets: 512, MaxBytes: 1 << 19}
//	if b.HasRoom(p.Size) {
//		r := b.Keep(f, order, p)
//		... b.LastID()
//	}
//	for r := b.First(); r != nil && roomFor(r); r = b.First() {
//		b.Remove(r)
//		... r.Value, r.Packets
//	}
//
// The packets' bytes stay with the user, who finds them by their IDs. A Backlog is not
// safe for concurrent use.
package gdbacklog

import (
	"iter"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Order determines which of the kept requests goes first.
type Order struct {
	// Priority is that of the request, 0 first.
	Priority uint8
	// Share is the share rank of those who ask, 0 first.
	Share uint8
	// KeptAt is when the request was kept back, and Due until when it may be.
	KeptAt, Due time.Time
	// Latest is until when the request can still start in time. Later, it goes behind its equals.
	// The zero time means that it keeps its place.
	Latest time.Time

	late bool
}

// compare is negative if o goes before p. A request that is due goes no earlier for it. Those
// that can't be in time go behind their equals, the newest first: it has the most time left
// until its caller gives up.
func (o Order) compare(p Order) int {
	switch {
	case o.Priority != p.Priority:
		return int(o.Priority) - int(p.Priority)
	case o.Share != p.Share:
		return int(o.Share) - int(p.Share)
	case o.late && p.late:
		return p.KeptAt.Compare(o.KeptAt)
	case o.late:
		return 1
	case p.late:
		return -1
	}
	return o.Due.Compare(p.Due)
}

// Packet is a packet of a kept request.
type Packet struct {
	// ID identifies the packet's bytes. It is never 0.
	ID   uint64
	seq  uint32
	size int
	kind gdflow.Kind
}

// Request is a request that is kept back.
type Request[T any] struct {
	Order
	// Value is what the user needs to deliver the request.
	Value T
	// Packets are its packets in the order of their arrival.
	Packets []Packet
}

// Has reports whether the packet is a copy of one that is kept.
func (r *Request[T]) Has(p gdflow.Packet) bool {
	return slices.ContainsFunc(r.Packets, func(k Packet) bool {
		return k.seq == p.Seq && k.size == p.Size && k.kind == p.Kind
	})
}

// Backlog holds the kept requests in their order. Its exported fields must be set before
// the first call.
type Backlog[T any] struct {
	// MaxPackets and MaxBytes limit what is kept, the bytes by the packets' payload.
	MaxPackets, MaxBytes int

	requests       []*Request[T] // in order
	lastID         uint64
	packets, bytes int
}

// Len returns the number of kept requests.
func (b *Backlog[T]) Len() int { return len(b.requests) }

// Packets returns the number of kept packets.
func (b *Backlog[T]) Packets() int { return b.packets }

// UpTo yields the kept requests of the priority and of more urgent ones.
func (b *Backlog[T]) UpTo(priority uint8) iter.Seq[*Request[T]] {
	return func(yield func(*Request[T]) bool) {
		for _, r := range b.requests {
			if r.Priority > priority || !yield(r) {
				return
			}
		}
	}
}

// HasRoom reports whether one more packet with a payload of the size may be kept.
func (b *Backlog[T]) HasRoom(size int) bool {
	return b.packets < b.MaxPackets && b.bytes+size <= b.MaxBytes
}

// Keep keeps a request that begins with the packet.
func (b *Backlog[T]) Keep(v T, o Order, p gdflow.Packet) *Request[T] {
	r := &Request[T]{Order: o, Value: v}
	b.Append(r, p)
	b.insert(r)
	return r
}

func (b *Backlog[T]) insert(r *Request[T]) {
	i, _ := slices.BinarySearchFunc(b.requests, r.Order, func(x *Request[T], o Order) int {
		if x.compare(o) <= 0 {
			return -1 // a later arrival goes behind its equals
		}
		return 1
	})
	b.requests = slices.Insert(b.requests, i, r)
}

// Append keeps one more packet of a kept request.
func (b *Backlog[T]) Append(r *Request[T], p gdflow.Packet) {
	b.lastID++
	r.Packets = append(r.Packets, Packet{ID: b.lastID, seq: p.Seq, size: p.Size, kind: p.Kind})
	b.packets++
	b.bytes += p.Size
}

// LastID returns the ID of the packet that was kept last.
func (b *Backlog[T]) LastID() uint64 { return b.lastID }

// AheadOf returns how many kept requests go before a new one.
func (b *Backlog[T]) AheadOf(o Order) int {
	n := 0
	for n < len(b.requests) && b.requests[n].compare(o) <= 0 {
		n++
	}
	return n
}

// Expedite makes a kept request due.
func (b *Backlog[T]) Expedite(r *Request[T]) {
	if i := slices.Index(b.requests, r); i >= 0 {
		b.requests = slices.Delete(b.requests, i, i+1)
		r.Due = r.KeptAt
		b.insert(r)
	}
}

// Postpone moves the requests that can't be in time any more behind those that can.
func (b *Backlog[T]) Postpone(now time.Time) {
	var late []*Request[T]
	b.requests = slices.DeleteFunc(b.requests, func(r *Request[T]) bool {
		if r.late || r.Latest.IsZero() || !now.After(r.Latest) {
			return false
		}
		late = append(late, r)
		return true
	})
	for _, r := range late {
		r.late = true
		b.insert(r)
	}
}

// First returns the request that goes next, or nil.
func (b *Backlog[T]) First() *Request[T] {
	if len(b.requests) == 0 {
		return nil
	}
	return b.requests[0]
}

// Due returns the first request, in order, that may no longer be kept, or nil.
func (b *Backlog[T]) Due(now time.Time) *Request[T] {
	for _, r := range b.requests {
		if !now.Before(r.Due) {
			return r
		}
	}
	return nil
}

// NextDue returns when the next request is due, or the zero time if none is kept.
func (b *Backlog[T]) NextDue() time.Time {
	var next time.Time
	for _, r := range b.requests {
		if next.IsZero() || r.Due.Before(next) {
			next = r.Due
		}
	}
	return next
}

// Remove removes a kept request. The request keeps its packets.
func (b *Backlog[T]) Remove(r *Request[T]) {
	i := slices.Index(b.requests, r)
	if i < 0 {
		return
	}
	b.requests = slices.Delete(b.requests, i, i+1)
	b.packets -= len(r.Packets)
	for _, p := range r.Packets {
		b.bytes -= p.size
	}
}
