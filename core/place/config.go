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
	// Rate is how much the weight store gives, in megabytes a second, and Burst
	// what may be asked for at once; a larger artifact waits for ever.
	Rate  float64
	Burst int
	// OrderTimeout is after what time an order has surely ended, be it that it
	// took effect or that it never will.
	OrderTimeout time.Duration
	// LoadTimeout is after what time a load that no report shows is given up.
	LoadTimeout time.Duration
	// MaxOrders bounds the orders of one plan.
	MaxOrders int
}

// Defaults returns the config with all unset fields filled in.
func (c Config) Defaults() Config {
	if c.Rate == 0 {
		c.Rate = defaultRate
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
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
// Errors: NotValid with the field's name.
func (c Config) Validate() error {
	if c.Rate <= 0 || c.Burst <= 0 || c.MaxOrders <= 0 {
		return errors.NotValidf("Config.Validate: Rate, Burst or MaxOrders")
	}
	if c.OrderTimeout <= 0 || c.LoadTimeout < c.OrderTimeout {
		return errors.NotValidf("Config.Validate: OrderTimeout, or LoadTimeout below it")
	}
	return nil
}
