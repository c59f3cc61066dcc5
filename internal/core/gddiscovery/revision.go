package gddiscovery

import "fmt"

const (
	// numberBits is how many bits of a Revision hold its number. The era takes the rest.
	numberBits = 48
	// MaxNumber is the highest number of a Revision.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the highest era of a Revision.
	MaxEra = 1<<(64-numberBits) - 1
)

// Revision is a position in the order of all changes: the era of the source that made the
// change, and the change's number in it. A source that is restored from a copy starts a new
// era, in which it gives out numbers again that it has given out before. Revisions compare
// with the usual operators, by era first. The zero Revision comes before all others.
type Revision uint64

// NewRevision returns the revision of a number in an era. Neither may be above its maximum.
func NewRevision(era, number uint64) Revision { return Revision(era<<numberBits | number) }

// Era returns the era of the source.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the change in its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the era and the number, separated by a dot.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }

// MarshalText encodes the revision as String does.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
