package limit

import (
	"time"

	"github.com/juju/errors"
)

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	// TTL is how long a share is valid; it must be the same on all VMs.
	TTL time.Duration
	// ReservedFraction is the part of the capacity that is not granted: the sum of
	// all VMs' fallback rates for the site's allocator, 0 for a zone's allocator.
	ReservedFraction float64
	// Capacity returns the rate that may be granted for the key and when that
	// expires (zero: never). At a rate of 0 nothing is granted.
	Capacity func(now time.Time, key Key) (rate float64, until time.Time)
}

// AllocatorDefaults returns a config in which only Capacity is unset.
func AllocatorDefaults() AllocatorConfig {
	return AllocatorConfig{TTL: 10 * time.Second, ReservedFraction: 0.1}
}

// Validate checks the config.
//
// Errors: NotValid with the field.
func (c *AllocatorConfig) Validate() error {
	switch {
	case c.TTL <= 0:
		return errors.NotValidf("AllocatorConfig.Validate: TTL %s (must be positive)", c.TTL)
	case c.ReservedFraction < 0 || c.ReservedFraction >= 1:
		return errors.NotValidf("AllocatorConfig.Validate: ReservedFraction %g (must be at least 0 and below 1)", c.ReservedFraction)
	case c.Capacity == nil:
		return errors.NotValidf("AllocatorConfig.Validate: nil Capacity")
	}
	return nil
}
