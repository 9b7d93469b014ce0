package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// serverTLS returns the TLS configuration of a server, nil if f is nil. If there is
// an authority, clients have to present a certificate of it.
func (f *TLSFiles) serverTLS() (*tls.Config, error) {
	c, pool, err := f.load()
	if c == nil || err != nil {
		return nil, err
	}
	if pool != nil {
		c.ClientCAs, c.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// clientTLS returns the TLS configuration of a client, nil if f is nil. It verifies
// the authority of the server's certificate but not the names in it, since VMs are
// called by IP address.
func (f *TLSFiles) clientTLS() (*tls.Config, error) {
	c, pool, err := f.load()
	if c == nil || err != nil {
		return nil, err
	}
	c.RootCAs = pool
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
		for _, cert := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return errors.Annotate(err, "TLSFiles.clientTLS")
	}
	return c, nil
}

func (f *TLSFiles) load() (*tls.Config, *x509.CertPool, error) {
	if f == nil {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, nil, errors.Annotate(err, "TLSFiles.load")
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if f.CAFile == "" {
		return c, nil, nil
	}
	raw, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, nil, errors.Annotate(err, "TLSFiles.load")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, nil, errors.NotValidf("TLSFiles.load: caFile %s (no PEM certificate in it)", f.CAFile)
	}
	return c, pool, nil
}
