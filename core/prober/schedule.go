package prober

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Config configures a Schedule. All fields are required.
type Config struct {
	Self call.VMID
	// Interval is the time between two reads of the first VM in the order.
	Interval time.Duration
	// Step is how much longer each VM waits than the one before it. It has to cover the time that a
	// read and a message take.
	Step time.Duration
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c *Config) Validate() error {
	if c.Self == "" || c.Interval <= 0 || c.Step <= 0 {
		return errors.NotValidf("Config.Validate: Self %q, Interval %s, Step %s (Self must be set, the others above 0)", c.Self, c.Interval, c.Step)
	}
	return nil
}

// Reason says why a VM probes.
type Reason string

// The reasons.
const (
	// ReasonFirst: it is the first VM in the order.
	ReasonFirst Reason = "first"
	// ReasonTakeover: the VMs before it have told of no read in time.
	ReasonTakeover Reason = "takeover"
	// ReasonIsolated: no other VM has answered it for some time.
	ReasonIsolated Reason = "isolated"
)

// Schedule decides when a VM probes. It is not safe for concurrent use.
type Schedule struct {
	config Config
	// order holds the VMs that may probe; rank is the place of this one, or -1.
	order []call.VMID
	rank  int
	// last is when this VM last began a read or heard of one.
	last time.Time
}

// New returns the schedule of a VM that knows no others.
//
// Errors: NotValid if the configuration is not valid.
func New(c Config) (*Schedule, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	s := &Schedule{config: c}
	s.SetVMs(nil)
	return s, nil
}

// SetVMs sets the known VMs, this one included.
func (s *Schedule) SetVMs(vms []VM) {
	s.order = Select(vms)
	s.rank = slices.Index(s.order, s.config.Self)
}

// MayProbe reports whether this VM is among those that may probe.
func (s *Schedule) MayProbe() bool { return s.rank >= 0 }

// First returns the VM that probes while all is well, empty if there is none.
func (s *Schedule) First() call.VMID {
	if len(s.order) == 0 {
		return ""
	}
	return s.order[0]
}

// Others returns the other VMs that may probe.
func (s *Schedule) Others() []call.VMID {
	return slices.DeleteFunc(slices.Clone(s.order), func(id call.VMID) bool { return id == s.config.Self })
}

// Heard records that another VM has told of a read that it began at a time.
func (s *Schedule) Heard(at time.Time) {
	if at.After(s.last) {
		s.last = at
	}
}

// Due reports whether this VM has to read the store's revision now, and why. If so, the read counts
// as begun. An isolated VM reads whether it is among those that may probe or not. The first call
// counts as a read: a VM that has just started reads everything, and may not have heard of others yet.
func (s *Schedule) Due(now time.Time, isolated bool) (Reason, bool) {
	reason, wait := ReasonFirst, s.config.Interval
	switch {
	case isolated:
		reason = ReasonIsolated
	case s.rank < 0:
		return "", false
	case s.rank > 0:
		reason = ReasonTakeover
		wait += time.Duration(s.rank) * s.config.Step
	}
	if s.last.IsZero() {
		s.last = now
	}
	if now.Sub(s.last).Abs() < wait {
		return "", false
	}
	s.last = now
	return reason, true
}
