package fair

import (
	"time"

	"github.com/juju/errors"
)

// Config configures a Fair. Zero fields get their defaults.
type Config struct {
	// TimeConstant is that of the decay of the measured work. The default of 1 s follows a team
	// whose load changes for some seconds; 61 VMs need about that time to average.
	TimeConstant time.Duration
	// ShortFor is how long a service counts as short of capacity after the router's last report.
	// The default of 1 s is longer than the pauses between the reports of one busy VM.
	ShortFor time.Duration
	// GossipMaxAge is how old the last exchange may be before a VM decides by its own
	// measurements alone. The default of 2 s is five rounds of gossip.
	GossipMaxAge time.Duration
	// Headroom is the part of the granted work that is admitted beyond it. Without it, the measured
	// capacity could only shrink. The default is 0.05.
	Headroom float64
	// OutputWeight is the work of an output token relative to a prompt token. The default of 13 is
	// the geometric mean of 17 (3.03 ms a step, 16 slots, 92.1 prompt tokens per ms) and 10 (2.6 ms,
	// 12 slots, 48.2 tokens per ms).
	OutputWeight float64
	// MinRetryAfter and MaxRetryAfter bound the time that a refused caller is told to wait. The
	// defaults are 100 ms and 3 s, about half of a usual burst.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Defaults sets unset fields to their defaults.
func (c *Config) Defaults() {
	setDefault(&c.TimeConstant, time.Second)
	setDefault(&c.ShortFor, time.Second)
	setDefault(&c.GossipMaxAge, 2*time.Second)
	setDefault(&c.Headroom, 0.05)
	setDefault(&c.OutputWeight, 13)
	setDefault(&c.MinRetryAfter, 100*time.Millisecond)
	setDefault(&c.MaxRetryAfter, 3*time.Second)
}

func setDefault[T time.Duration | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Validate checks the fields, with defaults applied.
//
// Errors: NotValid, with the fields.
func (c *Config) Validate() error {
	switch {
	case c.TimeConstant <= 0 || c.ShortFor <= 0 || c.GossipMaxAge <= 0:
		return errors.NotValidf("Config.Validate: TimeConstant %s, ShortFor %s, GossipMaxAge %s (must be positive)", c.TimeConstant, c.ShortFor, c.GossipMaxAge)
	case !(c.Headroom >= 0 && c.Headroom <= 1) || !(c.OutputWeight >= 0):
		return errors.NotValidf("Config.Validate: Headroom %g, OutputWeight %g (0 to 1, and at least 0)", c.Headroom, c.OutputWeight)
	case c.MinRetryAfter < 0 || c.MinRetryAfter > c.MaxRetryAfter:
		return errors.NotValidf("Config.Validate: MinRetryAfter %s, MaxRetryAfter %s (0 to MaxRetryAfter)", c.MinRetryAfter, c.MaxRetryAfter)
	}
	return nil
}
