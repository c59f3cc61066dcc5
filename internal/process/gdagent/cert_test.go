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

// writeCertificate writes a new certificate with the serial number to the files and
// sets their modification time.
func writeCertificate(t *testing.T, c *Certificates, serial int64, modified time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writeFile(t, c.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), modified)
	writeFile(t, c.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), modified)
}

func writeFile(t *testing.T, file string, data []byte, modified time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, data, 0o600))
	require.NoError(t, os.Chtimes(file, modified, modified))
}

func serial(t *testing.T, cert *tls.Certificate) int64 {
	t.Helper()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

func TestChangedCertificateIsServedUnlessInvalid(t *testing.T) {
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
		c.checked = time.Time{} // forces a check of the files
		cert, err := c.GetCertificate(nil)
		require.NoError(t, err)
		return serial(t, cert)
	}
	writeCertificate(t, c, 1, day)
	require.EqualValues(t, 1, get())
	writeCertificate(t, c, 2, day.Add(time.Hour))
	require.EqualValues(t, 2, get())
	failed = 0
	writeFile(t, c.CertFile, []byte("no certificate"), day.Add(2*time.Hour))
	require.EqualValues(t, 2, get(), "the previous certificate stays")
	require.Equal(t, 1, failed)
}
