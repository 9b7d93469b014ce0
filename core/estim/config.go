package estim

import (
	"time"

	"github.com/juju/errors"
)

// Config configures an Estimator.
type Config struct {
	// Quantile, between 0 and 1, is the quantile of answer lengths and times from
	// which a call's service time is estimated.
	Quantile float64
	// MinSamples is the number of samples that a history needs before it is used.
	MinSamples int64
	// SampleWindow is the length of a window of samples. Those of the current and the
	// previous window count; the first sample after the current one begins the next.
	SampleWindow time.Duration
	// RateWindow is the time constant of the average of a queue's rate.
	RateWindow time.Duration
	// MaxClasses limits the number of pairs of class and model that have a history
	// of their own.
	MaxClasses int
	// AnswerTokens, FirstToken and PerToken are used until there are MinSamples
	// samples.
	AnswerTokens         int
	FirstToken, PerToken time.Duration
}

// Defaults returns a valid config.
func Defaults() Config {
	return Config{
		Quantile:     0.5,
		MinSamples:   20,
		SampleWindow: 10 * time.Minute,
		RateWindow:   10 * time.Second,
		MaxClasses:   1024,
		AnswerTokens: 256,
		FirstToken:   200 * time.Millisecond,
		PerToken:     30 * time.Millisecond,
	}
}

// Validate checks the config.
//
// Errors: NotValid with the fields' names and values.
func (c *Config) Validate() error {
	switch {
	case c.Quantile <= 0 || c.Quantile >= 1:
		return errors.NotValidf("Config.Validate: Quantile %g (must be between 0 and 1)", c.Quantile)
	case c.MinSamples < 1 || c.MaxClasses < 1:
		return errors.NotValidf("Config.Validate: MinSamples %d, MaxClasses %d (each must be at least 1)", c.MinSamples, c.MaxClasses)
	case c.SampleWindow <= 0 || c.RateWindow <= 0:
		return errors.NotValidf("Config.Validate: SampleWindow %s, RateWindow %s (each must be positive)", c.SampleWindow, c.RateWindow)
	case c.AnswerTokens < 1 || c.FirstToken < 0 || c.PerToken < 0:
		return errors.NotValidf("Config.Validate: AnswerTokens %d (must be at least 1), FirstToken %s, PerToken %s (neither may be negative)",
			c.AnswerTokens, c.FirstToken, c.PerToken)
	}
	return nil
}
