package scaler

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/duty"
	"gentianwell/core/scale"
)

// Interval is how often the replicas are planned.
const Interval = time.Second

const (
	// defaultTakes is how long a call of the API may take. A call without an answer by then may
	// still be executed.
	defaultTakes = time.Second
	// maxOrders limits the orders that begin in one Interval, well below the calls that the
	// platform allows all VMs in a second (50).
	maxOrders = 20
)

// Config configures a Scaler. All fields but Planner, Takes, Check and Observe are required.
type Config struct {
	// Inputs returns what is known of each service that is to be scaled.
	Inputs func(now time.Time) []scale.Input
	// Permit returns the permit for a call that takes at most a time, if this VM has it.
	Permit func(now time.Time, takes time.Duration) (duty.Permit, bool)
	// Refused is called when the platform has refused a call because of its permit.
	Refused func(duty.Permit)
	// Check is called when the platform has refused an order of spot replicas: either none are
	// available, or the permit is another VM's. It must return at once.
	Check func(duty.Permit)
	// Order sends an order. Its errors are those of package duty.
	Order   func(ctx context.Context, p duty.Permit, o scale.Order) error
	Planner scale.Config
	Takes   time.Duration
	// Observe is called with the outcome of each order.
	Observe func(scale.Order, scale.Outcome)
	// Planned is called with each decision about a service.
	Planned func(scale.Input, scale.Decision)
	Now     func() time.Time
	Log     logrus.FieldLogger
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.Planner = c.Planner.Defaults()
	c.Takes = cmp.Or(c.Takes, defaultTakes)
	if c.Check == nil {
		c.Check = func(duty.Permit) {}
	}
	if c.Observe == nil {
		c.Observe = func(scale.Order, scale.Outcome) {}
	}
	if c.Planned == nil {
		c.Planned = func(scale.Input, scale.Decision) {}
	}
	return c
}

// Validate checks a config whose defaults are filled in.
//
// Errors: NotValid, which names the field.
func (c Config) Validate() error {
	switch {
	case c.Inputs == nil || c.Permit == nil || c.Refused == nil || c.Order == nil || c.Now == nil || c.Log == nil:
		return errors.NotValidf("Config.Validate: Inputs, Permit, Refused, Order, Now or Log is nil (all are required)")
	case c.Takes <= 0:
		return errors.NotValidf("Config.Validate: Takes is %s, must be positive", c.Takes)
	}
	return errors.Trace(c.Planner.Validate())
}
