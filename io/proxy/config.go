package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
	"gentianwell/io/back"
)

// The defaults of Config.
const (
	// defaultHeaderBytes and defaultIdleTimeout hold until a table is in force.
	defaultHeaderBytes = 64 << 10
	defaultIdleTimeout = time.Minute
	// defaultReadTimeout bounds the reading of a header before a table is in force.
	defaultReadTimeout = 10 * time.Second
	// defaultRetryAfter is the longest that a refused caller is told to wait: the
	// reasons for a refusal pass within about a second.
	defaultRetryAfter = time.Second
	// defaultBusyRetryAfter is about half of a usual burst.
	defaultBusyRetryAfter = 3 * time.Second
	// defaultSends bounds how often one request is sent, refused sends included.
	defaultSends = 4
	// defaultRetryShare keeps retries to a tenth of the requests.
	defaultRetryShare = 0.1
	// defaultPatience bounds a request where neither caller nor route does.
	defaultPatience = time.Minute
	// defaultBusyWait is how long a request waits at most for a place on a replica,
	// as a part of its target.
	defaultBusyWait = 0.5
	// defaultStreamWait is the same for streams, which keep their places for
	// seconds: who is refused soon can come back in time.
	defaultStreamWait = 0.12
)

// Config configures a Server. Fields without a default are required.
type Config struct {
	Headers HeaderCodec
	// Zone is the availability zone of the VM.
	Zone call.Zone
	// Table returns the routing table in force; nil where there is none yet.
	Table func() *table.Table
	// TableIsCurrent reports whether the table is known to be the newest: only then is a key
	// or a path that it does not have refused for good.
	TableIsCurrent func() bool
	Router         *route.Router
	Retry          *retry.Policy
	// Open sends one attempt.
	Open func(context.Context, back.Target, back.Request) (*back.Exchange, back.Result, error)
	// Admit and Finish count the requests in progress; Admit refuses on a VM that
	// stops. Stopping is true from the beginning of a stop.
	Admit    func() bool
	Finish   func()
	Stopping func() bool
	// Random returns a random number from 0 to below 1.
	Random func() float64
	Now    func() time.Time
	Log    logrus.FieldLogger
	// Observe gets each request that has ended; nil: nobody.
	Observe func(RequestStats)
	// MaxRetryAfter is the longest that a refused caller is told to wait,
	// BusyRetryAfter where all replicas are full.
	MaxRetryAfter     time.Duration
	MaxBusyRetryAfter time.Duration
	// MaxSends bounds how often one request is sent, refused sends included.
	MaxSends int
	// BusyWaitFraction is how long a request waits for a place on a replica, as a part of
	// its target, StreamWait how long a stream does.
	BusyWaitFraction   float64
	StreamWaitFraction float64
	// RetryShare returns the part of a retry that each request pays for.
	RetryShare func() float64
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.MaxRetryAfter == 0 {
		c.MaxRetryAfter = defaultRetryAfter
	}
	if c.MaxBusyRetryAfter == 0 {
		c.MaxBusyRetryAfter = defaultBusyRetryAfter
	}
	if c.MaxSends == 0 {
		c.MaxSends = defaultSends
	}
	if c.BusyWaitFraction == 0 {
		c.BusyWaitFraction = defaultBusyWait
	}
	if c.StreamWaitFraction == 0 {
		c.StreamWaitFraction = defaultStreamWait
	}
	if c.Observe == nil {
		c.Observe = func(RequestStats) {}
	}
	if c.RetryShare == nil {
		c.RetryShare = func() float64 { return defaultRetryShare }
	}
	if c.TableIsCurrent == nil {
		c.TableIsCurrent = func() bool { return true }
	}
}

// Validate checks the configuration.
//
// Errors: NotValid.
func (c *Config) Validate() error {
	switch {
	case c.Headers.ReadRequest == nil, c.Headers.WriteRequest == nil, c.Headers.ReadResponse == nil, c.Headers.CleanResponse == nil:
		return errors.NotValidf("Config.Validate: Wire without a field")
	case c.Table == nil, c.Router == nil, c.Retry == nil, c.Open == nil, c.Admit == nil, c.Finish == nil,
		c.Stopping == nil, c.Random == nil, c.Now == nil, c.Log == nil:
		return errors.NotValidf("Config.Validate: a needed field is nil")
	case c.MaxRetryAfter < 0 || c.MaxSends < 1 || c.BusyWaitFraction < 0 || c.StreamWaitFraction < 0:
		return errors.NotValidf("Config.Validate: RetryAfter %s, Sends %d, BusyWait %g, StreamWait %g", c.MaxRetryAfter, c.MaxSends, c.BusyWaitFraction, c.StreamWaitFraction)
	}
	return nil
}
