package gdsettings_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/text/gdarchive"
)

// unpack writes the archive's settings to a directory with a valid key and
// certificate.
func unpack(t *testing.T, archive string) string {
	dir := t.TempDir()
	write := func(name, data string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
	}
	write("settings.toml", gdarchive.Part(archive, "settings.toml"))
	write("fleet.key", strings.Repeat("ab", gdsettings.KeySize)+"\n")
	write("short.key", "abcd\n")
	certificate, key := selfSigned(t)
	write("cert.pem", certificate)
	write("key.pem", key)
	return dir
}

// selfSigned returns a certificate and its private key as PEM.
func selfSigned(t *testing.T) (certificate, key string) {
	_, private, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	require.NoError(t, err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}))
}

func TestLoadReportsAllProblems(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, archives)
	for _, path := range archives {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			dir := unpack(t, string(data))
			settings := filepath.Join(dir, "settings.toml")
			if strings.HasPrefix(filepath.Base(path), "agent") {
				_, err = gdsettings.Load[gdsettings.Agent](settings)
			} else {
				_, err = gdsettings.Load[gdsettings.Balancer](settings)
			}
			got := "ok"
			if err != nil {
				got = strings.ReplaceAll(err.Error(), dir+string(filepath.Separator), "")
			}
			require.Equal(t, gdarchive.Part(string(data), "problems"), got+"\n")
		})
	}
}

func TestLoadSetsDefaults(t *testing.T) {
	data, err := os.ReadFile("testdata/agent-right.txt")
	require.NoError(t, err)
	dir := unpack(t, string(data))
	s, err := gdsettings.Load[gdsettings.Agent](filepath.Join(dir, "settings.toml"))
	require.NoError(t, err)
	require.Equal(t, gdsettings.DefaultMaxFlows, s.MaxFlows)
	require.Equal(t, gdsettings.LevelInfo, s.LogLevel)
	require.Equal(t, "127.0.0.1:7001", s.NodeAddress.String())
	require.Equal(t, filepath.Join(dir, "fleet.key"), s.FleetKeyFile)
	require.Equal(t, "http://127.0.0.1:7100", s.PlatformURL)
	require.Equal(t, "entry-1", s.Peers[1].Name())
	require.Equal(t, "127.0.0.1:7021", s.Peers[1].Address().String())
}

func TestKeyIsNeverRevealed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.key")
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat("ab", gdsettings.KeySize)), 0o600))
	k, err := gdsettings.ReadKey(path)
	require.NoError(t, err)
	require.Equal(t, bytes.Repeat([]byte{0xab}, gdsettings.KeySize), k.Bytes())
	inJSON, err := json.Marshal(struct{ Key gdsettings.Key }{k})
	require.NoError(t, err)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d", "%q"} {
		require.NotContains(t, fmt.Sprintf(verb, k), "abab", verb)
		require.NotContains(t, fmt.Sprintf(verb, k), "171 171", verb)
	}
	require.NotContains(t, string(inJSON), "171")
}
