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
	// maxSessions bounds the senders that an opener remembers. A balancer hears
	// two of each agent: 7,900 agents fit.
	maxSessions = 16384
)

// sessionAEAD derives the sender's own key. Two sessions never share a key, so a
// counter is a nonce that is never used twice.
func sessionAEAD(fleet gdkey.FleetKey, session uint64) (cipher.AEAD, error) {
	key := fleet.Derive("envelope/"+strconv.FormatUint(session, 16), sessionKeySize)
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "envelope: session key")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "envelope: session key")
}

func putNonce(nonce []byte, counter uint64) {
	binary.BigEndian.PutUint64(nonce[nonceSize-8:], counter)
}

// Sealer writes envelopes. It belongs to one goroutine.
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
		return nil, errors.Wrap(err, "envelope: session")
	}
	s := &Sealer{session: binary.BigEndian.Uint64(b[:])}
	aead, err := sessionAEAD(fleet, s.session)
	if err != nil {
		return nil, err
	}
	s.aead = aead
	return s, nil
}

// Seal appends the envelope to dst. It fails with ErrOversized for a payload
// above MaxPayload. It does not allocate when dst has room.
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

// Opener reads envelopes of many senders. It belongs to one goroutine.
type Opener struct {
	fleet    gdkey.FleetKey
	sessions *simplelru.LRU[uint64, *session]
	nonce    [nonceSize]byte
	tag      [tagSize]byte
}

// session is what an opener remembers of one sender.
type session struct {
	aead cipher.AEAD
	seen window
}

// NewOpener returns an opener that knows no sender yet.
func NewOpener(fleet gdkey.FleetKey) *Opener {
	// NewLRU fails only for a size below one.
	lru, _ := simplelru.NewLRU[uint64, *session](maxSessions, nil)
	return &Opener{fleet: fleet, sessions: lru}
}

// Open verifies and reads an envelope. A sender is remembered only once one of
// its envelopes was genuine, so that forged ones cost no memory.
func (o *Opener) Open(wire []byte) (Envelope, error) {
	if err := checkShape(wire); err != nil {
		return Envelope{}, err
	}
	id := binary.BigEndian.Uint64(wire[sessionOffset:])
	counter := binary.BigEndian.Uint64(wire[counterOffset:])
	ses, known := o.sessions.Get(id)
	if !known {
		aead, err := sessionAEAD(o.fleet, id)
		if err != nil {
			return Envelope{}, err
		}
		ses = &session{aead: aead}
	}
	body := wire[:len(wire)-tagSize]
	if !o.genuine(ses.aead, counter, body, wire[len(body):]) {
		return Envelope{}, ErrForged
	}
	if !known {
		o.sessions.Add(id, ses)
	}
	if !ses.seen.add(counter) {
		return Envelope{}, ErrReplayed
	}
	return parse(body)
}

func checkShape(wire []byte) error {
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

// genuine computes the tag of the body and compares it in constant time. Seal
// with an empty plaintext is GMAC; it writes into the opener's own array, where
// AEAD.Open would need the tag to follow an empty ciphertext.
func (o *Opener) genuine(aead cipher.AEAD, counter uint64, body, tag []byte) bool {
	putNonce(o.nonce[:], counter)
	want := aead.Seal(o.tag[:0], o.nonce[:], nil, body)
	return subtle.ConstantTimeCompare(want, tag) == 1
}

// Sessions returns the number of senders that the opener remembers.
func (o *Opener) Sessions() int { return o.sessions.Len() }
