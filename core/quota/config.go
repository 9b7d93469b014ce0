package quota

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// The defaults of Config.
const (
	defaultMinShare     = 1
	defaultWindow       = 4 * time.Second
	defaultBurstTime    = 250 * time.Millisecond
	defaultMaxAge       = time.Minute
	defaultTellInterval = 2 * time.Second
)

// Config configures Limits. Self and Rand are required.
type Config struct {
	// Self is the VM that sends.
	Self call.VMID
	// Rand spreads the times at which VMs forget a limit. Nothing but Limits may use it.
	Rand *rand.Rand
	// MinShare is the smallest part of a limit that a VM holds, in requests a second; a smaller
	// limit is held by one VM.
	MinShare float64
	// Window is the time over which requests that were sent before a limit was known count
	// against it.
	Window time.Duration
	// BurstTime is the time of which a VM may send its part at once, at least one request.
	BurstTime time.Duration
	// MaxAge is how long a limit holds that no VM hears of any more.
	MaxAge time.Duration
	// TellInterval is how often other VMs are told of a limit that is named again and again.
	TellInterval time.Duration
}

// Defaults returns the config with defaults for the unset fields.
func (c Config) Defaults() Config {
	c.MinShare = cmp.Or(c.MinShare, defaultMinShare)
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.BurstTime = cmp.Or(c.BurstTime, defaultBurstTime)
	c.MaxAge = cmp.Or(c.MaxAge, defaultMaxAge)
	c.TellInterval = cmp.Or(c.TellInterval, defaultTellInterval)
	return c
}

// Validate checks a config whose defaults are filled in.
//
// Errors: NotValid, which names the field.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: Self is empty, a VM id is required")
	case c.Rand == nil:
		return errors.NotValidf("Config.Validate: Rand is nil, a source is required")
	case !(c.MinShare > 0):
		return errors.NotValidf("Config.Validate: MinShare is %g, must be above 0", c.MinShare)
	case c.Window < 0 || c.BurstTime < 0 || c.MaxAge < 0 || c.TellInterval < 0:
		return errors.NotValidf("Config.Validate: Window is %s, BurstTime is %s, MaxAge is %s, TellInterval is %s, none may be negative",
			c.Window, c.BurstTime, c.MaxAge, c.TellInterval)
	}
	return nil
}
