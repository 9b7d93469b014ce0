package limit

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// LocalConfig configures a Local.
type LocalConfig struct {
	// Limit returns the site's limit in units a second; 0 means no limit.
	Limit func(Key) float64
	// Fallback returns the part of a limit that this VM may use without a share: the
	// AllocatorConfig.ReservedFraction of the site's allocator, split evenly between
	// all VMs.
	Fallback func() float64
	// BurstTime is the time for which unused units accumulate in the bucket.
	BurstTime time.Duration
	// TTL is the AllocatorConfig.TTL of the owners; half of it is the renewal interval.
	TTL time.Duration
	// DemandTime is the time over which demand is averaged.
	DemandTime time.Duration
	// MinChange is the relative change of a demand above which it is reported before
	// the renewal.
	MinChange float64
	// MaxDemands bounds the demands in one message.
	MaxDemands int
	// Rand adds jitter to the Retry-After of refused calls.
	Rand *rand.Rand
}

// LocalDefaults returns a config in which only Limit, Fallback and Rand are unset.
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
		return errors.NotValidf("LocalConfig.Validate: nil Limit, Fallback or Rand")
	case c.BurstTime <= 0 || c.TTL <= 0 || c.DemandTime <= 0:
		return errors.NotValidf("LocalConfig.Validate: BurstTime %s, TTL %s, DemandTime %s (all must be positive)", c.BurstTime, c.TTL, c.DemandTime)
	case c.MinChange <= 0 || c.MaxDemands < 1:
		return errors.NotValidf("LocalConfig.Validate: MinChange %g (must be positive), MaxDemands %d (must be at least 1)", c.MinChange, c.MaxDemands)
	}
	return nil
}
