package node

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
)

// Config holds the start-up settings of a process; all other settings come from
// the settings tree in the platform's key-value service.
type Config struct {
	ID   call.VMID `json:"id"`
	Zone call.Zone `json:"zone"`
	// Callers, Peers and Operators are the addresses to listen on.
	Callers   netip.AddrPort `json:"callers"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators"`
	// Platform holds the addresses of the platform's key-value service.
	Platform []netip.AddrPort `json:"platform"`
	// OperatorKeyHashes are the SHA-256 sums, in hex, of keys that operators may use
	// in addition to those of the settings tree. They are for the first start.
	OperatorKeyHashes []string `json:"operatorKeyHashes,omitempty"`
	// CallersTLS and PeersTLS enable TLS for callers and for peers. Peers then
	// authenticate each other by certificates of the authority in PeersTLS; callers
	// need no certificate, so CallersTLS has no authority.
	CallersTLS *TLSFiles `json:"callersTLS,omitempty"`
	PeersTLS   *TLSFiles `json:"peersTLS,omitempty"`
	LogLevel   string    `json:"logLevel,omitempty"`
	// Notice is how long the VM still accepts requests in a planned stop, so that
	// the load balancer notices that it is not ready.
	Notice Duration `json:"notice,omitzero"`
	// MemoryMB is the memory in megabytes and MaxFds the number of descriptors that the process
	// may use. They bound its connections; by default they are 512 MB and 4,096.
	MemoryMB int `json:"memoryMb,omitzero"`
	MaxFds   int `json:"maxFds,omitzero"`
}

// TLSFiles holds the paths of a certificate, its key and the certificate of the
// authority (CA).
type TLSFiles struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile,omitempty"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "5s".
type Duration time.Duration

// MarshalText encodes the duration as a string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes a string such as "5s".
//
// Errors: NotValid.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NewNotValid(err, "Duration.UnmarshalText")
	}
	*d = Duration(parsed)
	return nil
}

// Defaults sets LogLevel and Notice to their defaults if they are zero.
func (c *Config) Defaults() {
	if c.LogLevel == "" {
		c.LogLevel = logrus.InfoLevel.String()
	}
	if c.Notice == 0 {
		c.Notice = Duration(5 * time.Second)
	}
}

// Problems lists everything that is not valid in a configuration.
type Problems []string

// Error returns the problems in one line.
func (p Problems) Error() string { return strings.Join(p, "; ") }

func (p *Problems) add(bad bool, format string, args ...any) {
	if bad {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// Validate checks the configuration and reports all problems at once.
//
// Errors: Problems.
func (c *Config) Validate() error {
	var p Problems
	p.add(c.ID == "", "id is empty")
	p.add(c.Zone == "", "zone is empty")
	p.add(!c.Callers.IsValid(), "callers: no valid address, want for example 127.0.0.1:8080")
	p.add(!c.Peers.IsValid(), "peers: no valid address, want for example 127.0.0.1:8081")
	p.add(!c.Operators.IsValid(), "operators: no valid address, want for example 127.0.0.1:8082")
	p.add(len(c.Platform) == 0, "platform: no valid address, want at least one")
	for _, sum := range c.OperatorKeyHashes {
		raw, err := hex.DecodeString(sum)
		p.add(err != nil || len(raw) != 32, "operatorKeyHashes: %q is not a SHA-256 sum in hex", sum)
	}
	c.CallersTLS.check(&p, "callersTLS", false)
	p.add(c.CallersTLS != nil && c.CallersTLS.CAFile != "", "callersTLS.caFile must be empty: callers authenticate only by their keys")
	c.PeersTLS.check(&p, "peersTLS", true)
	if _, err := logrus.ParseLevel(c.LogLevel); err != nil {
		p.add(true, "logLevel is %q, allowed: error, warning, info, debug", c.LogLevel)
	}
	p.add(c.MemoryMB < 0 || c.MaxFds < 0, "memoryMb is %d and maxFds %d, neither may be negative", c.MemoryMB, c.MaxFds)
	p.add(c.Notice < 0, "notice is %v, must not be negative", time.Duration(c.Notice))
	if len(p) > 0 {
		return p
	}
	return nil
}

func (f *TLSFiles) check(p *Problems, name string, needsCA bool) {
	if f == nil {
		return
	}
	p.add(f.CertFile == "", "%s.certFile is empty", name)
	p.add(f.KeyFile == "", "%s.keyFile is empty", name)
	p.add(needsCA && f.CAFile == "", "%s.caFile is empty", name)
	for _, path := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			p.add(true, "%s: %v", name, err)
		}
	}
}

// ReadConfig reads a configuration from a JSON file.
//
// Errors: NotValid if the content is not valid, or the error of reading the file.
func ReadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Annotate(err, "ReadConfig")
	}
	return ParseConfig(raw)
}

// ParseConfig decodes a configuration from JSON. Unknown keys are errors.
//
// Errors: NotValid.
func ParseConfig(raw []byte) (Config, error) {
	var c Config
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return Config{}, errors.NewNotValid(err, "ParseConfig")
	}
	return c, nil
}
