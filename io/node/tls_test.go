package node

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

	"gotest.tools/v3/assert"
)

// issue writes a certificate and its key. The parent signs it; without a parent it
// is self-signed.
func issue(t *testing.T, dir, name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: parent == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	for file, block := range map[string]*pem.Block{name + ".crt": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "PRIVATE KEY", Bytes: raw}} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600))
	}
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return cert, key
}

// Peers accept each other's certificates by their authority, whatever the names in
// them. Client and server each reject a certificate of another authority.
func TestPeersTLS(t *testing.T) {
	dir := t.TempDir()
	files := func(name, ca string) *TLSFiles {
		path := func(file string) string { return filepath.Join(dir, file) }
		return &TLSFiles{CertFile: path(name + ".crt"), KeyFile: path(name + ".key"), CAFile: path(ca + ".crt")}
	}
	ca, caKey := issue(t, dir, "ca", nil, nil)
	issue(t, dir, "a", ca, caKey)
	issue(t, dir, "b", ca, caKey)
	other, otherKey := issue(t, dir, "other", nil, nil)
	issue(t, dir, "outsider", other, otherKey)
	tests := []struct {
		name           string
		server, client *TLSFiles
		ok             bool
	}{
		{"same authority", files("a", "ca"), files("b", "ca"), true},
		{"client of another authority", files("a", "ca"), files("outsider", "ca"), false},
		{"server of another authority", files("outsider", "ca"), files("b", "ca"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serverTLS, err := tt.server.serverTLS()
			assert.NilError(t, err)
			clientTLS, err := tt.client.clientTLS()
			assert.NilError(t, err)
			err = dialTLS(t, serverTLS, clientTLS)
			assert.Equal(t, err == nil, tt.ok, "%v", err)
		})
	}
}

// dialTLS connects over loopback and reads a byte, which the server sends only after
// it has accepted the client's certificate.
func dialTLS(t *testing.T, serverTLS, clientTLS *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverTLS)
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("hello"))
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), clientTLS)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}
