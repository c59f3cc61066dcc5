// Package gdtoken seals and opens route tokens.
//
// A route token is a QUIC connection ID issued by the serving agent. It contains the
// service, the upstream and the agent's incarnation, so that any balancer can route
// every later packet of the flow to that agent without a flow table. As in QUIC-LB, a
// token consists of one byte with the phase of its key and one AES block that is
// encrypted under this key. The configuration names the keys.
//
// # Usage
//
//	ring, err := gdtoken.NewKeyring(keys) // tokens are issued under keys[0]
//	cid := gdtoken.NewSealer(ring).Seal(gdtoken.New(service, upstream, incarnation, serial))
//	t, ok := gdtoken.NewOpener(ring).Open(cid[:])
//
// A [Sealer] and an [Opener] contain buffers, so that they do not allocate. Each may be
// used by one goroutine only; a [Keyring] may be shared.
//
// A forged token decrypts to random fields. It is accepted only if its check bits, its
// service and its upstream all match. With 7,900 upstreams the probability of that is
// below 2^-45.
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
	// Size is the length of a route token in bytes: the phase byte and one block.
	Size = 1 + aes.BlockSize
	// KeySize is the length of a token key in bytes.
	KeySize = 16

	phaseShift        = 6
	lengthBits        = Size - 1
	checkOffset       = 0
	serviceOffset     = 2
	upstreamOffset    = 4
	incarnationOffset = 8
	serialOffset      = 12
)

// Token identifies the agent that holds a flow.
type Token struct {
	service     gdconf.ServiceID
	upstream    gdconf.UpstreamID
	incarnation uint32
	serial      uint32
}

// New returns a token. The serial number must be unique within an incarnation.
func New(s gdconf.ServiceID, u gdconf.UpstreamID, incarnation, serial uint32) Token {
	return Token{service: s, upstream: u, incarnation: incarnation, serial: serial}
}

// Service returns the flow's service.
func (t Token) Service() gdconf.ServiceID { return t.service }

// Upstream returns the upstream whose agent holds the flow.
func (t Token) Upstream() gdconf.UpstreamID { return t.upstream }

// Incarnation returns the incarnation of the agent that issued the token.
func (t Token) Incarnation() uint32 { return t.incarnation }

// Serial returns the serial number, which is unique within an incarnation.
func (t Token) Serial() uint32 { return t.serial }

// Key is a token key with its phase.
type Key struct {
	phase  uint8
	secret []byte
}

// NewKey returns a key of KeySize bytes for the phase.
func NewKey(phase uint8, secret []byte) Key { return Key{phase: phase, secret: secret} }

// Phase returns the phase, which is contained in the key's tokens.
func (k Key) Phase() uint8 { return k.phase }

// Keyring holds the current keys, at most one for each phase. It is immutable.
type Keyring struct {
	blocks [config.MaxPhase + 1]cipher.Block
	issue  uint8
}

// NewKeyring returns a keyring that issues tokens under the first key and accepts tokens
// under any of the keys.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("token keys: no key given")
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

// Sealer issues tokens. It may be used by one goroutine only.
type Sealer struct {
	ring  *Keyring
	plain [aes.BlockSize]byte
	out   [Size]byte
}

// NewSealer returns a sealer for the keyring.
func NewSealer(r *Keyring) *Sealer { return &Sealer{ring: r} }

// Seal returns the token as a connection ID.
func (s *Sealer) Seal(t Token) [Size]byte {
	binary.BigEndian.PutUint16(s.plain[checkOffset:], 0)
	binary.BigEndian.PutUint16(s.plain[serviceOffset:], uint16(t.service))
	binary.BigEndian.PutUint32(s.plain[upstreamOffset:], uint32(t.upstream))
	binary.BigEndian.PutUint32(s.plain[incarnationOffset:], t.incarnation)
	binary.BigEndian.PutUint32(s.plain[serialOffset:], t.serial)
	s.out[0] = s.ring.issue<<phaseShift | lengthBits
	s.ring.blocks[s.ring.issue].Encrypt(s.out[1:], s.plain[:])
	return s.out
}

// Opener decrypts tokens. It may be used by one goroutine only.
type Opener struct {
	ring  *Keyring
	plain [aes.BlockSize]byte
	in    [aes.BlockSize]byte
}

// NewOpener returns an opener for the keyring.
func NewOpener(r *Keyring) *Opener { return &Opener{ring: r} }

// Open decrypts a connection ID. It returns false if the ID is not a token under one of
// the current keys.
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
		service:     gdconf.ServiceID(binary.BigEndian.Uint16(o.plain[serviceOffset:])),
		upstream:    gdconf.UpstreamID(binary.BigEndian.Uint32(o.plain[upstreamOffset:])),
		incarnation: binary.BigEndian.Uint32(o.plain[incarnationOffset:]),
		serial:      binary.BigEndian.Uint32(o.plain[serialOffset:]),
	}, true
}
