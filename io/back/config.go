package back

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Config configures a Client. Zero fields get their defaults.
type Config struct {
	// Dial opens a connection; the default dials TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds setting up a connection.
	DialTimeout time.Duration
	// FirstByteTimeout bounds the wait for the first part of an answer on a new
	// connection, during which an engine may queue the request; ProgressTimeout
	// the time between bytes from then on, and all of it on a connection that was
	// used before, which may have gone silent meanwhile.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// IdleTimeout bounds how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxIdleConns bounds the unused connections to one backend server.
	MaxIdleConns int
	// MaxHeader, MaxEvent and MaxBody bound an answer's header, one event of a
	// stream and a body that is no stream, in bytes.
	MaxHeader int64
	MaxEvent  int
	MaxBody   int64
	// NotRunHeader is the header by which a backend server declares on a 429 or
	// 503 answer that it ran nothing of the request.
	NotRunHeader string
	// Metrics names the load report's metrics.
	Metrics MetricNames
	// Log gets a line for each connection that goes silent.
	Log logrus.FieldLogger
}

// The defaults of Config.
const (
	defaultDialTimeout     = 500 * time.Millisecond
	defaultFirstTimeout    = 60 * time.Second
	defaultProgressTimeout = 5 * time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultMaxIdle         = 32
	defaultMaxHeader       = 64 << 10
	defaultMaxEvent        = 1 << 20
	defaultMaxBody         = 32 << 20
	defaultNotRunHeader    = "X-Not-Run"
)

// Defaults returns the configuration with zero fields filled in.
func (c Config) Defaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.FirstByteTimeout = cmp.Or(c.FirstByteTimeout, defaultFirstTimeout)
	c.ProgressTimeout = cmp.Or(c.ProgressTimeout, defaultProgressTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.MaxIdleConns = cmp.Or(c.MaxIdleConns, defaultMaxIdle)
	c.MaxHeader = cmp.Or(c.MaxHeader, defaultMaxHeader)
	c.MaxEvent = cmp.Or(c.MaxEvent, defaultMaxEvent)
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	c.NotRunHeader = cmp.Or(c.NotRunHeader, defaultNotRunHeader)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	c.Metrics = c.Metrics.Defaults()
	return c
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// Validate checks the configuration.
//
// Errors: NotValid with the field's name.
func (c Config) Validate() error {
	switch {
	case c.DialTimeout < 0 || c.FirstByteTimeout < 0 || c.ProgressTimeout < 0 || c.IdleTimeout < 0:
		return errors.NotValidf("Config.Validate: negative timeout")
	case c.MaxIdleConns < 0 || c.MaxHeader < 0 || c.MaxEvent < 0 || c.MaxBody < 0:
		return errors.NotValidf("Config.Validate: negative limit")
	}
	return nil
}
