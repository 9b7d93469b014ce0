package estim

import (
	"time"

	"github.com/juju/errors"
)

// Config configures an Estimator.
type Config struct {
	// Quantile of the answer's length and of times, between 0 and 1, that a
	// call's service time is estimated with.
	Quantile float64
	// MinSamples is how many samples a history needs before it counts.
	MinSamples int64
	// Window is the time after which samples begin to count no more.
	Window time.Duration
	// RateWindow is the time over which a queue's rate is averaged.
	RateWindow time.Duration
	// MaxClasses bounds the number of pairs of class and model that are learnt.
	MaxClasses int
	// AnswerTokens, FirstToken and PerToken stand in until there are samples.
	AnswerTokens         int
	FirstToken, PerToken time.Duration
}

// Defaults returns a valid config.
func Defaults() Config {
	return Config{
		Quantile:     0.5,
		MinSamples:   20,
		Window:       10 * time.Minute,
		RateWindow:   10 * time.Second,
		MaxClasses:   1024,
		AnswerTokens: 256,
		FirstToken:   200 * time.Millisecond,
		PerToken:     30 * time.Millisecond,
	}
}

// Validate checks the config.
//
// Errors: NotValid with the field.
func (c *Config) Validate() error {
	switch {
	case c.Quantile <= 0 || c.Quantile >= 1:
		return errors.NotValidf("Config.Validate: Quantile %g", c.Quantile)
	case c.MinSamples < 1 || c.MaxClasses < 1:
		return errors.NotValidf("Config.Validate: MinSamples %d, MaxClasses %d", c.MinSamples, c.MaxClasses)
	case c.Window <= 0 || c.RateWindow <= 0:
		return errors.NotValidf("Config.Validate: Window %s, RateWindow %s", c.Window, c.RateWindow)
	case c.AnswerTokens < 1 || c.FirstToken < 0 || c.PerToken < 0:
		return errors.NotValidf("Config.Validate: AnswerTokens %d, FirstToken %s, PerToken %s",
			c.AnswerTokens, c.FirstToken, c.PerToken)
	}
	return nil
}
