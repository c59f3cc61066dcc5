// Package gdpacer shares the link of an entry host between bulk data and everything else.
//
// Uploads of many callers together can fill the queue of a slow link. Requests, opening
// packets and queries behind them then wait longer than their latency objectives. A Pacer
// sends bulk packets at a rate below the link's and lets all others pass. Senders of bulk
// data have a limited window, so that they slow down to the rate at which their packets
// are forwarded.
//
// # Usage
//
//	p := &gdpacer.Pacer{BytesPerSecond: 1e6}
//	switch p.Offer(now, packet) {
//	case gdpacer.Pass:
//		... send it
//	}
//	for packet := range p.Due(now) {
//		... send it
//	}
//	next := p.NextDue() // call Due then
//
// A Pacer is not safe for concurrent use.
package gdpacer

import (
	"iter"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// bulkSize is the size from which on the data of a packet that is not urgent counts as
	// bulk, in bytes.
	bulkSize = 600
	// burst is for how long bulk packets may exceed the rate after a pause.
	burst = 10 * time.Millisecond
	// maxDelay is how long a bulk packet waits at most: longer than the callers'
	// retransmission timeout would only add retransmissions.
	maxDelay = 180 * time.Millisecond
	// maxDebt is for how long other packets may use the rate up, so that bulk packets are
	// never held for longer.
	maxDebt = 50 * time.Millisecond
)

// Packet is a packet of a caller.
type Packet struct {
	Key gdflow.Key
	Seq uint32
	// Size is the length of the packet's payload, in bytes.
	Size int
	// Urgent packets are never bulk.
	Urgent bool
	// To is where the datagram goes.
	To gdflow.Address
	// Datagram is the packet as it is sent. A Pacer that queues the packet copies it.
	Datagram []byte
}

// Decision says what to do with a packet.
type Decision uint8

// The decisions.
const (
	// Pass sends the packet now.
	Pass Decision = iota
	// Queued: the packet will be due later.
	Queued
	// Dropped: the queue is full.
	Dropped
	// Duplicate: the same packet is queued already.
	Duplicate
)

// Pacer paces bulk packets. Its exported field must be set before the first call.
type Pacer struct {
	// BytesPerSecond is the rate for all packets together. Zero means no limit.
	BytesPerSecond float64

	tokens  float64 // in bytes
	updated time.Time
	queue   []Packet
	bytes   int
	// flows counts the queued packets of each flow, so that their order is kept.
	flows  map[gdflow.Key]int
	queued map[packetID]struct{}
}

// packetID identifies a packet and its retransmissions.
type packetID struct {
	key gdflow.Key
	seq uint32
}

func (p *Pacer) limit(d time.Duration) float64 { return p.BytesPerSecond * d.Seconds() }

func (p *Pacer) refill(now time.Time) {
	if p.updated.IsZero() {
		p.tokens = p.limit(burst)
	} else {
		p.tokens = min(p.limit(burst), p.tokens+p.limit(now.Sub(p.updated)))
	}
	p.updated = now
}

// Offer decides on a packet.
func (p *Pacer) Offer(now time.Time, k Packet) Decision {
	if p.BytesPerSecond == 0 {
		return Pass
	}
	p.refill(now)
	size := float64(len(k.Datagram))
	inOrder := k.Size == 0 || p.flows[k.Key] == 0
	switch {
	case (k.Urgent || k.Size < bulkSize) && inOrder:
		p.spend(len(k.Datagram))
		return Pass
	case len(p.queue) == 0 && p.tokens >= size:
		p.tokens -= size
		return Pass
	}
	id := packetID{key: k.Key, seq: k.Seq}
	if _, ok := p.queued[id]; ok {
		return Duplicate
	}
	if float64(p.bytes)+size > p.limit(maxDelay) {
		return Dropped
	}
	p.enqueue(id, k)
	return Queued
}

// Spend records that other data was sent.
func (p *Pacer) Spend(now time.Time, size int) {
	if p.BytesPerSecond > 0 {
		p.refill(now)
		p.spend(size)
	}
}

func (p *Pacer) spend(size int) { p.tokens = max(p.tokens-float64(size), -p.limit(maxDebt)) }

func (p *Pacer) enqueue(id packetID, k Packet) {
	if p.flows == nil {
		p.flows, p.queued = make(map[gdflow.Key]int), make(map[packetID]struct{})
	}
	k.Datagram = append([]byte(nil), k.Datagram...)
	p.queue = append(p.queue, k)
	p.bytes += len(k.Datagram)
	p.flows[k.Key]++
	p.queued[id] = struct{}{}
}

// Due yields the queued packets that are to be sent now, and removes them.
func (p *Pacer) Due(now time.Time) iter.Seq[Packet] {
	return func(yield func(Packet) bool) {
		p.refill(now)
		for len(p.queue) > 0 && p.tokens >= p.needed() {
			k := p.queue[0]
			p.queue = p.queue[1:]
			p.tokens -= float64(len(k.Datagram))
			p.bytes -= len(k.Datagram)
			if p.flows[k.Key]--; p.flows[k.Key] == 0 {
				delete(p.flows, k.Key)
			}
			delete(p.queued, packetID{key: k.Key, seq: k.Seq})
			if !yield(k) {
				return
			}
		}
	}
}

// needed returns the tokens that the first packet needs, at most as many as there can be.
func (p *Pacer) needed() float64 { return min(float64(len(p.queue[0].Datagram)), p.limit(burst)) }

// NextDue returns when the next queued packet is due, or the zero time if there is none.
func (p *Pacer) NextDue() time.Time {
	if len(p.queue) == 0 {
		return time.Time{}
	}
	missing := max(p.needed()-p.tokens, 0)
	return p.updated.Add(time.Duration(missing / p.BytesPerSecond * float64(time.Second)))
}

// Queued returns the number of queued packets.
func (p *Pacer) Queued() int { return len(p.queue) }
