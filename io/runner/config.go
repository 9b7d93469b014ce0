package runner

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/estim"
	"gentianwell/core/limit"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/sched"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// Config configures a Runner.
type Config struct {
	Queue  *sched.Queue
	Router *route.Router
	// Retry decides about further attempts, Poison about requests that crash
	// backend servers. Reserve tells other VMs to keep off a replica, for no
	// time where it is free again.
	Retry   *retry.Policy
	Poison  *poison.Registry
	Reserve func(now time.Time, r poison.Reservation)
	// SubscribeTicks subscribes a function to regular calls until stop is called; nil
	// leaves the calls of Tick to the user.
	SubscribeTicks func(tick func(now time.Time)) (stop func())
	// PushCrashRecords spreads what Poison has to spread at once; may be nil.
	PushCrashRecords func()
	// Alive looks whether a backend server answers at all.
	Alive func(context.Context, back.Target) bool
	// Send does one attempt on one backend server.
	Send func(context.Context, back.Target, back.Request, func(back.Event) error) (back.Result, error)
	// Estimate returns what a call will cost in tokens and time.
	Estimate func(c *call.Call) estim.Guess
	// Profile says what the engines of a model can do; nil is EngineProfile.
	Profile func(call.Model) stream.Profile
	// Observe gets the measure of each job that has ended.
	Observe func(Measure)
	// Allow charges the limits of a call's team and class; nil allows all.
	Allow func(now time.Time, c *call.Call, cost int) limit.Decision
	// ChargeExcess charges tokens that an answer took beyond its estimated cost; may be nil.
	ChargeExcess func(now time.Time, c *call.Call, tokens int)
	// Learn gets what was seen of a whole answer, Dispatched each dispatch; both
	// may be nil. Without Claims, jobs that need one are refused.
	Learn      func(estim.Sample)
	Dispatched func(now time.Time, model call.Model, cost int, backlogged bool)
	Claims     Claims
	Now        func() time.Time
	Log        logrus.FieldLogger
	// MaxAttempts bounds the attempts at one job.
	MaxAttempts int
	// FirstTokenTimeout bounds an engine's time to its first token.
	FirstTokenTimeout time.Duration
	// RetryAfter is what a caller is told where nothing better is known.
	RetryAfter time.Duration
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 3
	}
	if c.Profile == nil {
		c.Profile = DefaultProfile
	}
	if c.FirstTokenTimeout == 0 {
		c.FirstTokenTimeout = 20 * time.Second
	}
	if c.RetryAfter == 0 {
		c.RetryAfter = time.Second
	}
	if c.Allow == nil {
		c.Allow = func(time.Time, *call.Call, int) limit.Decision { return limit.Decision{Allowed: true} }
	}
	if c.ChargeExcess == nil {
		c.ChargeExcess = func(time.Time, *call.Call, int) {}
	}
	if c.Learn == nil {
		c.Learn = func(estim.Sample) {}
	}
	if c.Dispatched == nil {
		c.Dispatched = func(time.Time, call.Model, int, bool) {}
	}
	if c.SubscribeTicks == nil {
		c.SubscribeTicks = func(func(time.Time)) func() { return func() {} }
	}
	if c.PushCrashRecords == nil {
		c.PushCrashRecords = func() {}
	}
	if c.Claims.Begin == nil {
		c.Claims = noClaims(c.RetryAfter)
	}
}

// Validate checks that all needed fields are there.
func (c *Config) Validate() error {
	switch {
	case c.Retry == nil, c.Poison == nil, c.Reserve == nil, c.Alive == nil:
		return errors.NotValidf("Config.Validate: Retry, Poison, Reserve or Alive is nil")
	case c.Queue == nil, c.Router == nil, c.Send == nil, c.Estimate == nil, c.Observe == nil, c.Now == nil, c.Log == nil:
		return errors.NotValidf("Config.Validate: a needed field is nil")
	case c.MaxAttempts < 1:
		return errors.NotValidf("Config.Validate: Attempts %d", c.MaxAttempts)
	}
	return nil
}
