package route

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/hint"
	"gentianwell/core/quota"
)

// Defaults of Config.
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
	// Self is the VM that routes. The subset of replicas that it uses depends on it.
	Self call.VMID
	// Zone is the VM's availability zone.
	Zone call.Zone
	// Rand draws the candidates. Nothing but the Router may use it.
	Rand *rand.Rand
	// Hints records which replicas probably have which prefixes cached. If it is
	// nil, New creates a table of default size.
	Hints *hint.Table
	// Limits knows the limits that replicas name for all VMs together, and this VM's part of
	// them. If it is nil, no replica names one.
	Limits *quota.Limits
	// Choices is the number of random candidates that are compared in the VM's own
	// zone, and in the other zones together.
	Choices int
	// Slots is the number of slots of a replica that does not state how many
	// requests it runs concurrently.
	Slots int
	// SubsetMin is the minimum number of replicas of a model that the VM uses.
	SubsetMin int
	// SubsetCover is the average number of VMs that have a given replica in their
	// subsets when the fleet is large.
	SubsetCover int
	// ReportMaxAge is the age from which a load report is ignored. The weight of a
	// report decreases linearly until then.
	ReportMaxAge time.Duration
	// SlowStart is the time over which a new replica's share rises to its full share.
	SlowStart time.Duration
	// ZonePenalty is the load per slot that is added to the score of a replica in
	// another zone. Penalty, if set, replaces it by a value for each pair of zones.
	ZonePenalty float64
	Penalty     func(from, to call.Zone) float64
	// AffinityWeight is the load per slot that is subtracted from the score of a
	// replica that has the whole prompt cached.
	AffinityWeight float64
	// AffinityBound is the load per slot up to which a replica's cached prefix
	// counts, as a multiple of the average; one call above that is allowed.
	AffinityBound float64
	// HomeTokens is the minimum length of a shared prompt prefix, in tokens, for
	// which all VMs send the calls that share it to the same replica, its home. If
	// the home's load per slot exceeds HomeFloor and is more than HomeBound above that
	// of the prefix's second home, the call goes to the second home.
	HomeTokens int
	HomeBound  float64
	HomeFloor  float64
	// InitialLongShare is the share of a model's replicas that is reserved for calls
	// with long shared prefixes until the VM has seen enough calls to divide the
	// replicas by the work of each class. If it is zero, there are no lanes until then.
	InitialLongShare float64
	// FailuresToEject is the number of consecutive failures that eject a replica,
	// UnreachableToEject the number of consecutive failures to connect.
	FailuresToEject    int
	UnreachableToEject int
	// UnreachableTime is the duration of the first ejection of an unreachable
	// replica; EjectTime if it is zero.
	UnreachableTime time.Duration
	// A replica is ejected as slow when its average time to the first token is more
	// than SlowFactor times the model's median and at least SlowFloor, after
	// SlowSamples answers. SlowSamples consecutive successes also reset the
	// doubling of EjectTime.
	SlowFactor  float64
	SlowFloor   time.Duration
	SlowSamples int
	// EjectTime is the duration of the first ejection. It doubles with each further
	// ejection, up to EjectTimeMax.
	EjectTime    time.Duration
	EjectTimeMax time.Duration
	// EjectedShareMax is the maximum share of a model's replicas that may be ejected
	// at the same time, at least 0 and below 1.
	EjectedShareMax float64
	// IgnoreSpeeds turns the choice by expected times off: calls are routed by load alone, also
	// where replicas report work figures.
	IgnoreSpeeds bool
	// MeasuredSpeeds turns it on also where no replica reports work figures, once measured speeds
	// differ clearly.
	MeasuredSpeeds bool
	// AloneWait is how long a replica is kept free for a call that must run alone.
	AloneWait time.Duration
}

// Defaults returns the config with defaults for the unset fields.
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

// Validate checks a config whose defaults are filled in.
//
// Errors: NotValid, which names the field.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: Self is empty, a VM id is required")
	case c.Rand == nil:
		return errors.NotValidf("Config.Validate: Rand is nil, a source is required")
	case c.Choices < 1:
		return errors.NotValidf("Config.Validate: Choices is %d, must be at least 1", c.Choices)
	case c.Slots < 1:
		return errors.NotValidf("Config.Validate: Slots is %d, must be at least 1", c.Slots)
	case c.SubsetMin < 1 || c.SubsetCover < 1:
		return errors.NotValidf("Config.Validate: SubsetMin is %d, SubsetCover is %d, both must be at least 1", c.SubsetMin, c.SubsetCover)
	case c.ReportMaxAge < 0 || c.SlowStart < 0 || c.EjectTime < 0 || c.AloneWait < 0:
		return errors.NotValidf("Config.Validate: ReportMaxAge is %s, SlowStart is %s, EjectTime is %s, AloneWait is %s, none may be negative",
			c.ReportMaxAge, c.SlowStart, c.EjectTime, c.AloneWait)
	case c.EjectTimeMax < c.EjectTime:
		return errors.NotValidf("Config.Validate: EjectTimeMax is %s, must be at least EjectTime, which is %s", c.EjectTimeMax, c.EjectTime)
	case c.EjectedShareMax < 0 || c.EjectedShareMax >= 1:
		return errors.NotValidf("Config.Validate: EjectedShareMax is %g, must be at least 0 and below 1", c.EjectedShareMax)
	case c.InitialLongShare < 0 || c.InitialLongShare >= 1:
		return errors.NotValidf("Config.Validate: InitialLongShare is %g, must be at least 0 and below 1", c.InitialLongShare)
	case c.SlowFactor <= 1:
		return errors.NotValidf("Config.Validate: SlowFactor is %g, must be above 1", c.SlowFactor)
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
