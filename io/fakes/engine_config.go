package fakes

import (
	"time"

	"github.com/juju/errors"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID string
	// Models are the models that are loaded at the start.
	Models []string
	// Slots is how many requests run at the same time, MaxWaiting how many may wait.
	Slots      int
	MaxWaiting int
	// TokenGap is the time before each token, PrefillTime the time for each prompt block
	// that is not in the prefix cache.
	TokenGap    time.Duration
	PrefillTime time.Duration
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag delays the load report and the cache events.
	ReportLag time.Duration
	// DropEventEvery drops each cache event whose sequence number is a multiple of it
	// (0: none).
	DropEventEvery int
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// CheckFencing makes the engine refuse orders whose fencing token is older than the
	// newest it has seen.
	CheckFencing bool
	// Crash is called when the engine crashes; it may end the process. If it does not,
	// or is nil, the engine closes the connections of all requests but those for /fault
	// until FaultRevive.
	Crash func()
}

// Defaults returns the configuration with zero fields filled in.
func (c EngineConfig) Defaults() EngineConfig {
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 1024
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 1024
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the field's name.
func (c EngineConfig) Validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("EngineConfig.Validate: empty ID")
	case c.Slots < 1:
		return errors.NotValidf("EngineConfig.Validate: Slots %d (must be at least 1)", c.Slots)
	case c.TokenGap < 0 || c.PrefillTime < 0 || c.ReportLag < 0 || c.LoadTime < 0:
		return errors.NotValidf("EngineConfig.Validate: TokenGap %v, PrefillTime %v, ReportLag %v, LoadTime %v (must not be negative)",
			c.TokenGap, c.PrefillTime, c.ReportLag, c.LoadTime)
	}
	return nil
}
