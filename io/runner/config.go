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
	// Retry decides on retries, Poison on requests that crash backend servers.
	// Reserve asks the other VMs to send no calls to a replica; a reservation whose
	// For is zero ends an earlier one.
	Retry   *retry.Policy
	Poison  *poison.Registry
	Reserve func(now time.Time, r poison.Reservation)
	// SubscribeTicks has a function called at regular intervals until stop is called.
	// If it is nil, the user of the Runner has to call Tick.
	SubscribeTicks func(tick func(now time.Time)) (stop func())
	// PushCrashRecords sends the records that Poison has published to the other VMs at
	// once; may be nil.
	PushCrashRecords func()
	// Alive reports whether a backend server answers a health check at all.
	Alive func(context.Context, back.Target) bool
	// Send makes one attempt on one backend server.
	Send func(context.Context, back.Target, back.Request, func(back.Event) error) (back.Result, error)
	// Estimate estimates the tokens and the time that a call takes.
	Estimate func(c *call.Call) estim.Estimate
	// Profile returns the capabilities of a model's engines; the default is
	// DefaultProfile.
	Profile func(call.Model) stream.Profile
	// Observe is called with the measurements of each job that has ended.
	Observe func(Measure)
	// Allow checks a call against the limits of its team and class and charges its
	// cost to them; nil allows all calls.
	Allow func(now time.Time, c *call.Call, cost int) limit.Decision
	// ChargeExcess charges the tokens by which a call exceeded its estimated cost; may
	// be nil.
	ChargeExcess func(now time.Time, c *call.Call, tokens int)
	// Learn is called with a sample of each complete answer whose length is known,
	// Dispatched for each job that leaves the queue for a replica; both may be nil.
	Learn      func(estim.Sample)
	Dispatched func(now time.Time, model call.Model, cost int, backlogged bool)
	// Claims makes claims. If Begin is nil, jobs that need a claim are refused.
	Claims Claims
	Now    func() time.Time
	Log    logrus.FieldLogger
	// MaxAttempts limits the attempts for one answer of an engine, including the
	// first; Retry has its own limit for all jobs.
	MaxAttempts int
	// FirstTokenTimeout limits an engine's time to the first token of a stream.
	FirstTokenTimeout time.Duration
	// RetryAfter is the delay to suggest to a caller where no better value is known.
	RetryAfter time.Duration
}

// Defaults sets unset fields to their defaults.
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

// Validate checks a config whose defaults are filled in.
//
// Errors: NotValid.
func (c *Config) Validate() error {
	switch {
	case c.Retry == nil, c.Poison == nil, c.Reserve == nil, c.Alive == nil:
		return errors.NotValidf("Config.Validate: Retry, Poison, Reserve or Alive is nil, all are required")
	case c.Queue == nil, c.Router == nil, c.Send == nil, c.Estimate == nil, c.Observe == nil, c.Now == nil, c.Log == nil:
		return errors.NotValidf("Config.Validate: Queue, Router, Send, Estimate, Observe, Now or Log is nil, all are required")
	case c.MaxAttempts < 1:
		return errors.NotValidf("Config.Validate: MaxAttempts is %d, must be at least 1", c.MaxAttempts)
	}
	return nil
}
