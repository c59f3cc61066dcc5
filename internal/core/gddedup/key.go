package gddedup

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// issuedPrefix is the prefix of each issued key.
	issuedPrefix = "gd1-"
	// identBytes is the length in bytes of a key's identifier.
	identBytes = 16
	// payloadBytes is the length in bytes of the signed part of an issued key:
	// home, incarnation, service, expiry and nonce.
	payloadBytes = 4 + 4 + 2 + 8 + 8
	// uuidChars is the length of a UUID in text form.
	uuidChars = 36
	// uuidVersion is the UUID version that contains a time in milliseconds.
	uuidVersion = 7
	// uuidVariant is the variant of RFC 9562, in the two highest bits.
	uuidVariant = 0b10
)

var (
	errForged         = errors.New("parse idempotency key: malformed or not signed by this fleet")
	errUnsupportedKey = errors.New("parse idempotency key: neither issued nor a UUID of version 7")
)

// Key is an idempotency key that some agent may run.
type Key struct {
	text    string
	ident   ident
	issued  bool
	service gdconf.ServiceID
	home    gdconf.UpstreamID
	process uint32
	stamp   time.Time
}

// ident identifies a key: the signature of an issued key, or the UUID of a
// stamped one.
type ident [identBytes]byte

func (k Key) String() string { return k.text }

// Issued reports whether the system issued the key.
func (k Key) Issued() bool { return k.issued }

// Home returns the only agent that may run an issued key.
func (k Key) Home() gdconf.UpstreamID { return k.home }

// Expires returns the expiry time of an issued key.
func (k Key) Expires() time.Time { return k.stamp }

// Signer signs and verifies issued keys. It is safe for concurrent use.
type Signer struct{ secret []byte }

// NewSigner returns a signer for the fleet's secret.
func NewSigner(secret []byte) *Signer {
	return &Signer{secret: append([]byte(nil), secret...)}
}

func (s *Signer) sign(payload []byte) ident {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write(payload)
	return ident(mac.Sum(nil)[:identBytes])
}

// issue computes the identifier and the text of a key from its other fields.
func (s *Signer) issue(k Key, nonce uint64) Key {
	b := make([]byte, 0, payloadBytes+identBytes)
	b = binary.BigEndian.AppendUint32(b, uint32(k.home))
	b = binary.BigEndian.AppendUint32(b, k.process)
	b = binary.BigEndian.AppendUint16(b, uint16(k.service))
	b = binary.BigEndian.AppendUint64(b, uint64(k.stamp.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, nonce)
	k.ident = s.sign(b)
	k.text = issuedPrefix + base64.RawURLEncoding.EncodeToString(append(b, k.ident[:]...))
	k.issued = true
	return k
}

// Parse parses an Idempotency-Key header. Quotes around the key, as in a
// structured field, are ignored. It returns an error for an issued key that is
// malformed or forged, and for a key of a kind that no agent runs.
func (s *Signer) Parse(text string) (Key, error) {
	text = strings.TrimSuffix(strings.TrimPrefix(text, `"`), `"`)
	if rest, ok := strings.CutPrefix(text, issuedPrefix); ok {
		return s.parseIssued(text, rest)
	}
	return parseStamped(text)
}

func (s *Signer) parseIssued(text, rest string) (Key, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(rest)
	if err != nil || len(b) != payloadBytes+identBytes {
		return Key{}, errForged
	}
	payload := b[:payloadBytes]
	id := s.sign(payload)
	if !hmac.Equal(id[:], b[payloadBytes:]) {
		return Key{}, errForged
	}
	return Key{
		text:    text,
		ident:   id,
		issued:  true,
		home:    gdconf.UpstreamID(binary.BigEndian.Uint32(payload)),
		process: binary.BigEndian.Uint32(payload[4:]),
		service: gdconf.ServiceID(binary.BigEndian.Uint16(payload[8:])),
		stamp:   time.UnixMilli(int64(binary.BigEndian.Uint64(payload[10:]))),
	}, nil
}

func parseStamped(text string) (Key, error) {
	if len(text) != uuidChars || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return Key{}, errUnsupportedKey
	}
	digits := text[:8] + text[9:13] + text[14:18] + text[19:23] + text[24:]
	var id ident
	if _, err := hex.Decode(id[:], []byte(digits)); err != nil {
		return Key{}, errUnsupportedKey
	}
	if id[6]>>4 != uuidVersion || id[8]>>6 != uuidVariant {
		return Key{}, errUnsupportedKey
	}
	return Key{text: text, ident: id, stamp: id.stamp()}, nil
}

// stamp returns the creation time that the caller put into the key.
func (id ident) stamp() time.Time {
	ms := uint64(binary.BigEndian.Uint16(id[:]))<<32 | uint64(binary.BigEndian.Uint32(id[2:]))
	return time.UnixMilli(int64(ms))
}
