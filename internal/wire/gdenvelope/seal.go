package gdenvelope

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"strconv"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

const (
	sessionKeySize = 16
	nonceSize      = 12
	// maxSessions is the maximum number of sessions that an opener holds. A balancer
	// receives two sessions from each agent, so 7,900 agents fit.
	maxSessions = 16384
)

// sessionAEAD derives the key of a session. Sessions don't share keys, so that a
// counter is a nonce that is never used twice.
func sessionAEAD(fleet gdkey.FleetKey, session uint64) (cipher.AEAD, error) {
	key := fleet.Derive("envelope/"+strconv.FormatUint(session, 16), sessionKeySize)
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "envelope: create session key")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "envelope: create session key")
}

func putNonce(nonce []byte, counter uint64) {
	binary.BigEndian.PutUint64(nonce[nonceSize-8:], counter)
}

// Sealer seals envelopes. It must be used by one goroutine only.
type Sealer struct {
	aead    cipher.AEAD
	session uint64
	counter uint64
	nonce   [nonceSize]byte
}

// NewSealer returns a sealer with a random session.
func NewSealer(fleet gdkey.FleetKey) (*Sealer, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, errors.Wrap(err, "envelope: create session")
	}
	s := &Sealer{session: binary.BigEndian.Uint64(b[:])}
	aead, err := sessionAEAD(fleet, s.session)
	if err != nil {
		return nil, err
	}
	s.aead = aead
	return s, nil
}

// Seal appends the sealed envelope to dst. It returns ErrOversized for a payload larger
// than MaxPayload. It does not allocate if dst has enough capacity.
func (s *Sealer) Seal(dst []byte, e Envelope) ([]byte, error) {
	if len(e.Payload) > MaxPayload {
		return dst, ErrOversized
	}
	s.counter++
	start := len(dst)
	dst = appendHeader(dst, e, s.session, s.counter)
	dst = append(dst, e.Payload...)
	putNonce(s.nonce[:], s.counter)
	return s.aead.Seal(dst, s.nonce[:], nil, dst[start:]), nil
}

// Opener opens envelopes of many senders. It must be used by one goroutine only.
type Opener struct {
	fleet    gdkey.FleetKey
	sessions *simplelru.LRU[uint64, *session]
	nonce    [nonceSize]byte
	tag      [tagSize]byte
}

// session is the state that an opener holds for one sender.
type session struct {
	aead cipher.AEAD
	seen window
}

// NewOpener returns an opener without sessions.
func NewOpener(fleet gdkey.FleetKey) *Opener {
	// NewLRU returns an error only for a size below one.
	lru, _ := simplelru.NewLRU[uint64, *session](maxSessions, nil)
	return &Opener{fleet: fleet, sessions: lru}
}

// Open verifies and reads an envelope. A session is added only after one of its
// envelopes was verified, so that forged envelopes use no memory.
func (o *Opener) Open(wire []byte) (Envelope, error) {
	if err := checkPrefix(wire); err != nil {
		return Envelope{}, err
	}
	id := binary.BigEndian.Uint64(wire[sessionOffset:])
	counter := binary.BigEndian.Uint64(wire[counterOffset:])
	ses, ok := o.sessions.Get(id)
	if !ok {
		aead, err := sessionAEAD(o.fleet, id)
		if err != nil {
			return Envelope{}, err
		}
		ses = &session{aead: aead}
	}
	body := wire[:len(wire)-tagSize]
	if !o.verifyTag(ses.aead, counter, body, wire[len(body):]) {
		return Envelope{}, ErrForged
	}
	if !ok {
		o.sessions.Add(id, ses)
	}
	if !ses.seen.add(counter) {
		return Envelope{}, ErrReplayed
	}
	return parse(body)
}

func checkPrefix(wire []byte) error {
	switch {
	case len(wire) < minSize:
		return ErrTruncated
	case len(wire) > MaxSize:
		return ErrOversized
	case wire[0] != format:
		return ErrFormat
	case wire[kindOffset] != byte(ToAgent) && wire[kindOffset] != byte(ToCaller):
		return ErrFormat
	}
	return nil
}

// verifyTag computes the tag of the body and compares it in constant time. Seal
// with an empty plaintext is GMAC; it writes into the opener's own array, where
// AEAD.Open would need the tag to follow an empty ciphertext.
func (o *Opener) verifyTag(aead cipher.AEAD, counter uint64, body, tag []byte) bool {
	putNonce(o.nonce[:], counter)
	want := aead.Seal(o.tag[:0], o.nonce[:], nil, body)
	return subtle.ConstantTimeCompare(want, tag) == 1
}

// Sessions returns the number of sessions that the opener holds.
func (o *Opener) Sessions() int { return o.sessions.Len() }
