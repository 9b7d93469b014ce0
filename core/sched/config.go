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
	// MaxWait is how long an item waits at most; then it is given up on.
	MaxWait time.Duration
	// TurnEvery is how long the tier goes without a dispatch before it takes
	// its turn. It has no effect on protected tiers.
	TurnEvery time.Duration
}

// Config configures a Queue.
type Config struct {
	// Protected is the number of tiers, from tier 0 on, that go before all
	// others whenever one of their items waits.
	Protected int
	// SharedCapacity is the number of items that all tiers of one model together
	// may queue beyond each tier's TierCapacity.
	SharedCapacity int
	// TierCapacity is the number of items that each tier of a model may queue
	// without using SharedCapacity. Other tiers cannot use it.
	TierCapacity int
	// TurnShare is the greatest part of a model's dispatched tokens, between 0
	// and 1, that goes to turns.
	TurnShare float64
	Tiers     [TierCount]TierConfig
	// RetryMin and RetryMax bound the Retry-After.
	RetryMin, RetryMax time.Duration
	// Rate returns the rate in tokens a second at which the model's queue on
	// this VM is served, 0 where it is not known.
	Rate func(now time.Time, model call.Model) float64
	// Rand spreads the Retry-After of callers.
	Rand *rand.Rand
}

// Defaults returns a config that lacks only Rand.
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

// MaxGap returns how long an unprotected tier with waiting work goes without a
// dispatch at most, while the queue is served at rate tokens a second, no item
// costs more than maxCost, and no protected item waits.
func (c *Config) MaxGap(t call.Tier, maxCost int, rate float64) time.Duration {
	return c.Tiers[t].TurnEvery + seconds(float64(c.maxGapTokens(maxCost))/rate)
}

// maxGapTokens returns how many tokens are dispatched at most between the time that
// a tier's turn is due and its dispatch: each unprotected tier may have a turn
// before, and each turn may have to wait until its tokens are earned.
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
// Errors: NotValid with the field.
func (c *Config) Validate() error {
	switch {
	case c.Protected < 0 || c.Protected > TierCount:
		return errors.NotValidf("Config.Validate: Protected %d", c.Protected)
	case c.SharedCapacity < 1 || c.TierCapacity < 1:
		return errors.NotValidf("Config.Validate: SharedCapacity %d, TierCapacity %d, each at least 1", c.SharedCapacity, c.TierCapacity)
	case c.TurnShare <= 0 || c.TurnShare >= 1:
		return errors.NotValidf("Config.Validate: TurnShare %g", c.TurnShare)
	case c.RetryMin <= 0 || c.RetryMax < c.RetryMin:
		return errors.NotValidf("Config.Validate: RetryMin %s, RetryMax %s", c.RetryMin, c.RetryMax)
	case c.Rate == nil || c.Rand == nil:
		return errors.NotValidf("Config.Validate: no Rate or no Rand")
	}
	for i, t := range c.Tiers {
		if t.MaxWait <= 0 || t.TurnEvery <= 0 || t.TurnEvery > t.MaxWait {
			return errors.NotValidf("Config.Validate: tier %d: MaxWait %s, TurnEvery %s", i, t.MaxWait, t.TurnEvery)
		}
	}
	return nil
}
