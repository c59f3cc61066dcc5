package gdrigup

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// certLifetime is how long the rig's certificates are valid.
	certLifetime = 24 * time.Hour
	// fleetKeyBytes is the length of the fleet key, in bytes.
	fleetKeyBytes = 32
	// secretFileMode is the mode of files that hold a key or settings.
	secretFileMode = 0o600
)

// authority is the certificate authority of one rig.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority creates an authority and writes its certificate to ca.pem in dir.
func newAuthority(dir string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of certificate authority")
	}
	tmpl := certTemplate("godwitdrift rig")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate of certificate authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of certificate authority")
	}
	a := &authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.caFile(), "CERTIFICATE", der)
}

func (a *authority) caFile() string { return filepath.Join(a.dir, "ca.pem") }

func (a *authority) certFile(service string) string { return filepath.Join(a.dir, service+".pem") }

func (a *authority) keyFile(service string) string { return filepath.Join(a.dir, service+".key") }

// issue writes a certificate and a private key for the service to dir.
func (a *authority) issue(service string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key of "+service)
	}
	tmpl := certTemplate(service)
	tmpl.DNSNames = []string{service, "localhost"}
	tmpl.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "sign certificate of "+service)
	}
	if err := writePEM(a.certFile(service), "CERTIFICATE", der); err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key of "+service)
	}
	return writePEM(a.keyFile(service), "PRIVATE KEY", secret)
}

// certTemplate returns the certificate fields that the authority and the services share.
func certTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLifetime),
	}
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(file, data, secretFileMode), "write "+kind)
}

// writeFleetKey writes a random fleet key to the file in hexadecimal.
func writeFleetKey(file string) error {
	key := make([]byte, fleetKeyBytes)
	_, _ = rand.Read(key) // never returns an error
	data := []byte(hex.EncodeToString(key) + "\n")
	return errors.Wrap(os.WriteFile(file, data, secretFileMode), "write fleet key")
}
