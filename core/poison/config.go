package poison

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// The defaults of Config.
const (
	defaultSuspectAfter    = 2
	defaultCrashWindow     = 10 * time.Second
	defaultSpreadTime      = 4 * time.Second
	defaultMemoryTime      = 24 * time.Hour
	defaultMaxFingerprints = 16384
)

// Config configures a Registry. Self is required.
type Config struct {
	// Self is the VM whose records it writes.
	Self call.VMID
	// SuspectAfter is how many crashes make a request suspect.
	SuspectAfter int
	// CrashWindow is the time within which crashes of one replica are the same
	// crash, seen by several calls or VMs.
	CrashWindow time.Duration
	// SpreadTime is how long gossip takes to reach all VMs. The caller of a failed
	// call that saw a crash is told to come back after it.
	SpreadTime time.Duration
	// Retention is how long a crash counts.
	Retention time.Duration
	// MaxFingerprints bounds the memory; the oldest are forgotten first.
	MaxFingerprints int
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = defaultSuspectAfter
	}
	if c.MaxFingerprints == 0 {
		c.MaxFingerprints = defaultMaxFingerprints
	}
	c.CrashWindow = cmp.Or(c.CrashWindow, defaultCrashWindow)
	c.SpreadTime = cmp.Or(c.SpreadTime, defaultSpreadTime)
	c.Retention = cmp.Or(c.Retention, defaultMemoryTime)
	return c
}

// Validate checks the filled-in config.
//
// Errors: NotValid with the field.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: empty Self")
	case c.SuspectAfter < 1 || c.SuspectAfter >= maxCrashes:
		return errors.NotValidf("Config.Validate: SuspectAfter %d, allowed 1 to %d", c.SuspectAfter, maxCrashes-1)
	case c.MaxFingerprints < 1:
		return errors.NotValidf("Config.Validate: MaxFingerprints %d, at least 1", c.MaxFingerprints)
	case c.CrashWindow < 0 || c.SpreadTime < 0 || c.Retention < 0:
		return errors.NotValidf("Config.Validate: negative duration")
	}
	return nil
}

// Cap returns how many backend servers a request that crashes each of them can
// take down in all when at most copies of it are in the system at the same time,
// from arrival until the Retry-After of the failed answer.
func (c Config) Cap(copies int) int { return (c.SuspectAfter + 1) * copies }
