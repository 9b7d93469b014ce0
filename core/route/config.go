package route

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/hint"
)

// The defaults of Config.
const (
	defaultChoices         = 2
	defaultSlots           = 16
	defaultSubsetMin       = 6
	defaultSubsetCover     = 20
	defaultReportMaxAge    = 10 * time.Second
	defaultSlowStart       = 20 * time.Second
	defaultZonePenalty     = 0.1
	defaultAffinityWeight  = 0.5
	defaultAffinityBound   = 1.25
	defaultHomeTokens      = 256
	defaultHomeBound       = 0.3
	defaultHomeFloor       = 0.6
	defaultFailuresToEject = 3
	defaultSlowFactor      = 3
	defaultSlowFloor       = 200 * time.Millisecond
	defaultSlowSamples     = 8
	defaultEjectTime       = 5 * time.Second
	defaultEjectTimeMax    = time.Minute
	defaultAloneWait       = 30 * time.Second
	defaultEjectedShareMax = 0.34
)

// Config configures a Router. Self, Zone and Rand are required.
type Config struct {
	// Self is the VM that routes; it decides which subset it uses.
	Self call.VMID
	// Zone is the VM's availability zone.
	Zone call.Zone
	// Rand draws the candidates; the Router alone uses it.
	Rand *rand.Rand
	// Hints holds which replica is believed to have which prefix. New makes one
	// of default size where it is nil.
	Hints *hint.Table
	// Choices is how many random candidates are compared in a zone.
	Choices int
	// Slots is taken for a replica that does not state how many requests it
	// runs at the same time.
	Slots int
	// SubsetMin is the least number of replicas of a model that the VM talks to.
	SubsetMin int
	// SubsetCover is how many VMs are to have a replica in their subsets, on
	// average, where the fleet is large.
	SubsetCover int
	// ReportMaxAge is the age at which a load report counts for nothing.
	ReportMaxAge time.Duration
	// SlowStart is how long a fresh replica takes to get its full share.
	SlowStart time.Duration
	// ZonePenalty is the load per slot by which a replica of another zone has
	// to be better. Penalty, where set, gives it for each pair of zones.
	ZonePenalty float64
	Penalty     func(from, to call.Zone) float64
	// AffinityWeight is the load per slot that a wholly cached prompt is worth.
	AffinityWeight float64
	// AffinityBound is how far, as a factor, a replica's load per slot may be
	// above the average for its cached prefix to count.
	AffinityBound float64
	// HomeTokens is the length of a shared prompt prefix, in tokens, from which on
	// all VMs send the calls that share it to the same replica, its home. A home
	// with a load per slot above HomeFloor that is HomeBound above that of the
	// prefix's second home leaves the call to that.
	HomeTokens int
	HomeBound  float64
	HomeFloor  float64
	// InitialLongShare is the part of a model's replicas that is kept for calls with
	// long shared prefixes before the VM has seen enough calls to divide them by
	// the work of each class. Zero makes no lanes until then.
	InitialLongShare float64
	// FailuresToEject is how many failures in a row eject a replica,
	// UnreachableToEject how many connections that could not be made.
	FailuresToEject    int
	UnreachableToEject int
	// UnreachableTime is how long an unreachable replica is ejected for the first
	// time; EjectTime where it is zero.
	UnreachableTime time.Duration
	// SlowFactor ejects a replica whose usual time to the first token is so many
	// times the model's median, and above SlowFloor, after SlowSamples answers.
	// So many good answers in a row also end the doubling of EjectTime.
	SlowFactor  float64
	SlowFloor   time.Duration
	SlowSamples int
	// EjectTime is how long the first ejection lasts; it doubles with each
	// further one up to EjectTimeMax.
	EjectTime    time.Duration
	EjectTimeMax time.Duration
	// EjectedShareMax is the greatest share of a model's replicas that is
	// ejected at the same time, 0 to below 1.
	EjectedShareMax float64
	// AloneWait is how long a replica is kept free for a call that has to be alone.
	AloneWait time.Duration
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.Choices = cmp.Or(c.Choices, defaultChoices)
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.SubsetMin = cmp.Or(c.SubsetMin, defaultSubsetMin)
	c.SubsetCover = cmp.Or(c.SubsetCover, defaultSubsetCover)
	c.FailuresToEject = cmp.Or(c.FailuresToEject, defaultFailuresToEject)
	c.UnreachableToEject = cmp.Or(c.UnreachableToEject, c.FailuresToEject)
	c.UnreachableTime = cmp.Or(c.UnreachableTime, c.EjectTime, defaultEjectTime)
	c.SlowSamples = cmp.Or(c.SlowSamples, defaultSlowSamples)
	c.ReportMaxAge = cmp.Or(c.ReportMaxAge, defaultReportMaxAge)
	c.SlowStart = cmp.Or(c.SlowStart, defaultSlowStart)
	c.SlowFloor = cmp.Or(c.SlowFloor, defaultSlowFloor)
	c.EjectTime = cmp.Or(c.EjectTime, defaultEjectTime)
	c.EjectTimeMax = cmp.Or(c.EjectTimeMax, defaultEjectTimeMax)
	c.AloneWait = cmp.Or(c.AloneWait, defaultAloneWait)
	c.ZonePenalty = cmp.Or(c.ZonePenalty, defaultZonePenalty)
	c.AffinityWeight = cmp.Or(c.AffinityWeight, defaultAffinityWeight)
	c.AffinityBound = cmp.Or(c.AffinityBound, defaultAffinityBound)
	c.HomeTokens = cmp.Or(c.HomeTokens, defaultHomeTokens)
	c.HomeBound = cmp.Or(c.HomeBound, defaultHomeBound)
	c.HomeFloor = cmp.Or(c.HomeFloor, defaultHomeFloor)
	c.SlowFactor = cmp.Or(c.SlowFactor, defaultSlowFactor)
	c.EjectedShareMax = cmp.Or(c.EjectedShareMax, defaultEjectedShareMax)
	if c.Penalty == nil {
		c.Penalty = zonePenalty(c.ZonePenalty)
	}
	return c
}

// Validate checks the filled-in config.
//
// Errors: NotValid with the field.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: empty Self")
	case c.Rand == nil:
		return errors.NotValidf("Config.Validate: nil Rand")
	case c.Choices < 1:
		return errors.NotValidf("Config.Validate: Choices %d, at least 1", c.Choices)
	case c.Slots < 1:
		return errors.NotValidf("Config.Validate: Slots %d, at least 1", c.Slots)
	case c.SubsetMin < 1 || c.SubsetCover < 1:
		return errors.NotValidf("Config.Validate: SubsetMin %d, SubsetCover %d, at least 1", c.SubsetMin, c.SubsetCover)
	case c.ReportMaxAge < 0 || c.SlowStart < 0 || c.EjectTime < 0 || c.AloneWait < 0:
		return errors.NotValidf("Config.Validate: negative duration")
	case c.EjectTimeMax < c.EjectTime:
		return errors.NotValidf("Config.Validate: EjectTimeMax %s below EjectTime %s", c.EjectTimeMax, c.EjectTime)
	case c.EjectedShareMax < 0 || c.EjectedShareMax >= 1:
		return errors.NotValidf("Config.Validate: EjectedShareMax %g, allowed 0 to below 1", c.EjectedShareMax)
	case c.InitialLongShare < 0 || c.InitialLongShare >= 1:
		return errors.NotValidf("Config.Validate: FirstLongShare %g, allowed 0 to below 1", c.InitialLongShare)
	case c.SlowFactor <= 1:
		return errors.NotValidf("Config.Validate: SlowFactor %g, above 1", c.SlowFactor)
	}
	return nil
}

func zonePenalty(penalty float64) func(from, to call.Zone) float64 {
	return func(from, to call.Zone) float64 {
		if from == to {
			return 0
		}
		return penalty
	}
}
