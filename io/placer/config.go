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
	defaultTTL      = 45 * time.Second
	defaultMargin   = 3 * time.Second
	defaultInterval = time.Second
	defaultMaxFence = 64
	// resignTimeout bounds the giving back of the lease at the end.
	resignTimeout = time.Second
	// renewShare and pollShare are divisors of the TTL that give how often the
	// holder renews the lease and the others look whether it is free.
	renewShare = 5
	pollShare  = 3
)

// The errors by which Order tells what is known.
const (
	// ErrRefused means that the engine has seen a newer fencing number.
	ErrRefused = errors.ConstError("order refused: old fencing number")
	// ErrNotSent means that nothing was written to the engine.
	ErrNotSent = errors.ConstError("order not sent")
)

// Order is a planned order with the holder's fencing number.
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
	// Every subscribes to the timer service.
	Every func(name string, interval time.Duration, fn func(now time.Time)) func()
	Key   string
	// TTL is the lease's time to live, Margin by how much earlier the holder
	// takes it for lapsed.
	TTL    time.Duration
	Margin time.Duration
	// Interval is how often the holder plans.
	Interval time.Duration
	// MaxFencingOrders bounds the engines that are given a new number in one step.
	MaxFencingOrders int
	Planner          place.Config
	// Needs returns what each model needs.
	Needs func() place.Needs
	// Replicas returns all engines as last reported; EarlierOrdersEnded and
	// OrdersAllowed are set by the placer. Reported is when this VM asked for the
	// report, at the latest.
	Replicas func() place.Replicas
	// SendOrder gives an order and returns when the engine has accepted it. It must
	// not write anything after ctx has ended.
	//
	// Errors: ErrRefused, ErrNotSent; after others the order may have been taken.
	SendOrder func(ctx context.Context, o Order) error
	// Log gets a line for each order; logrus's standard logger by default.
	Log logrus.FieldLogger
}

// Defaults returns the config with all unset fields filled in.
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
		c.MaxFencingOrders = defaultMaxFence
	}
	c.Planner = c.Planner.Defaults()
	return c
}

// Validate checks the config.
//
// Errors: NotValid with the field's name.
func (c Config) Validate() error {
	switch {
	case c.VM == "" || c.Nonce == nil || c.Every == nil:
		return errors.NotValidf("Config.Validate: empty VM, Nonce or Every")
	case c.Needs == nil || c.Replicas == nil || c.SendOrder == nil:
		return errors.NotValidf("Config.Validate: no Needs, Replicas or Order")
	case c.TTL/renewShare+c.Planner.OrderTimeout+c.Margin >= c.TTL:
		return errors.NotValidf("Config.Validate: TTL %s leaves no time for orders", c.TTL)
	}
	return errors.Trace(c.Planner.Validate())
}

func (c Config) tenure() place.TermConfig {
	return place.TermConfig{TTL: c.TTL, Margin: c.Margin, OrderTimeout: c.Planner.OrderTimeout}
}
