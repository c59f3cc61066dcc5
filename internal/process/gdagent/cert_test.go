package gdagent

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// write puts a new certificate with the serial number into the files, which
// count as changed at the given time.
func write(t *testing.T, c *Certificates, serial int64, changed time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	put(t, c.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), changed)
	put(t, c.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), changed)
}

func put(t *testing.T, file string, data []byte, changed time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, data, 0o600))
	require.NoError(t, os.Chtimes(file, changed, changed))
}

func serial(t *testing.T, cert *tls.Certificate) int64 {
	t.Helper()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

func TestChangedCertificateIsServedAndABadOneIsNot(t *testing.T) {
	dir := t.TempDir()
	var failed int
	c := &Certificates{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		OnLoad: func(err error) {
			if err != nil {
				failed++
			}
		},
	}
	_, err := c.GetCertificate(nil)
	require.Error(t, err, "no certificate yet")
	day := time.Unix(1_800_000_000, 0)
	get := func() int64 {
		c.checked = time.Time{} // the files are due to be looked at
		cert, err := c.GetCertificate(nil)
		require.NoError(t, err)
		return serial(t, cert)
	}
	write(t, c, 1, day)
	require.EqualValues(t, 1, get())
	write(t, c, 2, day.Add(time.Hour))
	require.EqualValues(t, 2, get())
	failed = 0
	put(t, c.CertFile, []byte("no certificate"), day.Add(2*time.Hour))
	require.EqualValues(t, 2, get(), "the old one stays")
	require.Equal(t, 1, failed)
}
