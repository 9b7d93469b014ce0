package reader

import (
	"time"

	"github.com/juju/errors"
)

const (
	// MinVMs is the size from which a fleet has readers: with fewer VMs, the calls saved
	// do not outweigh the messages.
	MinVMs = 30
	// defaultStableAges is for how many MaxAge readers have to be heard without a break before
	// a VM stops to watch, so that a reader that comes and goes causes few listings.
	defaultStableAges = 4
)

// Config configures a Watch.
type Config struct {
	// MinVMs is the number of VMs, this one included, from which readers are used.
	MinVMs int
	// MaxAge is the age from which a list counts as too old. It is required.
	MaxAge time.Duration
	// StableFor is how long readers have to be heard without a break before this VM stops to
	// watch.
	StableFor time.Duration
}

// Defaults sets the fields left zero, except MaxAge.
func (c *Config) Defaults() {
	if c.MinVMs == 0 {
		c.MinVMs = MinVMs
	}
	if c.StableFor == 0 {
		c.StableFor = defaultStableAges * c.MaxAge
	}
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c *Config) Validate() error {
	if c.MaxAge <= 0 || c.StableFor < 0 || c.MinVMs < 1 {
		return errors.NotValidf("Config.Validate: MaxAge %s, StableFor %s, MinVMs %d (MaxAge above 0, StableFor at least 0, MinVMs at least 1)", c.MaxAge, c.StableFor, c.MinVMs)
	}
	return nil
}
