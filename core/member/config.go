package member

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// The defaults of Config.
const (
	defaultMissesToSilence   = 3
	defaultSilentAfter       = 5 * time.Second
	defaultOpinionsToSuspect = 3
	defaultOpinionMaxAge     = 30 * time.Second
	defaultListLag           = 30 * time.Second
	defaultStatementMaxAge   = 5 * time.Minute
	defaultAnswerMaxAge      = 10 * time.Second
)

// Config configures a View.
type Config struct {
	// Zone is the availability zone of the local VM.
	Zone call.Zone
	// MissesToSilence is how many consecutive heartbeats a VM has to miss to
	// count as silent. With fewer misses it is silent once the first of them is
	// SilentAfter ago.
	MissesToSilence int
	SilentAfter     time.Duration
	// OpinionsToSuspect is how many VMs, which may include the local one, must
	// report that a VM does not answer for it to be suspected. It is not while its
	// last answer to the local VM is younger than AnswerMaxAge. At least 2.
	OpinionsToSuspect int
	// OpinionMaxAge is the age at which an opinion no longer counts.
	OpinionMaxAge time.Duration
	// ListLag is how long after a VM's restart the platform's list may still show
	// its state from before.
	ListLag time.Duration
	// StatementMaxAge is how long after its last statement a VM that is not on
	// the list is still considered.
	StatementMaxAge time.Duration
	// AnswerMaxAge is how long a VM's answer to the local VM outweighs the
	// opinions of other VMs.
	AnswerMaxAge time.Duration
}

// Defaults returns the config with unset fields set to their defaults.
func (c Config) Defaults() Config {
	if c.MissesToSilence == 0 {
		c.MissesToSilence = defaultMissesToSilence
	}
	if c.OpinionsToSuspect == 0 {
		c.OpinionsToSuspect = defaultOpinionsToSuspect
	}
	c.SilentAfter = cmp.Or(c.SilentAfter, defaultSilentAfter)
	c.OpinionMaxAge = cmp.Or(c.OpinionMaxAge, defaultOpinionMaxAge)
	c.ListLag = cmp.Or(c.ListLag, defaultListLag)
	c.StatementMaxAge = cmp.Or(c.StatementMaxAge, defaultStatementMaxAge)
	c.AnswerMaxAge = cmp.Or(c.AnswerMaxAge, defaultAnswerMaxAge)
	return c
}

// Validate checks the config, after Defaults was applied.
//
// Errors: NotValid, with the name of the field.
func (c Config) Validate() error {
	switch {
	case c.MissesToSilence < 1:
		return errors.NotValidf("Config.Validate: MissesToSilence %d, at least 1", c.MissesToSilence)
	case c.OpinionsToSuspect < 2:
		return errors.NotValidf("Config.Validate: OpinionsToSuspect %d, at least 2", c.OpinionsToSuspect)
	case c.SilentAfter < 0 || c.OpinionMaxAge < 0 || c.ListLag < 0 || c.StatementMaxAge < 0 || c.AnswerMaxAge < 0:
		return errors.NotValidf("Config.Validate: SilentAfter %s, OpinionMaxAge %s, ListLag %s, StatementMaxAge %s, AnswerMaxAge %s, each at least 0",
			c.SilentAfter, c.OpinionMaxAge, c.ListLag, c.StatementMaxAge, c.AnswerMaxAge)
	}
	return nil
}

// maxOpinions is how many opinions about a VM are stored. If as many are known, no
// further ones are spread.
func (c Config) maxOpinions() int { return 2 * c.OpinionsToSuspect }
