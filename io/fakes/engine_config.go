package fakes

import (
	"time"

	"github.com/juju/errors"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID string
	// Models are loaded at the start.
	Models []string
	// Slots is how many requests run at once, MaxWaiting how many may wait.
	Slots      int
	MaxWaiting int
	// TokenGap is the time between tokens, PrefillGap the time for each prompt
	// block that is not in the prefix cache.
	TokenGap   time.Duration
	PrefillTime time.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportLag delays the load report and the cache events.
	ReportLag time.Duration
	// DropEventEvery drops each cache event whose number is a multiple of it (0: none).
	DropEventEvery int
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
	// Crash ends the process; where nil, the engine cuts all its connections
	// and refuses new ones until Revive.
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
		return errors.NotValidf("EngineConfig.Validate: Slots %d", c.Slots)
	case c.TokenGap < 0 || c.PrefillTime < 0 || c.ReportLag < 0 || c.LoadTime < 0:
		return errors.NotValidf("EngineConfig.Validate: negative duration")
	}
	return nil
}
