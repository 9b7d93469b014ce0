package entry

import (
	"time"

	"gentianwell/core/fleet"
	"gentianwell/io/kvs"
)

const (
	// maxProbeInterval is how often the store's revision is read if the bounds leave time.
	maxProbeInterval = 700 * time.Millisecond
	// minProbeInterval limits the calls to the store, which are billed.
	minProbeInterval = 100 * time.Millisecond
	// maxProbeGrace is how long the watches then have to deliver a change themselves.
	maxProbeGrace = 250 * time.Millisecond
	// probeIntervalFraction and probeGraceFraction are the fractions of the bound for a
	// change that these take at most. The rest is for calls to the store and other VMs.
	probeIntervalFraction = 0.35
	probeGraceFraction    = 0.125
	// probeTick is how often a VM checks whether it has to read the store's revision.
	probeTick = 50 * time.Millisecond
	// listAgeFraction is the fraction of the bound for a change by which a list that other VMs
	// watch may be old. Reading it then takes another fraction at most.
	listAgeFraction = 1.0 / 3
	// maxMassRemovalGracePeriod is how long replicas stay in use if at least half of a
	// service is removed at once, massRemovalFraction the fraction of the time that a
	// removed replica goes on serving which that may take.
	maxMassRemovalGracePeriod = 1500 * time.Millisecond
	massRemovalFraction       = 0.75
	// maxOutageGracePeriod covers the two seconds in which replicas write again what
	// expired during an outage of the store.
	maxOutageGracePeriod = 2300 * time.Millisecond
)

// changeBound returns how soon any change in the store has to be in force.
func (c *Config) changeBound() time.Duration { return min(c.ApplyTime, c.DrainTime) }

// listAge returns the age at which a list of replicas that other VMs watch is too old.
func (c *Config) listAge() time.Duration {
	return time.Duration(listAgeFraction * float64(c.changeBound()))
}

// probeInterval returns how often the store's revision is read.
func (c *Config) probeInterval() time.Duration {
	return max(minProbeInterval, min(maxProbeInterval, time.Duration(probeIntervalFraction*float64(c.changeBound()))))
}

// probeGrace returns how long the watches have to deliver a change that the probe has
// seen.
func (c *Config) probeGrace() time.Duration {
	return min(maxProbeGrace, time.Duration(probeGraceFraction*float64(c.changeBound())))
}

// probeStep returns how much longer each VM that may probe waits for a read than the one before it.
func (c *Config) probeStep() time.Duration { return c.probeGrace() }

// watchLimit returns how long a watch has to deliver a change that another VM has told of. While the
// store is deaf to all watches for a short time, a shorter one would restart them in vain.
func (c *Config) watchLimit() time.Duration { return c.changeBound() }

// fleetConfig returns the configuration of the list of replicas. A removal that follows an
// outage counts from StableTime after the end of the outage on, whenever the VM notices that.
func (c *Config) fleetConfig() fleet.Config {
	massRemoval := min(maxMassRemovalGracePeriod, time.Duration(massRemovalFraction*float64(c.DrainTime)))
	return fleet.Config{
		MassRemovalGracePeriod: massRemoval, OutageGracePeriod: min(maxOutageGracePeriod, c.StableTime+massRemoval), OutageLimit: c.StableTime,
		Era: func(revision int64) int64 { return kvs.Revision(revision).Era() },
	}
}
