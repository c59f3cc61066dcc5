package gdflow

// Opening identifies the packet that opened a flow. The zero value is that of a flow whose
// opening packet was not observed.
type Opening struct {
	seq   uint32
	known bool
}

// maxCallerData is the maximum number of bytes that a caller sends on a flow.
const maxCallerData = 1 << 26

// OpeningOf returns the opening of a flow by the packet.
func OpeningOf(p Packet) Opening { return Opening{seq: p.Seq, known: true} }

// ReplacedBy reports whether an opening packet of the same key opens another flow, because
// the caller uses its port again. Otherwise it is a copy. end is the sequence number after
// the last byte that the caller has sent on this flow, if hasData is set.
func (o Opening) ReplacedBy(p Packet, end uint32, hasData bool) bool {
	if o.known {
		return p.Seq != o.seq
	}
	return hasData && end-p.Seq-1 >= maxCallerData
}
