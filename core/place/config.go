package place

import (
	"time"

	"github.com/juju/errors"
)

const (
	defaultRate         = 1000
	defaultBurst        = 200_000
	defaultOrderTimeout = 10 * time.Second
	defaultLoadTimeout  = 15 * time.Minute
	defaultMaxOrders    = 16
)

// Config configures a Planner.
type Config struct {
	// ReadRate limits the reads from the weight store, in megabytes per second.
	// ReadBurst is the limiter's burst in megabytes; an artifact larger than it is
	// never loaded.
	ReadRate  float64
	ReadBurst int
	// OrderTimeout is the time after which an order is certain to have ended: it
	// has taken effect or never will.
	OrderTimeout time.Duration
	// LoadTimeout is the time after which the planner gives up on a load order
	// whose effect no report shows.
	LoadTimeout time.Duration
	// MaxOrders limits the number of orders in one plan.
	MaxOrders int
}

// Defaults returns the config with every zero field set to its default.
func (c Config) Defaults() Config {
	if c.ReadRate == 0 {
		c.ReadRate = defaultRate
	}
	if c.ReadBurst == 0 {
		c.ReadBurst = defaultBurst
	}
	if c.OrderTimeout == 0 {
		c.OrderTimeout = defaultOrderTimeout
	}
	if c.LoadTimeout == 0 {
		c.LoadTimeout = defaultLoadTimeout
	}
	if c.MaxOrders == 0 {
		c.MaxOrders = defaultMaxOrders
	}
	return c
}

// Validate checks the config.
//
// Errors: NotValid with the fields' names and values.
func (c Config) Validate() error {
	if c.ReadRate <= 0 || c.ReadBurst <= 0 || c.MaxOrders <= 0 {
		return errors.NotValidf("Config.Validate: ReadRate %g, ReadBurst %d, MaxOrders %d (each must be positive)",
			c.ReadRate, c.ReadBurst, c.MaxOrders)
	}
	if c.OrderTimeout <= 0 || c.LoadTimeout < c.OrderTimeout {
		return errors.NotValidf("Config.Validate: OrderTimeout %s (must be positive), LoadTimeout %s (must not be below OrderTimeout)",
			c.OrderTimeout, c.LoadTimeout)
	}
	return nil
}
