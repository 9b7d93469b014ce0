package node

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestConfigTLSFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.pem")
	assert.NilError(t, os.WriteFile(path, nil, 0o600))
	pair := TLSFiles{CertFile: path, KeyFile: path}
	withCA := TLSFiles{CertFile: path, KeyFile: path, CAFile: path}
	tests := []struct {
		name           string
		callers, peers *TLSFiles
		want           string
	}{
		{"none", nil, nil, ""},
		{"both", &pair, &withCA, ""},
		{"callers with authority", &withCA, nil, "callersTLS.caFile must be empty: callers authenticate only by their keys"},
		{"peers without authority", nil, &pair, "peersTLS.caFile is empty"},
		{"no key", &TLSFiles{CertFile: path}, nil, "callersTLS.keyFile is empty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := netip.MustParseAddrPort("127.0.0.1:1")
			c := Config{
				ID: "e1", Zone: "z", Callers: address, Peers: address, Operators: address,
				Platform: []netip.AddrPort{address}, CallersTLS: tt.callers, PeersTLS: tt.peers,
			}
			c.Defaults()
			err := c.Validate()
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, tt.want)
		})
	}
}
