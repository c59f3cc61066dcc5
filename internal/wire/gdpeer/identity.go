package gdpeer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// SeedBytes is the size in bytes of the seed of the fleet's ed25519 key.
const SeedBytes = ed25519.SeedSize

// Identity is the key by which the processes of one fleet authenticate each other.
type Identity struct {
	certificate tls.Certificate
	accepted    []ed25519.PublicKey
}

// NewIdentity derives the fleet's certificate from a seed. During a rotation of the
// fleet key, others contains the seeds of the other keys that peers may present.
func NewIdentity(seed []byte, others ...[]byte) (*Identity, error) {
	id := &Identity{}
	for _, s := range slices.Concat([][]byte{seed}, others) {
		if len(s) != SeedBytes {
			return nil, errors.Errorf("derive peer identity: the seed has %d bytes instead of %d", len(s), SeedBytes)
		}
		public, _ := ed25519.NewKeyFromSeed(s).Public().(ed25519.PublicKey)
		id.accepted = append(id.accepted, public)
	}
	private := ed25519.NewKeyFromSeed(seed)
	der, err := selfSigned(private)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer identity")
	}
	id.certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	return id, nil
}

// selfSigned returns a certificate that serves only to transport the public key. Peers
// do not check its dates, because hosts may start with a wrong clock.
func selfSigned(private ed25519.PrivateKey) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "godwitdrift peer"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
	}
	return x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
}

// serverConfig returns the TLS configuration of a server. It counts refused handshakes
// in refused.
func (id *Identity) serverConfig(refused *atomic.Int64) *tls.Config {
	cfg := id.config()
	cfg.ClientAuth = tls.RequestClientCert // checkPeer refuses a missing certificate, so that it is counted
	cfg.SessionTicketsDisabled = true
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		err := id.checkPeer(state)
		if err != nil {
			refused.Add(1)
		}
		return err
	}
	return cfg
}

// clientConfig returns the TLS configuration of a client.
func (id *Identity) clientConfig() *tls.Config {
	cfg := id.config()
	cfg.InsecureSkipVerify = true // checkPeer pins the key instead of a name
	cfg.VerifyConnection = id.checkPeer
	return cfg
}

func (id *Identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.certificate},
		NextProtos:   []string{"h2"},
	}
}

// checkPeer accepts exactly the fleet's keys. The TLS handshake has already proved that
// the peer holds the private key.
func (id *Identity) checkPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return errors.Errorf("the peer presents %d certificates instead of 1", len(state.PeerCertificates))
	}
	public, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if ok && slices.ContainsFunc(id.accepted, func(k ed25519.PublicKey) bool { return k.Equal(public) }) {
		return nil
	}
	return errors.New("the peer does not hold the fleet key")
}
