package prober

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Config configures a Schedule. All fields are required.
type Config struct {
	Self call.VMID
	// Interval is the time between two reads of the first VM in the order.
	Interval time.Duration
	// Step is how much longer each VM in the order waits than the one before it. It has to cover the time
	// that a read and a message take.
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

// MaxAge returns the age of the last read from which a VM reads whether it is in the order or not: after
// all VMs in the order had their turn. The VMs differ by up to one step, so that the read of one keeps
// the others from reading.
func (c *Config) MaxAge() time.Duration {
	part := float64(xxhash.Sum64String(string(c.Self))>>11) / (1 << 53)
	return c.Interval + MaxProbers*c.Step + time.Duration(part*float64(c.Step))
}

// Reason says why a VM probes.
type Reason string

// The reasons.
const (
	// ReasonFirst: it is the first VM in the order.
	ReasonFirst Reason = "first"
	// ReasonTakeover: the VMs before it have told of no read in time.
	ReasonTakeover Reason = "takeover"
	// ReasonLate: it has heard of no read for Config.MaxAge, or none that confirms its copy.
	ReasonLate Reason = "late"
	// ReasonIsolated: no other VM has answered it for some time.
	ReasonIsolated Reason = "isolated"
)

// maxLateDoublings limits how often the wait between two late reads is doubled while they fail.
const maxLateDoublings = 3

// State is what a VM knows when it decides whether to read.
type State struct {
	// Isolated is true if no other VM has answered for some time.
	Isolated bool
	// Age is how old the last read is that confirms this VM's copy, zero if that does not matter now.
	Age time.Duration
}

// Schedule decides when a VM probes. It is not safe for concurrent use.
type Schedule struct {
	config Config
	// order holds the VMs that probe first; rank is the place of this one, or -1.
	order []call.VMID
	rank  int
	// last is when this VM last began a read or heard of one, own when it last began one.
	last, own time.Time
	// failed is how many late reads in a row have failed.
	failed int
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

// InOrder reports whether this VM is among those that probe first.
func (s *Schedule) InOrder() bool { return s.rank >= 0 }

// First returns the VM that probes while all is well, empty if there is none.
func (s *Schedule) First() call.VMID {
	if len(s.order) == 0 {
		return ""
	}
	return s.order[0]
}

// Others returns the other VMs that probe first.
func (s *Schedule) Others() []call.VMID {
	return slices.DeleteFunc(slices.Clone(s.order), func(id call.VMID) bool { return id == s.config.Self })
}

// Heard records that another VM has told of a read that it began at a time. The store has answered it.
func (s *Schedule) Heard(at time.Time) {
	if at.After(s.last) {
		s.last, s.failed = at, 0
	}
}

// HeardAt returns when the last read began that this VM made or heard of, the zero time before the first.
func (s *Schedule) HeardAt() time.Time { return s.last }

// Answered records whether a read of this VM was answered.
func (s *Schedule) Answered(ok bool) {
	if ok {
		s.failed = 0
	} else {
		s.failed = min(s.failed+1, maxLateDoublings)
	}
}

// Due reports whether this VM has to read the store's revision now, and why. If so, the read counts
// as begun. The first call counts as a read: a VM that has just started reads everything, and may not
// have heard of others yet.
func (s *Schedule) Due(now time.Time, state State) (Reason, bool) {
	if s.last.IsZero() {
		s.last = now
	}
	if s.own.IsZero() {
		s.own = now
	}
	late := s.config.MaxAge() << s.failed
	reason, wait := ReasonFirst, s.config.Interval
	switch {
	case state.Isolated:
		reason = ReasonIsolated
	case s.rank < 0:
		reason, wait = ReasonLate, late
	case s.rank > 0:
		reason = ReasonTakeover
		wait += time.Duration(s.rank) * s.config.Step
	}
	if now.Sub(s.last).Abs() < wait {
		if state.Age < late || now.Sub(s.own).Abs() < late {
			return "", false
		}
		reason = ReasonLate
	}
	s.last, s.own = now, now
	return reason, true
}
