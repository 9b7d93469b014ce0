package kvs

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	defaultTimeout     = 2 * time.Second
	defaultDialTimeout = 500 * time.Millisecond
	defaultWatchSilent = 15 * time.Second
	defaultMaxResponse = 64 << 20
	maxIdleConnections = 32
)

// GatewayConfig configures a Gateway.
type GatewayConfig struct {
	// Addresses are the service's addresses. A call goes to the one that answered
	// last, and to the next where the connection can't be made.
	Addresses []netip.AddrPort
	// Timeout bounds each call but a watch.
	Timeout time.Duration
	// Dial opens a connection; the default dials TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// WatchIdleTimeout is how long a watch may bring neither events nor a progress
	// notice before it fails. It has to exceed the service's progress interval;
	// a shorter one only makes the watch begin anew each time.
	WatchIdleTimeout time.Duration
	// MaxResponseBytes bounds a response, and each message of a watch (to within the
	// read buffer), in bytes.
	MaxResponseBytes int64
}

// Defaults returns the config with all unset fields filled in.
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
		c.WatchIdleTimeout = defaultWatchSilent
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = defaultMaxResponse
	}
	return c
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// Validate checks the config.
//
// Errors: NotValid with the field's name.
func (c GatewayConfig) Validate() error {
	if len(c.Addresses) == 0 {
		return errors.NotValidf("GatewayConfig.Validate: no Addresses")
	}
	if c.Timeout < 0 || c.DialTimeout < 0 || c.WatchIdleTimeout < 0 || c.MaxResponseBytes < 0 {
		return errors.NotValidf("GatewayConfig.Validate: negative bound")
	}
	return nil
}
