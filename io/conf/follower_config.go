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

// The defaults of a follower.
const (
	defaultPollInterval  = 4 * time.Second
	defaultStartWait     = 2 * time.Second
	defaultRestoreJitter = 3 * time.Second
	defaultRewatchPause  = 500 * time.Millisecond
	defaultReadTimeout   = 2 * time.Second
	// hintCapacity bounds the peers' hints that wait for a fetch.
	hintCapacity = 16
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Self is this VM.
	Self  call.VMID
	Store *Store
	Timer *timer.Service
	Rand  *rand.Rand
	Log   logrus.FieldLogger
	// Fetch asks another entry VM for its document, in JSON, if its version is
	// above have; empty if not.
	Fetch func(ctx context.Context, vm call.VMID, have int64) ([]byte, error)
	// Apply is called with each snapshot that comes into force, one at a time.
	Apply func(*tree.Snapshot)
	// PollInterval is the time between reads of the platform's head.
	PollInterval time.Duration
	// StartWait is how long a fresh VM waits for newer settings of its peers
	// before it puts the platform's into force.
	StartWait time.Duration
	// RestoreJitter bounds the random time after which a platform found older
	// is restored.
	RestoreJitter time.Duration
	// RewatchPause is the pause before a failed watch is begun again.
	RewatchPause time.Duration
	// ReadTimeout bounds each read of the platform and each fetch from a peer.
	// It doubles with each read that fails, up to the store's CallTimeout, so
	// that a platform that is merely slow is waited for.
	ReadTimeout time.Duration
}

// Defaults fills in the fields left zero.
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
	if c.RewatchPause == 0 {
		c.RewatchPause = defaultRewatchPause
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
}

// Validate checks that the needed fields are there.
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
