// Package dial opens TCP connections that notice when the other side is gone:
// by probes while nothing is sent, and by a bound on how long sent bytes may stay
// without an acknowledgement.
//
// # Usage
//
//	open := dial.TCP(dial.Config{Unacknowledged: time.Second})
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
	// defaultUnacknowledged leaves room for two retransmissions on a lossy link.
	defaultUnacknowledged = 1500 * time.Millisecond
	// defaultProbeAfter and defaultProbeEvery find a silent connection within
	// three seconds, which is how long the platform excuses one.
	defaultProbeAfter = time.Second
	defaultProbeEvery = time.Second
	defaultProbes     = 2
)

// Config configures the connections.
type Config struct {
	// UserTimeout is how long sent bytes may stay without an acknowledgement.
	UserTimeout time.Duration
	// KeepAliveIdle is how long nothing may arrive before the first probe, KeepAliveInterval
	// the time between probes, Probes how many may be lost.
	KeepAliveIdle, KeepAliveInterval time.Duration
	KeepAliveCount                   int
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.UserTimeout = cmp.Or(c.UserTimeout, defaultUnacknowledged)
	c.KeepAliveIdle = cmp.Or(c.KeepAliveIdle, defaultProbeAfter)
	c.KeepAliveInterval = cmp.Or(c.KeepAliveInterval, defaultProbeEvery)
	c.KeepAliveCount = cmp.Or(c.KeepAliveCount, defaultProbes)
	return c
}

// TCP returns a function that opens connections.
func TCP(c Config) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	c = c.Defaults()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveIdle, Interval: c.KeepAliveInterval, Count: c.KeepAliveCount},
		Control:         c.control,
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address.String())
		return conn, errors.Annotatef(err, "dial %s", address)
	}
}

// Listen opens a listener whose connections notice a lost other side likewise.
func Listen(ctx context.Context, c Config, address netip.AddrPort) (net.Listener, error) {
	c = c.Defaults()
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveIdle, Interval: c.KeepAliveInterval, Count: c.KeepAliveCount},
		Control:         c.control,
	}
	l, err := config.Listen(ctx, "tcp", address.String())
	return l, errors.Annotatef(err, "listen on %s", address)
}

func (c Config) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.UserTimeout.Milliseconds()))
	})
	return errors.Annotate(firstOf(err, failed), "TCP_USER_TIMEOUT")
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
