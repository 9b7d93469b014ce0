package limit

import (
	"time"

	"github.com/juju/errors"
)

// AllocatorConfig configures a Home.
type AllocatorConfig struct {
	// TTL is how long a share is in force; the same on all VMs.
	TTL time.Duration
	// ReservedFraction is the part of the capacity that is not granted: the fallback rates
	// of all VMs together on the site's home, 0 on a zone's home.
	ReservedFraction float64
	// Capacity returns the rate that the home may grant for the key and when that
	// runs out (zero: never). A rate of 0 grants nothing.
	Capacity func(now time.Time, key Key) (rate float64, until time.Time)
}

// AllocatorDefaults returns a config that lacks only Capacity.
func AllocatorDefaults() AllocatorConfig {
	return AllocatorConfig{TTL: 10 * time.Second, ReservedFraction: 0.1}
}

// Validate checks the config.
//
// Errors: NotValid with the field.
func (c *AllocatorConfig) Validate() error {
	switch {
	case c.TTL <= 0:
		return errors.NotValidf("HomeConfig.Validate: TTL %s", c.TTL)
	case c.ReservedFraction < 0 || c.ReservedFraction >= 1:
		return errors.NotValidf("HomeConfig.Validate: KeptBack %g", c.ReservedFraction)
	case c.Capacity == nil:
		return errors.NotValidf("HomeConfig.Validate: no Capacity")
	}
	return nil
}
