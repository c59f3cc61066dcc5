package gdsync

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Update carries a configuration from one process to another: the index without
// its rows, and the values of services. Without a base it is a snapshot,
// otherwise the difference from its base.
type Update struct {
	Revision     uint64            `cbor:"1,keyasint"`
	Digest       uint64            `cbor:"2,keyasint"`
	BaseRevision uint64            `cbor:"3,keyasint,omitempty"`
	BaseDigest   uint64            `cbor:"4,keyasint,omitempty"`
	Name         string            `cbor:"5,keyasint"`
	TokenKeys    []config.TokenKey `cbor:"6,keyasint"`
	Domains      []config.Domain   `cbor:"7,keyasint"`
	// Values are the changed and the added services, the added ones in order.
	Values []ServiceValue `cbor:"8,keyasint,omitempty"`
	// Removed names the services of the base that are removed.
	Removed []string `cbor:"9,keyasint,omitempty"`
	// Order names all services, if replacing, removing and appending do not
	// already result in the right order.
	Order []string `cbor:"10,keyasint,omitempty"`
}

// ServiceValue is the value of one service as stored on the platform.
type ServiceValue struct {
	Name string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Version returns the version that results from applying the update.
func (u Update) Version() gdconf.Version { return gdconf.NewVersion(u.Revision, u.Digest) }

// Base returns the version to which the update applies, or zero for a snapshot.
func (u Update) Base() gdconf.Version { return gdconf.NewVersion(u.BaseRevision, u.BaseDigest) }

// IsSnapshot reports whether the update has no base.
func (u Update) IsSnapshot() bool { return u.Base() == gdconf.Version{} }

// size estimates the encoded size in bytes.
func (u Update) size() int {
	const fixed, perName = 64, 4
	n := fixed
	for _, v := range u.Values {
		n += len(v.Name) + len(v.Data) + 2*perName
	}
	for _, name := range u.Removed {
		n += len(name) + perName
	}
	for _, name := range u.Order {
		n += len(name) + perName
	}
	return n
}

const (
	// maxServices bounds the number of services in a decoded update.
	maxServices = 1 << 16
	// maxNesting bounds the nesting depth of a decoded update.
	maxNesting = 8
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  maxServices,
		MaxMapPairs:       maxServices,
		MaxNestedLevels:   maxNesting,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode encodes an update in CBOR.
func Encode(u Update) ([]byte, error) {
	data, err := cbor.Marshal(u)
	return data, errors.Wrap(err, "encode update")
}

// Decode decodes an update that Encode wrote. Unknown fields, excessive sizes
// and trailing bytes are errors.
func Decode(data []byte) (Update, error) {
	var u Update
	err := decMode.Unmarshal(data, &u)
	return u, errors.Wrap(err, "decode update")
}
