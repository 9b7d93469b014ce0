package poison

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// The defaults of Config.
const (
	defaultSuspectAfter    = 2
	defaultFinishWait      = time.Second
	defaultCrashWindow     = 10 * time.Second
	defaultSpreadTime      = 4 * time.Second
	defaultRetention       = 24 * time.Hour
	defaultMaxFingerprints = 16384
)

// Config configures a Registry. Self is required.
type Config struct {
	// Self is the VM that the registry runs on, which writes its own records.
	Self call.VMID
	// SuspectAfter is the number of crashes after which a request is suspect.
	SuspectAfter int
	// RefuseAfter is the number of crashes after which a request is refused although it
	// has not run alone; it is never told to run alone then. It is for deployments whose
	// backend servers are never idle. Zero means that only a crash of a request that runs
	// alone convicts it.
	RefuseAfter int
	// RecentFinishes is the number of fingerprints whose latest finished run is remembered,
	// with Successive: it counts against crashes that this VM hears of later. Zero means that
	// only runs that finish after the first known crash count.
	RecentFinishes int
	// Successive is for fingerprints that may be in flight on many replicas at the same time:
	// popular requests, or what many requests share, such as a part of their prompts. Only
	// crashes after the latest finished run count, and of them only those that followed each
	// other: the run of each began after the crash before it. RefuseAfter is required then.
	Successive bool
	// AllUntilFinished makes all crashes of different replicas count with Successive, also
	// those of runs at the same time, until a run is known to have finished.
	AllUntilFinished bool
	// Ahead returns how far a VM's clock is ahead of this VM's, as far as known: the times in
	// its records are by its clock. If it is nil, all clocks are taken to agree.
	Ahead func(call.VMID) time.Duration
	// Requests returns the refused requests that were in flight at one of some crashes, if the
	// fingerprints are those of parts of requests; see Registry.Suspects. If it is nil, there
	// are none.
	Requests func(now time.Time, crashes Crashes) []Suspect
	// FinishWait is how long the record of a crash is kept back with Successive if a run is
	// known to have finished: mostly another one finishes meanwhile, and the crash does
	// not count any more.
	FinishWait time.Duration
	// TrialAfter is how long after its latest crash a refused fingerprint may be tried once,
	// see Registry.TrialDue: the backend servers may have been repaired, or have crashed for
	// another reason. Zero means never.
	TrialAfter time.Duration
	// CrashWindow is the time within which crashes recorded for one replica count as
	// one crash, observed by several calls or VMs.
	CrashWindow time.Duration
	// SpreadTime is how long gossip takes to reach all VMs. It is the Retry-After of
	// a failed call that observed a crash.
	SpreadTime time.Duration
	// Retention is how long a crash is kept and counted.
	Retention time.Duration
	// MaxFingerprints bounds memory. At the bound, records of requests that are neither
	// suspect nor restricted are deleted first, then those of suspects; of them those that only
	// this VM has, the oldest first.
	MaxFingerprints int
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = defaultSuspectAfter
	}
	if c.MaxFingerprints == 0 {
		c.MaxFingerprints = defaultMaxFingerprints
	}
	c.FinishWait = cmp.Or(c.FinishWait, defaultFinishWait)
	c.CrashWindow = cmp.Or(c.CrashWindow, defaultCrashWindow)
	c.SpreadTime = cmp.Or(c.SpreadTime, defaultSpreadTime)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	return c
}

// Validate checks the config after Defaults.
//
// Errors: NotValid with the field.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: empty Self")
	case c.SuspectAfter < 1 || c.SuspectAfter >= maxCrashes:
		return errors.NotValidf("Config.Validate: SuspectAfter %d (must be from 1 to %d)", c.SuspectAfter, maxCrashes-1)
	case c.RefuseAfter < 0 || c.RefuseAfter >= maxCrashes || c.RecentFinishes < 0:
		return errors.NotValidf("Config.Validate: RefuseAfter %d, RecentFinishes %d (RefuseAfter must be from 0 to %d, RecentFinishes not negative)",
			c.RefuseAfter, c.RecentFinishes, maxCrashes-1)
	case c.Successive && c.RefuseAfter == 0:
		return errors.NotValidf("Config.Validate: Successive with RefuseAfter 0 (must be from 1 to %d)", maxCrashes-1)
	case !c.Successive && (c.RecentFinishes > 0 || c.AllUntilFinished):
		return errors.NotValidf("Config.Validate: RecentFinishes %d, AllUntilFinished %t (must be 0 and false without Successive)",
			c.RecentFinishes, c.AllUntilFinished)
	case c.TrialAfter < 0:
		return errors.NotValidf("Config.Validate: TrialAfter %s (must not be negative)", c.TrialAfter)
	case c.MaxFingerprints < 1:
		return errors.NotValidf("Config.Validate: MaxFingerprints %d (must be at least 1)", c.MaxFingerprints)
	case c.FinishWait < 0 || c.CrashWindow < 0 || c.SpreadTime < 0 || c.Retention < 0:
		return errors.NotValidf("Config.Validate: FinishWait %s, CrashWindow %s, SpreadTime %s, Retention %s (must not be negative)",
			c.FinishWait, c.CrashWindow, c.SpreadTime, c.Retention)
	}
	return nil
}

// count returns how many of the crashes after a finished run count, with Successive; the time
// is zero if no run is known to have finished.
func (c Config) count(crashes Crashes, finishedAt time.Time) int {
	if c.AllUntilFinished && finishedAt.IsZero() {
		return crashes.distinct(c.CrashWindow)
	}
	return crashes.successive(finishedAt, c.CrashWindow)
}

// Cap returns how many backend servers a request that crashes each of them can
// crash in total. copies is the maximum number of copies of it in the system at the
// same time, each from its arrival until the Retry-After of its failed response.
func (c Config) Cap(copies int) int {
	if c.RefuseAfter > 0 {
		return c.RefuseAfter * copies
	}
	return (c.SuspectAfter + 1) * copies
}
