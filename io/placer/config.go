package placer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/place"
	"gentianwell/io/kvs"
)

// DefaultKey is the key of the lease.
const DefaultKey = "gentianwell/placer"

const (
	defaultTTL              = 45 * time.Second
	defaultMargin           = 3 * time.Second
	defaultInterval         = time.Second
	defaultMaxFencingOrders = 64
	// The lease holder renews the lease every TTL/renewDivisor; the other VMs check
	// every TTL/pollDivisor whether it is free.
	renewDivisor = 5
	pollDivisor  = 3
)

// The errors of Config.SendOrder for an order that certainly has no effect.
const (
	// ErrRefused means that the engine has seen a newer fencing token.
	ErrRefused = errors.ConstError("order refused: old fencing token")
	// ErrNotSent means that nothing was written to the engine.
	ErrNotSent = errors.ConstError("order not sent")
)

// Order is a planned order with the lease holder's fencing token.
type Order struct {
	place.Order
	FencingToken int64
}

// Config configures a Placer.
type Config struct {
	Service kvs.Service
	VM      call.VMID
	// Nonce returns a string that no other call on any VM ever returned.
	Nonce func() string
	Now   func() time.Time
	// Every subscribes fn to the timer service and returns a function that
	// unsubscribes it.
	Every func(name string, interval time.Duration, fn func(now time.Time)) func()
	// Key is the lease's key; DefaultKey if it is empty.
	Key string
	// TTL is the lease's time to live. Margin is how much earlier the lease holder
	// treats the lease as expired.
	TTL    time.Duration
	Margin time.Duration
	// Interval is the time between two plans of the lease holder.
	Interval time.Duration
	// MaxFencingOrders limits the number of engines that are sent a new fencing token
	// in one step.
	MaxFencingOrders int
	Planner          place.Config
	// Needs returns the copies needed of each model and adapter.
	Needs func() place.Needs
	// Replicas returns all engines as last reported. The placer sets
	// EarlierOrdersEnded and OrdersAllowed. Reported must not be later than the time
	// at which this VM requested the report.
	Replicas func() place.Replicas
	// SendOrder sends an order and returns once the engine has accepted it. It must
	// not write anything after ctx has ended.
	//
	// Errors: ErrRefused, ErrNotSent; after any other error the order may have taken
	// effect.
	SendOrder func(ctx context.Context, o Order) error
	// Log gets a line for each order; the default is logrus's standard logger.
	Log logrus.FieldLogger
}

// Defaults returns the config with every unset optional field set to its default.
func (c Config) Defaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Key == "" {
		c.Key = DefaultKey
	}
	if c.TTL == 0 {
		c.TTL = defaultTTL
	}
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.MaxFencingOrders == 0 {
		c.MaxFencingOrders = defaultMaxFencingOrders
	}
	c.Planner = c.Planner.Defaults()
	return c
}

// Validate checks the config.
//
// Errors: NotValid with the fields' names.
func (c Config) Validate() error {
	switch {
	case c.VM == "" || c.Nonce == nil || c.Every == nil:
		return errors.NotValidf("Config.Validate: VM, Nonce or Every is not set (all are required)")
	case c.Needs == nil || c.Replicas == nil || c.SendOrder == nil:
		return errors.NotValidf("Config.Validate: Needs, Replicas or SendOrder is not set (all are required)")
	case c.TTL/renewDivisor+c.Planner.OrderTimeout+c.Margin >= c.TTL:
		return errors.NotValidf("Config.Validate: TTL %s (must exceed TTL/%d + OrderTimeout %s + Margin %s)",
			c.TTL, renewDivisor, c.Planner.OrderTimeout, c.Margin)
	}
	return errors.Trace(c.Planner.Validate())
}

func (c Config) termConfig() place.TermConfig {
	return place.TermConfig{TTL: c.TTL, Margin: c.Margin, OrderTimeout: c.Planner.OrderTimeout}
}
