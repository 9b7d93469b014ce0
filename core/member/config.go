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
	// Zone is the availability zone of the VM whose view it is.
	Zone call.Zone
	// MissesToSilence is how many heartbeats in a row have to be missed for a VM
	// to count as silent, SilentAfter how long ago the first of them may be for
	// it to be silent with fewer.
	MissesToSilence int
	SilentAfter     time.Duration
	// OpinionsToSuspect is how many VMs have to miss a VM for it to be suspected
	// by one that has no answer of its own. At least 2.
	OpinionsToSuspect int
	// OpinionMaxAge is how long an opinion counts.
	OpinionMaxAge time.Duration
	// ListLag is how long the platform's list may state what was true before a
	// VM's restart.
	ListLag time.Duration
	// StatementMaxAge is how long a VM that is not on the list counts after its
	// last statement.
	StatementMaxAge time.Duration
	// AnswerMaxAge is how long a VM's own answer outweighs others' opinions.
	AnswerMaxAge time.Duration
}

// Defaults returns the config with its unset fields filled in.
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

// Validate checks the filled-in config.
//
// Errors: NotValid with the field.
func (c Config) Validate() error {
	switch {
	case c.MissesToSilence < 1:
		return errors.NotValidf("Config.Validate: MissesToSilence %d, at least 1", c.MissesToSilence)
	case c.OpinionsToSuspect < 2:
		return errors.NotValidf("Config.Validate: OpinionsToSuspect %d, at least 2", c.OpinionsToSuspect)
	case c.SilentAfter < 0 || c.OpinionMaxAge < 0 || c.ListLag < 0 || c.StatementMaxAge < 0 || c.AnswerMaxAge < 0:
		return errors.NotValidf("Config.Validate: negative duration")
	}
	return nil
}

// maxOpinions is how many opinions about a VM are kept and worth spreading.
func (c Config) maxOpinions() int { return 2 * c.OpinionsToSuspect }
