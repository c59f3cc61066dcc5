// Package gdfeed encodes the messages in which entry hosts exchange the state of the
// deployment: beacons, which are sent as single datagrams, and updates, which a host
// fetches from another one.
//
// # Usage
//
//	datagrams, err := gdfeed.EncodeBeacons(gdfeed.Beacon{Beacon: beacon, BaseRevision: rev, Update: update})
//	beacon, err := gdfeed.DecodeBeacon(datagram)
//
//	err := gdfeed.WriteUpdate(w, update)
//	update, err := gdfeed.ReadUpdate(r)
//
// Both consist of one byte for the version of the format and CBOR data. Updates are
// compressed, because the routes of a configuration are very similar.
package gdfeed

import (
	"compress/flate"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
)

const (
	// Version is the version of the format.
	Version = 2
	// MaxBeaconSize is the maximum size of a beacon in bytes, without the list of a relay's
	// targets. A datagram of this size is not fragmented on common links.
	MaxBeaconSize = 1400 - originSize - relayOverhead - gdreaders.MaxRelayTargets*ipSize
	// maxUpdateSize is the maximum size of a decompressed update in bytes: the size of
	// the largest value in the users' store, for the configuration and all
	// registrations.
	maxUpdateSize = 4 << 20
	// maxNestedLevels is the depth of a share of a route in the delta of a beacon.
	maxNestedLevels = 9
)

// Beacon is a beacon with the latest changes, if they fit.
type Beacon struct {
	gdreaders.Beacon
	// BaseRevision is the revision to which the changes apply.
	BaseRevision gddiscovery.Revision
	Update       gddiscovery.Update
}

type wireBeacon struct {
	Revision     uint64       `cbor:"1,keyasint"`
	AgeMS        uint32       `cbor:"2,keyasint"`
	Rank         uint32       `cbor:"3,keyasint"`
	Domain       string       `cbor:"9,keyasint,omitempty"`
	Reading      bool         `cbor:"4,keyasint,omitempty"`
	Leaving      bool         `cbor:"5,keyasint,omitempty"`
	Members      []wireMember `cbor:"6,keyasint,omitempty"`
	BaseRevision uint64       `cbor:"7,keyasint,omitempty"`
	Changes      []wireChange `cbor:"8,keyasint,omitempty"`
	Unconfirmed  uint64       `cbor:"10,keyasint,omitempty"`
	SettlingMS   uint32       `cbor:"11,keyasint,omitempty"`
	Partial      bool         `cbor:"12,keyasint,omitempty"`
}

type wireMember struct {
	_       struct{} `cbor:",toarray"`
	Address wireAddress
	Rank    uint32
}

type wireAddress struct {
	_    struct{} `cbor:",toarray"`
	IP   [4]byte
	Port uint16
}

type wireUpdate struct {
	Revision uint64       `cbor:"1,keyasint"`
	AgeMS    uint32       `cbor:"2,keyasint"`
	Changes  []wireChange `cbor:"3,keyasint"`
	Full     bool         `cbor:"4,keyasint,omitempty"`
}

type wireChange struct {
	Kind     uint8         `cbor:"1,keyasint"`
	Name     string        `cbor:"2,keyasint,omitempty"`
	Revision uint64        `cbor:"3,keyasint"`
	Removed  bool          `cbor:"4,keyasint,omitempty"`
	Config   *wireConfig   `cbor:"5,keyasint,omitempty"`
	Upstream *wireUpstream `cbor:"6,keyasint,omitempty"`
	Delta    *wireDelta    `cbor:"7,keyasint,omitempty"`
}

type wireConfig struct {
	Version  uint64        `cbor:"1,keyasint"`
	Routes   []wireRoute   `cbor:"2,keyasint"`
	Services []wireService `cbor:"3,keyasint"`
	IdleMS   uint32        `cbor:"4,keyasint"`
}

// wireDelta is a gddiscovery.ConfigDelta. Config has the new and the different parts.
type wireDelta struct {
	Since           uint64     `cbor:"1,keyasint"`
	Config          wireConfig `cbor:"2,keyasint"`
	RemovedRoutes   []string   `cbor:"3,keyasint,omitempty"`
	RemovedServices []string   `cbor:"4,keyasint,omitempty"`
	Sum             uint64     `cbor:"5,keyasint"`
}

type wireRoute struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Address            wireAddress
	Shares             []wireShare
	Priority           int
	LatencyObjectiveMS uint32
	TimeoutMS          uint32
	Idempotent         bool
}

type wireShare struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  float64
}

type wireService struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	MaxFlows           int
	ColdForMS          uint32
	ColdFlowsPerSecond float64
}

type wireUpstream struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Service        string
	Domain         string
	Address        wireAddress
	Slots          int
	Draining       bool
	ColdForMS      uint32
	StartUnixMilli int64
}

// decMode limits the size of decoded data, so that a message can't cause unbounded
// allocation.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// EncodeBeacons encodes the beacon as one datagram. If its changes don't fit, it encodes
// several datagrams, each with consecutive changes, which must be sent in order. The
// datagrams end before a configuration that does not fit into one; hosts that need it
// fetch it.
func EncodeBeacons(b Beacon) ([][]byte, error) {
	w := wireBeacon{
		Revision: uint64(b.Revision), AgeMS: toMS(b.Age), Rank: b.Rank, Domain: b.Domain, Reading: b.Reading, Leaving: b.Leaving,
		Unconfirmed: b.Unconfirmed, SettlingMS: toMS(b.SettlingLeft),
	}
	for _, m := range b.Members {
		w.Members = append(w.Members, wireMember{Address: toAddress(m.Address), Rank: m.Rank})
	}
	if b.BaseRevision == 0 {
		data, err := encodeBeacon(w)
		return [][]byte{data}, err
	}
	var out [][]byte
	base, changes := uint64(b.BaseRevision), toChanges(b.Update.Changes)
	for {
		n, data, err := encodePrefix(w, base, uint64(b.Revision), changes)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
		if n == len(changes) || n == 0 {
			return out, nil
		}
		base, changes = changes[n-1].Revision, changes[n:]
	}
}

// encodePrefix encodes a beacon with the first changes, as many as fit into one datagram,
// and returns their number. If none fit, it encodes the beacon alone.
func encodePrefix(w wireBeacon, base, revision uint64, changes []wireChange) (int, []byte, error) {
	for n := len(changes); n > 0; n /= 2 {
		w.BaseRevision, w.Changes, w.Revision, w.Partial = base, changes[:n], changes[n-1].Revision, n < len(changes)
		if !w.Partial {
			w.Revision = revision
		}
		data, err := encodeBeacon(w)
		if err != nil || len(data) <= MaxBeaconSize {
			return n, data, err
		}
	}
	w.BaseRevision, w.Changes, w.Revision, w.Partial = 0, nil, revision, false
	if len(changes) == 0 {
		w.BaseRevision = base
	}
	data, err := encodeBeacon(w)
	return 0, data, err
}

func encodeBeacon(w wireBeacon) ([]byte, error) {
	data, err := cbor.Marshal(w)
	return append([]byte{Version}, data...), errors.Wrap(err, "encode beacon")
}

// DecodeBeacon decodes a datagram of EncodeBeacons.
func DecodeBeacon(b []byte) (Beacon, error) {
	var w wireBeacon
	if err := checkVersion(b); err != nil {
		return Beacon{}, err
	}
	if err := decMode.Unmarshal(b[1:], &w); err != nil {
		return Beacon{}, errors.Wrap(err, "decode beacon")
	}
	changes, err := fromChanges(w.Changes)
	if err != nil {
		return Beacon{}, err
	}
	out := Beacon{
		Beacon: gdreaders.Beacon{
			Revision: gddiscovery.Revision(w.Revision), Age: fromMS(w.AgeMS), Rank: w.Rank, Domain: w.Domain, Reading: w.Reading, Leaving: w.Leaving,
			Unconfirmed: w.Unconfirmed, SettlingLeft: fromMS(w.SettlingMS),
		},
		BaseRevision: gddiscovery.Revision(w.BaseRevision),
		Update: gddiscovery.Update{
			Changes: changes, Revision: gddiscovery.Revision(w.Revision), Age: fromMS(w.AgeMS), Partial: w.Partial,
		},
	}
	for _, m := range w.Members {
		out.Members = append(out.Members, gdreaders.Member{Address: m.Address.address(), Rank: m.Rank})
	}
	return out, nil
}

// WriteUpdate encodes an update to w.
func WriteUpdate(w io.Writer, u gddiscovery.Update) error {
	if _, err := w.Write([]byte{Version}); err != nil {
		return errors.Wrap(err, "write update")
	}
	fw, err := flate.NewWriter(w, flate.BestSpeed)
	if err != nil {
		return errors.Wrap(err, "write update")
	}
	if err := cbor.NewEncoder(fw).Encode(wireUpdate{
		Revision: uint64(u.Revision), AgeMS: toMS(u.Age), Changes: toChanges(u.Changes), Full: u.Full,
	}); err != nil {
		return errors.Wrap(err, "write update")
	}
	return errors.Wrap(fw.Close(), "write update")
}

// ReadUpdate decodes an update from r.
func ReadUpdate(r io.Reader) (gddiscovery.Update, error) {
	var version [1]byte
	if _, err := io.ReadFull(r, version[:]); err != nil {
		return gddiscovery.Update{}, errors.Wrap(err, "read update")
	}
	if err := checkVersion(version[:]); err != nil {
		return gddiscovery.Update{}, err
	}
	var w wireUpdate
	if err := decMode.NewDecoder(io.LimitReader(flate.NewReader(r), maxUpdateSize)).Decode(&w); err != nil {
		return gddiscovery.Update{}, errors.Wrap(err, "read update")
	}
	changes, err := fromChanges(w.Changes)
	return gddiscovery.Update{Changes: changes, Revision: gddiscovery.Revision(w.Revision), Age: fromMS(w.AgeMS), Full: w.Full}, err
}

func checkVersion(b []byte) error {
	if len(b) == 0 {
		return errors.New("decode feed message: message is empty")
	}
	if b[0] != Version {
		return errors.Errorf("decode feed message: version %d, want %d", b[0], Version)
	}
	return nil
}

func toMS(d time.Duration) uint32    { return uint32(min(max(d/time.Millisecond, 0), 1<<32-1)) }
func fromMS(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func toAddress(a gdflow.Address) wireAddress  { return wireAddress{IP: a.IP(), Port: a.Port()} }
func (a wireAddress) address() gdflow.Address { return gdflow.AddressFrom(a.IP, a.Port) }
