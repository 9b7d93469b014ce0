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

// DefaultPrefix is the prefix of all claims' keys.
const DefaultPrefix = "gentianwell/claims/"

// MinRetention is the least retention, which has to be far above any pause of a
// VM: a shorter one is raised to it.
const MinRetention = time.Hour

const (
	defaultRetention = 24 * time.Hour
	defaultMaxBatch  = 64
	defaultMaxQueue  = 1024
	defaultMaxDebts  = 1024
	defaultGap       = 20 * time.Millisecond
	defaultMaxRate   = 300
	defaultPause     = 500 * time.Millisecond
	defaultTimeout   = 3 * time.Second
	defaultRepeat    = time.Second
)

// Config configures Claims.
type Config struct {
	Service kvs.Service
	VM      call.VMID
	// Nonce returns a string that no other call on any VM ever returned.
	Nonce func() string
	Now   func() time.Time
	// Every subscribes to the timer service.
	Every  func(name string, interval time.Duration, fn func(now time.Time)) func()
	Prefix string
	// Retention is for how long a claim surely exists where the request says
	// nothing; up to a quarter is added.
	Retention time.Duration
	// MaxBody bounds a stored answer's body, in bytes.
	MaxBody int
	// MaxBatch bounds the writes of one transaction, MaxQueue those that wait and
	// MaxDebts those that nobody waits for any more.
	MaxBatch int
	MaxQueue int
	MaxBackgroundWrites int
	// MinTxnInterval is the least time between the starts of two transactions.
	MinTxnInterval time.Duration
	// MaxRate bounds the transactions of all VMs together, each second, and VMs
	// returns how many VMs there are; each takes an equal share.
	MaxRate float64
	VMs     func() int
	// Pause is for how long attempts are refused at once after a failure.
	Pause time.Duration
	// Timeout bounds Begin, and each try of Finish and Release.
	Timeout time.Duration
	// RetryInterval is how often debts are tried again.
	RetryInterval time.Duration
	// Log gets a line for each write that is given up; logrus's standard logger by
	// default.
	Log logrus.FieldLogger
}

// Defaults returns the config with all unset fields filled in.
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
	c.MaxBackgroundWrites = cmp.Or(c.MaxBackgroundWrites, defaultMaxDebts)
	c.MinTxnInterval = cmp.Or(c.MinTxnInterval, defaultGap)
	c.MaxRate = cmp.Or(c.MaxRate, defaultMaxRate)
	c.Pause = cmp.Or(c.Pause, defaultPause)
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRepeat)
	return c
}

// share returns this VM's transactions a second.
func (c Config) share() rate.Limit { return rate.Limit(c.MaxRate / float64(c.VMs())) }

// Validate checks the config.
//
// Errors: NotValid with the field's name.
func (c Config) Validate() error {
	switch {
	case c.VM == "":
		return errors.NotValidf("Config.Validate: empty VM")
	case c.Nonce == nil || c.Every == nil:
		return errors.NotValidf("Config.Validate: no Nonce or Every")
	case c.Service.Transact == nil || c.Service.Grant == nil:
		return errors.NotValidf("Config.Validate: no Service")
	}
	return nil
}
