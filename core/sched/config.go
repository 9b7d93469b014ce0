package sched

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// TierCount is the number of tiers.
const TierCount = int(call.MaxTier) + 1

// TierConfig holds the limits of one tier.
type TierConfig struct {
	// MaxWait is how long an item may wait before it expires.
	MaxWait time.Duration
	// TurnEvery is how long the tier waits without a dispatch before a turn is
	// due: it then goes before higher unprotected tiers, so that it is not
	// starved. It has no effect on protected tiers.
	TurnEvery time.Duration
}

// Config configures a Queue.
type Config struct {
	// Protected is the number of tiers, from tier 0 on, with strict priority:
	// their waiting items go before those of all lower tiers.
	Protected int
	// SharedCapacity is the number of items that all tiers of one model together
	// may queue beyond each tier's TierCapacity.
	SharedCapacity int
	// TierCapacity is the number of items that each tier of a model may queue
	// without using SharedCapacity. Other tiers cannot use it.
	TierCapacity int
	// TurnShare is the largest share of a model's dispatched tokens that may go
	// to turns, above 0 and below 1.
	TurnShare float64
	Tiers     [TierCount]TierConfig
	// RetryMin and RetryMax bound the Retry-After of refused calls.
	RetryMin, RetryMax time.Duration
	// Rate returns the rate, in tokens per second, at which the model's queue on
	// this VM is served, or 0 if it is unknown.
	Rate func(now time.Time, model call.Model) float64
	// Rand adds jitter to Retry-After.
	Rand *rand.Rand
}

// Defaults returns the default config. The caller has to set Rand.
func Defaults() Config {
	return Config{
		Protected:      1,
		SharedCapacity: 512,
		TierCapacity:   16,
		TurnShare:      0.1,
		Tiers:          defaultTiers(),
		RetryMin:       time.Second,
		RetryMax:       2 * time.Minute,
		Rate:           func(time.Time, call.Model) float64 { return 0 },
	}
}

// MaxGap returns the longest time that an unprotected tier with waiting items goes
// without a dispatch, while the queue is served at rate tokens per second, no item
// costs more than maxCost, and no item of a protected tier waits.
func (c *Config) MaxGap(t call.Tier, maxCost int, rate float64) time.Duration {
	return c.Tiers[t].TurnEvery + seconds(float64(c.maxGapTokens(maxCost))/rate)
}

// maxGapTokens returns the largest number of tokens dispatched from when a tier's
// turn is due until it is dispatched: each other tier may take a turn first, and
// each turn may have to wait until there is credit for its tokens.
func (c *Config) maxGapTokens(maxCost int) int {
	turn := float64(maxCost)/c.TurnShare + float64(maxCost)
	return int(turn) * (TierCount - 1)
}

func defaultTiers() [TierCount]TierConfig {
	return [TierCount]TierConfig{
		{MaxWait: 10 * time.Second, TurnEvery: time.Second},
		{MaxWait: 15 * time.Second, TurnEvery: time.Second},
		{MaxWait: 20 * time.Second, TurnEvery: 2 * time.Second},
		{MaxWait: 30 * time.Second, TurnEvery: 3 * time.Second},
		{MaxWait: 60 * time.Second, TurnEvery: 5 * time.Second},
		{MaxWait: 90 * time.Second, TurnEvery: 5 * time.Second},
		{MaxWait: 120 * time.Second, TurnEvery: 10 * time.Second},
		{MaxWait: 180 * time.Second, TurnEvery: 10 * time.Second},
	}
}

// Validate checks the config.
//
// Errors: NotValid, with the field.
func (c *Config) Validate() error {
	switch {
	case c.Protected < 0 || c.Protected > TierCount:
		return errors.NotValidf("Config.Validate: Protected %d (allowed: 0 to %d)", c.Protected, TierCount)
	case c.SharedCapacity < 1 || c.TierCapacity < 1:
		return errors.NotValidf("Config.Validate: SharedCapacity %d, TierCapacity %d (each at least 1)", c.SharedCapacity, c.TierCapacity)
	case c.TurnShare <= 0 || c.TurnShare >= 1:
		return errors.NotValidf("Config.Validate: TurnShare %g (allowed: above 0 and below 1)", c.TurnShare)
	case c.RetryMin <= 0 || c.RetryMax < c.RetryMin:
		return errors.NotValidf("Config.Validate: RetryMin %s, RetryMax %s (RetryMin above 0 and at most RetryMax)", c.RetryMin, c.RetryMax)
	case c.Rate == nil || c.Rand == nil:
		return errors.NotValidf("Config.Validate: nil Rate or nil Rand")
	}
	for i, t := range c.Tiers {
		if t.MaxWait <= 0 || t.TurnEvery <= 0 || t.TurnEvery > t.MaxWait {
			return errors.NotValidf("Config.Validate: tier %d: MaxWait %s, TurnEvery %s (TurnEvery above 0 and at most MaxWait)", i, t.MaxWait, t.TurnEvery)
		}
	}
	return nil
}
