package conf

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/timer"
	"gentianwell/core/tree"
)

// The defaults and limits of a Follower.
const (
	defaultPollInterval    = 4 * time.Second
	defaultStartWait       = 2 * time.Second
	defaultRestoreJitter   = 3 * time.Second
	defaultWatchRetryDelay = 500 * time.Millisecond
	defaultReadTimeout     = 2 * time.Second
	// newerPeersCapacity is the maximum number of peers that wait for a fetch.
	newerPeersCapacity = 16
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Self is the ID of this VM.
	Self  call.VMID
	Store *Store
	Timer *timer.Service
	Rand  *rand.Rand
	Log   logrus.FieldLogger
	// Fetch asks another entry VM for its document, in JSON. The result is empty
	// if the version of that document is not above have.
	Fetch func(ctx context.Context, vm call.VMID, have int64) ([]byte, error)
	// Apply is called with each snapshot that is put into force, one at a time.
	Apply func(*tree.Snapshot)
	// PollInterval is the time between reads of the platform's head.
	PollInterval time.Duration
	// StartWait is how long a newly started VM waits for newer settings from its
	// peers before it puts any into force.
	StartWait time.Duration
	// RestoreJitter is the maximum random delay before a platform with older data
	// is restored.
	RestoreJitter time.Duration
	// WatchRetryDelay is the initial delay before a failed watch is started again.
	// The delay is partly random and doubles with each failure, up to PollInterval;
	// a watch that lasted longer than PollInterval resets it.
	WatchRetryDelay time.Duration
	// ReadTimeout is the timeout of each read of the platform and each fetch from
	// a peer. For reads of the platform it doubles with each failure, up to the
	// store's CallTimeout, so that a slow platform can still be read.
	ReadTimeout time.Duration
}

// Defaults sets the optional fields that are zero to their defaults.
func (c *FollowerConfig) Defaults() {
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.StartWait == 0 {
		c.StartWait = defaultStartWait
	}
	if c.RestoreJitter == 0 {
		c.RestoreJitter = defaultRestoreJitter
	}
	if c.WatchRetryDelay == 0 {
		c.WatchRetryDelay = defaultWatchRetryDelay
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
}

// Validate checks that the required fields are set.
//
// Errors: NotValid with the field's name.
func (c *FollowerConfig) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("FollowerConfig.Validate: empty Self")
	case c.Store == nil, c.Timer == nil, c.Rand == nil, c.Log == nil, c.Fetch == nil, c.Apply == nil:
		return errors.NotValidf("FollowerConfig.Validate: nil Store, Timer, Rand, Log, Fetch or Apply")
	}
	return nil
}
