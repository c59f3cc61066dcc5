// Package gdtoken seals and opens route tokens.
//
// A route token is a QUIC connection ID that the serving agent chooses. It
// carries the service, the upstream and the incarnation of the agent, so that
// any balancer can send any later packet of the flow to the right agent without
// a flow table. The token is one AES block under a key that the configuration
// names, behind one byte with the key's phase, as in QUIC-LB.
//
// # Usage
//
//	ring, err := gdtoken.NewRing(keys) // tokens are issued under keys[0]
//	cid := gdtoken.NewSealer(ring).Seal(gdtoken.New(service, upstream, incarnation, serial))
//	t, ok := gdtoken.NewOpener(ring).Open(cid[:])
//
// [Sealer] and [Opener] hold a scratch block, so that they do not allocate. Each
// belongs to one goroutine; a [Keyring] may be shared.
//
// A forged token opens as random fields. Its check bits, its service and its
// upstream must all fit, which a guess does with a chance below 2^-45 at 7,900
// upstreams.
package gdtoken

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// Size is the length of a route token in bytes: the phase and one block.
	Size = 1 + aes.BlockSize
	// KeySize is the length of a token key in bytes.
	KeySize = 16

	phaseShift  = 6
	lengthBits  = Size - 1
	checkOffset = 0
	svcOffset   = 2
	upOffset    = 4
	incOffset   = 8
	serOffset   = 12
)

// Token says where a flow lives.
type Token struct {
	service     gdconf.ServiceID
	upstream    gdconf.UpstreamID
	incarnation uint32
	serial      uint32
}

// New returns a token. The serial makes each token of an incarnation unique.
func New(s gdconf.ServiceID, u gdconf.UpstreamID, incarnation, serial uint32) Token {
	return Token{service: s, upstream: u, incarnation: incarnation, serial: serial}
}

// Service returns the flow's service.
func (t Token) Service() gdconf.ServiceID { return t.service }

// Upstream returns the upstream whose agent holds the flow.
func (t Token) Upstream() gdconf.UpstreamID { return t.upstream }

// Incarnation returns the incarnation of the agent that issued the token.
func (t Token) Incarnation() uint32 { return t.incarnation }

// Serial returns the number that makes the token unique.
func (t Token) Serial() uint32 { return t.serial }

// Key is a token key with its phase.
type Key struct {
	phase  uint8
	secret []byte
}

// NewKey returns a key of KeySize bytes for the phase.
func NewKey(phase uint8, secret []byte) Key { return Key{phase: phase, secret: secret} }

// Phase returns the phase that stands in the key's tokens.
func (k Key) Phase() uint8 { return k.phase }

// Keyring holds the keys in force, one for each phase. It is immutable.
type Keyring struct {
	blocks [config.MaxPhase + 1]cipher.Block
	issue  uint8
}

// NewKeyring builds a ring that issues tokens under the first key and accepts
// tokens under each.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("token keys: none is given")
	}
	r := &Keyring{issue: keys[0].phase}
	for _, k := range keys {
		if k.phase > config.MaxPhase {
			return nil, errors.Errorf("token keys: phase %d is above %d", k.phase, config.MaxPhase)
		}
		b, err := aes.NewCipher(k.secret)
		if err != nil {
			return nil, errors.Wrapf(err, "token keys: phase %d", k.phase)
		}
		r.blocks[k.phase] = b
	}
	return r, nil
}

// Sealer issues tokens. It belongs to one goroutine.
type Sealer struct {
	ring  *Keyring
	plain [aes.BlockSize]byte
	out   [Size]byte
}

// NewSealer returns a sealer for the ring.
func NewSealer(r *Keyring) *Sealer { return &Sealer{ring: r} }

// Seal returns the token as a connection ID.
func (s *Sealer) Seal(t Token) [Size]byte {
	binary.BigEndian.PutUint16(s.plain[checkOffset:], 0)
	binary.BigEndian.PutUint16(s.plain[svcOffset:], uint16(t.service))
	binary.BigEndian.PutUint32(s.plain[upOffset:], uint32(t.upstream))
	binary.BigEndian.PutUint32(s.plain[incOffset:], t.incarnation)
	binary.BigEndian.PutUint32(s.plain[serOffset:], t.serial)
	s.out[0] = s.ring.issue<<phaseShift | lengthBits
	s.ring.blocks[s.ring.issue].Encrypt(s.out[1:], s.plain[:])
	return s.out
}

// Opener reads tokens. It belongs to one goroutine.
type Opener struct {
	ring  *Keyring
	plain [aes.BlockSize]byte
	in    [aes.BlockSize]byte
}

// NewOpener returns an opener for the ring.
func NewOpener(r *Keyring) *Opener { return &Opener{ring: r} }

// Open reads a connection ID. It reports false when the ID is no token under a
// key in force.
func (o *Opener) Open(cid []byte) (Token, bool) {
	if len(cid) != Size || cid[0]&(1<<phaseShift-1) != lengthBits {
		return Token{}, false
	}
	b := o.ring.blocks[cid[0]>>phaseShift]
	if b == nil {
		return Token{}, false
	}
	copy(o.in[:], cid[1:])
	b.Decrypt(o.plain[:], o.in[:])
	if binary.BigEndian.Uint16(o.plain[checkOffset:]) != 0 {
		return Token{}, false
	}
	return Token{
		service:     gdconf.ServiceID(binary.BigEndian.Uint16(o.plain[svcOffset:])),
		upstream:    gdconf.UpstreamID(binary.BigEndian.Uint32(o.plain[upOffset:])),
		incarnation: binary.BigEndian.Uint32(o.plain[incOffset:]),
		serial:      binary.BigEndian.Uint32(o.plain[serOffset:]),
	}, true
}
