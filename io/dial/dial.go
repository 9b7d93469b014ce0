// Package dial opens TCP connections that detect a lost peer: by keep-alive probes
// while the connection is idle, and by a limit on how long sent bytes may stay
// unacknowledged (TCP_USER_TIMEOUT).
//
// # Usage
//
//	open := dial.TCP(dial.Config{UserTimeout: time.Second})
//	conn, err := open(ctx, address)
package dial

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// The defaults of Config.
const (
	// defaultUserTimeout leaves time for two retransmissions on a lossy link.
	defaultUserTimeout = 1500 * time.Millisecond
	// The keep-alive defaults detect a silent connection within three seconds, which is
	// how long the platform tolerates one.
	defaultKeepAliveIdle     = time.Second
	defaultKeepAliveInterval = time.Second
	defaultKeepAliveCount    = 2
)

// Config configures the connections.
type Config struct {
	// UserTimeout is how long sent bytes may stay unacknowledged, or a peer whose buffers
	// are full may read nothing, before the connection fails (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveIdle is how long nothing may arrive before the first keep-alive probe,
	// KeepAliveInterval the time between probes, and KeepAliveCount how many probes
	// without a reply make the connection fail.
	KeepAliveIdle, KeepAliveInterval time.Duration
	KeepAliveCount                   int
}

// Defaults returns the config with its unset fields set to the defaults.
func (c Config) Defaults() Config {
	c.UserTimeout = cmp.Or(c.UserTimeout, defaultUserTimeout)
	c.KeepAliveIdle = cmp.Or(c.KeepAliveIdle, defaultKeepAliveIdle)
	c.KeepAliveInterval = cmp.Or(c.KeepAliveInterval, defaultKeepAliveInterval)
	c.KeepAliveCount = cmp.Or(c.KeepAliveCount, defaultKeepAliveCount)
	return c
}

// TCP returns a function that opens TCP connections with the config.
func TCP(c Config) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	c = c.Defaults()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveIdle, Interval: c.KeepAliveInterval, Count: c.KeepAliveCount},
		Control:         c.setUserTimeout,
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address.String())
		return conn, errors.Annotatef(err, "dial %s", address)
	}
}

// Listen opens a TCP listener. The config applies to its connections.
func Listen(ctx context.Context, c Config, address netip.AddrPort) (net.Listener, error) {
	c = c.Defaults()
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveIdle, Interval: c.KeepAliveInterval, Count: c.KeepAliveCount},
		Control:         c.setUserTimeout,
	}
	l, err := config.Listen(ctx, "tcp", address.String())
	return l, errors.Annotatef(err, "listen on %s", address)
}

func (c Config) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.UserTimeout.Milliseconds()))
	})
	return errors.Annotate(firstError(err, optErr), "set TCP_USER_TIMEOUT")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
