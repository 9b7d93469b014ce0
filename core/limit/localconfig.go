package limit

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// LocalConfig configures a Local.
type LocalConfig struct {
	// Limit returns the site's limit in units a second; 0 is no limit.
	Limit func(Key) float64
	// Fallback returns the part of a limit that this VM may use without a share:
	// the HomeConfig.KeptBack of the site's home, split between all VMs.
	Fallback func() float64
	// BurstTime is the time for which unused units are kept.
	BurstTime time.Duration
	// TTL is that of the home's shares.
	TTL time.Duration
	// DemandTime is the time over which demand is averaged.
	DemandTime time.Duration
	// MinChange is the relative change of demand that is worth a message.
	MinChange float64
	// MaxDemands bounds the demands in one message.
	MaxDemands int
	// Rand spreads the Retry-After of callers.
	Rand *rand.Rand
}

// LocalDefaults returns a config that lacks Limit, Fallback and Rand.
func LocalDefaults() LocalConfig {
	return LocalConfig{
		BurstTime:  time.Second,
		TTL:        10 * time.Second,
		DemandTime: 3 * time.Second,
		MinChange:  0.25,
		MaxDemands: 256,
	}
}

// Validate checks the config.
//
// Errors: NotValid with the field.
func (c *LocalConfig) Validate() error {
	switch {
	case c.Limit == nil || c.Fallback == nil || c.Rand == nil:
		return errors.NotValidf("LocalConfig.Validate: no Limit, Fallback or Rand")
	case c.BurstTime <= 0 || c.TTL <= 0 || c.DemandTime <= 0:
		return errors.NotValidf("LocalConfig.Validate: BurstTime %s, TTL %s, DemandTime %s", c.BurstTime, c.TTL, c.DemandTime)
	case c.MinChange <= 0 || c.MaxDemands < 1:
		return errors.NotValidf("LocalConfig.Validate: Change %g, MaxDemands %d", c.MinChange, c.MaxDemands)
	}
	return nil
}
