package kvs

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	defaultTimeout          = 2 * time.Second
	defaultDialTimeout      = 500 * time.Millisecond
	defaultWatchIdleTimeout = 15 * time.Second
	defaultMaxResponseBytes = 64 << 20
	maxIdleConnections      = 32
)

// GatewayConfig configures a Gateway.
type GatewayConfig struct {
	// Addresses are the service's addresses. A call goes to the one that last
	// responded successfully, and to the next one if that certainly had no effect, for
	// example because the connection could not be opened.
	Addresses []netip.AddrPort
	// Timeout limits the time of each call except a watch.
	Timeout time.Duration
	// Dial opens a connection; the default dials TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// WatchIdleTimeout is the time without events and progress notices after which a
	// watch fails. It has to exceed the service's progress interval, or else every
	// quiet watch fails and has to be started again.
	WatchIdleTimeout time.Duration
	// MaxResponseBytes limits the size of a response and, to within the size of a read
	// buffer, of each message of a watch.
	MaxResponseBytes int64
}

// Defaults returns the config with every unset field except Addresses set to its
// default.
func (c GatewayConfig) Defaults() GatewayConfig {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.WatchIdleTimeout == 0 {
		c.WatchIdleTimeout = defaultWatchIdleTimeout
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = defaultMaxResponseBytes
	}
	return c
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// Validate checks the config.
//
// Errors: NotValid with the fields' names and values.
func (c GatewayConfig) Validate() error {
	if len(c.Addresses) == 0 {
		return errors.NotValidf("GatewayConfig.Validate: Addresses is empty (at least one address is required)")
	}
	if c.Timeout < 0 || c.DialTimeout < 0 || c.WatchIdleTimeout < 0 || c.MaxResponseBytes < 0 {
		return errors.NotValidf("GatewayConfig.Validate: Timeout %s, DialTimeout %s, WatchIdleTimeout %s, MaxResponseBytes %d (none may be negative)",
			c.Timeout, c.DialTimeout, c.WatchIdleTimeout, c.MaxResponseBytes)
	}
	return nil
}
