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

// Config holds a process's own start-up settings; everything else comes from
// the settings tree in the platform's service.
type Config struct {
	ID   call.VMID `json:"id"`
	Zone call.Zone `json:"zone"`
	// Callers, Peers and Operators are the addresses to listen on.
	Callers   netip.AddrPort `json:"callers"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators"`
	// Platform holds the addresses of the platform's key-value service.
	Platform []netip.AddrPort `json:"platform"`
	// OperatorKeyHashes are SHA-256 sums in hex of keys that operators may use
	// besides those of the settings tree, for the first start.
	OperatorKeyHashes []string `json:"operatorKeyHashes,omitempty"`
	// CallersTLS and PeersTLS are used where set; peers then prove themselves too,
	// by an authority, which callers have none of.
	CallersTLS *TLSFiles `json:"callersTLS,omitempty"`
	PeersTLS   *TLSFiles `json:"peersTLS,omitempty"`
	LogLevel   string    `json:"logLevel,omitempty"`
	// Notice is how long a planned stop leaves the balancer to notice.
	Notice Duration `json:"notice,omitzero"`
}

// TLSFiles names the files of a certificate, its key and the authority.
type TLSFiles struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile,omitempty"`
}

// Duration is a time.Duration that JSON holds as a string such as "5s".
type Duration time.Duration

// MarshalText writes the duration as a string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a string such as "5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NewNotValid(err, "Duration.UnmarshalText")
	}
	*d = Duration(parsed)
	return nil
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.LogLevel == "" {
		c.LogLevel = logrus.InfoLevel.String()
	}
	if c.Notice == 0 {
		c.Notice = Duration(5 * time.Second)
	}
}

// Problems are all mistakes of a configuration.
type Problems []string

// Error lists the problems in one line.
func (p Problems) Error() string { return strings.Join(p, "; ") }

func (p *Problems) add(bad bool, format string, args ...any) {
	if bad {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// Validate checks the configuration as a whole.
//
// Errors: Problems with all mistakes.
func (c *Config) Validate() error {
	var p Problems
	p.add(c.ID == "", "id is empty")
	p.add(c.Zone == "", "zone is empty")
	p.add(!c.Callers.IsValid(), "callers: no address such as 127.0.0.1:8080")
	p.add(!c.Peers.IsValid(), "peers: no address such as 127.0.0.1:8081")
	p.add(!c.Operators.IsValid(), "operators: no address such as 127.0.0.1:8082")
	p.add(len(c.Platform) == 0, "platform: no address")
	for _, sum := range c.OperatorKeyHashes {
		raw, err := hex.DecodeString(sum)
		p.add(err != nil || len(raw) != 32, "operatorKeyHashes: %q is no SHA-256 sum in hex", sum)
	}
	c.CallersTLS.check(&p, "callersTLS", false)
	p.add(c.CallersTLS != nil && c.CallersTLS.CAFile != "", "callersTLS.caFile: callers prove themselves by their keys only")
	c.PeersTLS.check(&p, "peersTLS", true)
	if _, err := logrus.ParseLevel(c.LogLevel); err != nil {
		p.add(true, "logLevel: %q, allowed: error, warning, info, debug", c.LogLevel)
	}
	p.add(c.Notice < 0, "notice is negative")
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
// Errors: NotValid for a file that is no such JSON, or the file's error.
func ReadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Annotate(err, "ReadConfig")
	}
	return ParseConfig(raw)
}

// ParseConfig reads a configuration from JSON; unknown keys are errors.
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
