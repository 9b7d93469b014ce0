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
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// FirstByteTimeout is the longest time without progress before the first part of
	// a response on a new connection, while an engine may queue the request.
	// ProgressTimeout is the same from then on. On a reused connection, which may have
	// gone silent while idle, the smaller of the two applies from the start.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxIdleConns limits the idle connections to one backend server.
	MaxIdleConns int
	// MaxHeader, MaxEvent and MaxBody limit a response's header, one event of a
	// stream and a body that is not a stream, in bytes.
	MaxHeader int64
	MaxEvent  int
	MaxBody   int64
	// MaxBodies limits the sum of the bodies that are being read at a time, in bytes.
	MaxBodies int64
	// NotRunHeader is the header by which a backend server guarantees on a 429 or 503
	// response that it has run nothing of the request.
	NotRunHeader string
	// Metrics are the names of the load report's metrics.
	Metrics MetricNames
	// Log receives a line for each connection that goes silent or cannot be closed.
	Log logrus.FieldLogger
	// ResponseBroken is called with Result.Broken of each attempt for which it is not empty. It must
	// return at once. It may be nil.
	ResponseBroken func(reason string)
}

// The defaults of Config.
const (
	defaultDialTimeout      = 500 * time.Millisecond
	defaultFirstByteTimeout = 60 * time.Second
	defaultProgressTimeout  = 5 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultMaxIdleConns     = 32
	defaultMaxHeader        = 64 << 10
	defaultMaxEvent         = 1 << 20
	defaultMaxBody          = 32 << 20
	defaultMaxBodies        = 128 << 20
	defaultNotRunHeader     = "X-Not-Run"
)

// Defaults returns the config with its unset fields set to the defaults.
func (c Config) Defaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.FirstByteTimeout = cmp.Or(c.FirstByteTimeout, defaultFirstByteTimeout)
	c.ProgressTimeout = cmp.Or(c.ProgressTimeout, defaultProgressTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.MaxIdleConns = cmp.Or(c.MaxIdleConns, defaultMaxIdleConns)
	c.MaxHeader = cmp.Or(c.MaxHeader, defaultMaxHeader)
	c.MaxEvent = cmp.Or(c.MaxEvent, defaultMaxEvent)
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	c.MaxBodies = cmp.Or(c.MaxBodies, defaultMaxBodies)
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

// Validate checks the config, with defaults applied.
//
// Errors: NotValid, with the fields.
func (c Config) Validate() error {
	switch {
	case c.DialTimeout < 0 || c.FirstByteTimeout < 0 || c.ProgressTimeout < 0 || c.IdleTimeout < 0:
		return errors.NotValidf("Config.Validate: negative timeout: DialTimeout %s, FirstByteTimeout %s, ProgressTimeout %s, IdleTimeout %s",
			c.DialTimeout, c.FirstByteTimeout, c.ProgressTimeout, c.IdleTimeout)
	case c.MaxIdleConns < 0 || c.MaxHeader < 0 || c.MaxEvent < 0 || c.MaxBody < 0 || c.MaxBodies < 0:
		return errors.NotValidf("Config.Validate: negative limit: MaxIdleConns %d, MaxHeader %d, MaxEvent %d, MaxBody %d, MaxBodies %d",
			c.MaxIdleConns, c.MaxHeader, c.MaxEvent, c.MaxBody, c.MaxBodies)
	}
	return nil
}
