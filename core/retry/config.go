package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// The defaults of Config.
const (
	defaultMaxAttempts  = 3
	defaultMinPerSecond = 1.0
	defaultBurst        = 20.0
	defaultBackoff      = 20 * time.Millisecond
	defaultBackoffMax   = time.Second
	defaultMinRun       = 50 * time.Millisecond
	defaultMaxClasses   = 512
)

// Config configures a Policy. Rand is required.
type Config struct {
	// Rand draws the pauses. It must not be used elsewhere.
	Rand *rand.Rand
	// MaxAttempts is the maximum number of attempts of a call, including the first.
	MaxAttempts int
	// MinPerSecond is how many retries a second are added to each budget,
	// whatever the number of first attempts.
	MinPerSecond float64
	// Burst is the size of each budget, in retries.
	Burst float64
	// Backoff is the longest pause before the first retry. It doubles with each
	// further retry, up to BackoffMax. The pause is drawn between zero and this
	// bound.
	Backoff    time.Duration
	BackoffMax time.Duration
	// MinRun is the minimum time that must remain before the deadline when a retry
	// starts.
	MinRun time.Duration
	// MaxClasses is the maximum number of classes with their own budget; all other
	// classes share one.
	MaxClasses int
}

// Defaults returns the config with its unset fields set to the defaults.
func (c Config) Defaults() Config {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.MaxClasses == 0 {
		c.MaxClasses = defaultMaxClasses
	}
	c.MinPerSecond = cmp.Or(c.MinPerSecond, defaultMinPerSecond)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.Backoff = cmp.Or(c.Backoff, defaultBackoff)
	c.BackoffMax = cmp.Or(c.BackoffMax, defaultBackoffMax)
	c.MinRun = cmp.Or(c.MinRun, defaultMinRun)
	return c
}

// Validate checks the config, with defaults applied.
//
// Errors: NotValid, with the field.
func (c Config) Validate() error {
	switch {
	case c.Rand == nil:
		return errors.NotValidf("Config.Validate: nil Rand")
	case c.MaxAttempts < 1:
		return errors.NotValidf("Config.Validate: MaxAttempts %d (at least 1)", c.MaxAttempts)
	case c.MinPerSecond < 0:
		return errors.NotValidf("Config.Validate: MinPerSecond %g (at least 0)", c.MinPerSecond)
	case c.Burst < 1:
		return errors.NotValidf("Config.Validate: Burst %g (at least 1)", c.Burst)
	case c.Backoff < 0 || c.BackoffMax < c.Backoff || c.MinRun < 0:
		return errors.NotValidf("Config.Validate: Backoff %s, BackoffMax %s, MinRun %s (Backoff and MinRun at least 0, BackoffMax at least Backoff)", c.Backoff, c.BackoffMax, c.MinRun)
	}
	return nil
}
