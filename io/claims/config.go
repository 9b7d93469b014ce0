package claims

import (
	"cmp"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/io/kvs"
)

// DefaultPrefix is the default key prefix of claim records.
const DefaultPrefix = "gentianwell/claims/"

// MinRetention is the minimum retention; a shorter one is raised to it. It must be
// much longer than any pause of a VM.
const MinRetention = time.Hour

const (
	defaultRetention           = 24 * time.Hour
	defaultMaxBatch            = 64
	defaultMaxQueue            = 1024
	defaultMaxBackgroundWrites = 1024
	defaultMinTxnInterval      = 20 * time.Millisecond
	defaultMaxRate             = 300
	defaultPause               = 500 * time.Millisecond
	defaultTimeout             = 3 * time.Second
	defaultRetryInterval       = time.Second
	defaultRestoreWindow       = time.Minute
	defaultRestoreGrace        = 5 * time.Second
)

// Config configures Claims.
type Config struct {
	Service kvs.Service
	VM      call.VMID
	// Nonce returns a new string each time, unique across all VMs.
	Nonce func() string
	Now   func() time.Time
	// Every has the timer service call fn at the interval until the returned
	// function is called.
	Every func(name string, interval time.Duration, fn func(now time.Time)) func()
	// Prefix is the key prefix of claim records.
	Prefix string
	// Retention is the minimum time for which a claim is kept if the request sets
	// none. A claim may be kept for up to a quarter longer.
	Retention time.Duration
	// MaxBody limits the body of a stored outcome, in bytes.
	MaxBody int
	// MaxBatch limits the writes in one transaction, MaxQueue those that wait for a
	// transaction and MaxBackgroundWrites those that are retried in the background.
	MaxBatch            int
	MaxQueue            int
	MaxBackgroundWrites int
	// MinTxnInterval is the minimum time between the starts of two transactions.
	MinTxnInterval time.Duration
	// MaxRate limits the transactions of all VMs together, per second. VMs returns
	// the number of VMs; each uses an equal share.
	MaxRate float64
	VMs     func() int
	// Pause is how long attempts are refused at once after a failure.
	Pause time.Duration
	// Timeout limits Begin, and each try of a write of Finish or Release.
	Timeout time.Duration
	// RetryInterval is the interval at which background writes are retried.
	RetryInterval time.Duration
	// RestoreWindow is the greatest age of a copy from which the service may be restored.
	// For RestoreGrace after it saw a restore, a VM makes no claims, so that the others can
	// write those again that the copy lacks.
	RestoreWindow time.Duration
	RestoreGrace  time.Duration
	// Log gets a line for each background write that is given up. The default is
	// logrus's standard logger.
	Log logrus.FieldLogger
}

// Defaults returns the config with unset fields set to their defaults.
func (c Config) Defaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.VMs == nil {
		c.VMs = func() int { return 1 }
	}
	if c.Prefix == "" {
		c.Prefix = DefaultPrefix
	}
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.MaxBody = cmp.Or(c.MaxBody, claim.DefaultMaxBody)
	c.MaxBatch = cmp.Or(c.MaxBatch, defaultMaxBatch)
	c.MaxQueue = cmp.Or(c.MaxQueue, defaultMaxQueue)
	c.MaxBackgroundWrites = cmp.Or(c.MaxBackgroundWrites, defaultMaxBackgroundWrites)
	c.MinTxnInterval = cmp.Or(c.MinTxnInterval, defaultMinTxnInterval)
	c.MaxRate = cmp.Or(c.MaxRate, defaultMaxRate)
	c.Pause = cmp.Or(c.Pause, defaultPause)
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.RestoreWindow = cmp.Or(c.RestoreWindow, defaultRestoreWindow)
	c.RestoreGrace = cmp.Or(c.RestoreGrace, defaultRestoreGrace)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRetryInterval)
	return c
}

// share returns this VM's share of MaxRate.
func (c Config) share() rate.Limit { return rate.Limit(c.MaxRate / float64(c.VMs())) }

// Validate checks the config.
//
// Errors: NotValid, with the names of the fields.
func (c Config) Validate() error {
	switch {
	case c.VM == "":
		return errors.NotValidf("Config.Validate: empty VM")
	case c.Nonce == nil || c.Every == nil:
		return errors.NotValidf("Config.Validate: Nonce or Every is nil, both are required")
	case c.Service.Transact == nil || c.Service.Grant == nil || c.Service.Get == nil:
		return errors.NotValidf("Config.Validate: Service.Transact, Service.Grant or Service.Get is nil, all are required")
	}
	return nil
}
