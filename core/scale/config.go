package scale

import (
	"cmp"
	"time"

	"github.com/juju/errors"
)

// The defaults of Config.
const (
	// defaultWindow is longer than the longest period of a wave of demand, 17 s.
	defaultWindow = 20 * time.Second
	// defaultMeasure is the time constant with which the router counts the demand.
	defaultMeasure = 5 * time.Second
	// defaultMaxAge is the age up to which inputs count: reports are exchanged for 2 s, and the
	// list of replicas has to be known within 2 s.
	defaultMaxAge = 3 * time.Second
	// defaultLate is how long an unanswered order may still be executed.
	defaultLate = 5 * time.Second
	// defaultWarm is how long a new replica counts as one with an empty cache.
	defaultWarm = 2 * time.Second
	// defaultDownPause is the least time between orders for fewer replicas in a zone, so that the
	// effect of one shows before the next.
	defaultDownPause = 2 * time.Second
	// defaultSpotPause is how long no spot replicas are ordered in a zone that has none available
	// or has just reclaimed its own. Asking again costs one call.
	defaultSpotPause = 6 * time.Second
	// defaultSwing is the peak of a wave that has not been seen yet, above its mean. Zones swing
	// by up to 0.55, at different times.
	defaultSwing = 0.5
	// defaultMaxSwing bounds the swing that is measured: requests on replicas that are too few
	// also take longer, and must not count twice.
	defaultMaxSwing = 0.8
	// defaultSlotUse is the part of the slots that may be in use at the peak; the rest is for the
	// imbalance between replicas.
	defaultSlotUse = 0.7
	// defaultBalance is the part of the permitted use of engine time that the router achieves: it
	// chooses replicas by reports that are up to seconds old.
	defaultBalance = 0.85
	// defaultMissShare is the assumed share of requests whose shared part no replica holds.
	defaultMissShare = 0.25
	// defaultRestUse is the part of the engine time, or of the slots, that may be in use for the
	// time until replacements serve after a zone or its spot replicas were lost. Below 1 the
	// queues stay short for these few seconds.
	defaultRestUse = 0.95
	// defaultSpotShare is the share of a zone's replicas that may be spot replicas. The other zones
	// can bear the loss of all of them; the rest keeps the zone from being empty meanwhile.
	defaultSpotShare = 0.85
	// defaultReportShare is the share of the replicas with recent requests whose load reports have
	// to be known. Reports pass from VM to VM, so that some are always missing.
	defaultReportShare = 0.3
	// defaultStep is the share of a zone's replicas that one order may remove.
	defaultStep = 0.4
	// defaultSlack is the share of a zone's replicas by which it may be above what it needs: each
	// change of the set makes replicas read shared parts again.
	defaultSlack = 0.12
	// defaultLateShare is the share of late or refused requests from which replicas are added.
	defaultLateShare = 0.05
)

// Config holds the thresholds of the planner.
type Config struct {
	Window, Measure, MaxAge, Late, Warm, DownPause, SpotPause time.Duration

	Swing, MaxSwing, SlotUse, Balance, MissShare float64
	RestUse, SpotShare, Step, Slack, LateShare   float64
	ReportShare                                  float64
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.Measure = cmp.Or(c.Measure, defaultMeasure)
	c.MaxAge = cmp.Or(c.MaxAge, defaultMaxAge)
	c.Late = cmp.Or(c.Late, defaultLate)
	c.Warm = cmp.Or(c.Warm, defaultWarm)
	c.DownPause = cmp.Or(c.DownPause, defaultDownPause)
	c.SpotPause = cmp.Or(c.SpotPause, defaultSpotPause)
	c.Swing = cmp.Or(c.Swing, defaultSwing)
	c.MaxSwing = cmp.Or(c.MaxSwing, defaultMaxSwing)
	c.SlotUse = cmp.Or(c.SlotUse, defaultSlotUse)
	c.Balance = cmp.Or(c.Balance, defaultBalance)
	c.MissShare = cmp.Or(c.MissShare, defaultMissShare)
	c.RestUse = cmp.Or(c.RestUse, defaultRestUse)
	c.SpotShare = cmp.Or(c.SpotShare, defaultSpotShare)
	c.Step = cmp.Or(c.Step, defaultStep)
	c.Slack = cmp.Or(c.Slack, defaultSlack)
	c.LateShare = cmp.Or(c.LateShare, defaultLateShare)
	c.ReportShare = cmp.Or(c.ReportShare, defaultReportShare)
	return c
}

// Validate checks a config whose defaults are filled in.
//
// Errors: NotValid, which names the field.
func (c Config) Validate() error {
	for name, d := range map[string]time.Duration{
		"Window": c.Window, "Measure": c.Measure, "MaxAge": c.MaxAge, "Late": c.Late, "Warm": c.Warm, "DownPause": c.DownPause, "SpotPause": c.SpotPause,
	} {
		if d <= 0 {
			return errors.NotValidf("Config.Validate: %s is %s, must be positive", name, d)
		}
	}
	for name, share := range map[string]float64{
		"SlotUse": c.SlotUse, "Balance": c.Balance, "MissShare": c.MissShare, "RestUse": c.RestUse, "SpotShare": c.SpotShare, "Step": c.Step, "LateShare": c.LateShare, "ReportShare": c.ReportShare,
	} {
		if !(share > 0 && share <= 1) {
			return errors.NotValidf("Config.Validate: %s is %g, must be above 0 and at most 1", name, share)
		}
	}
	if !(c.Swing >= 0) || !(c.MaxSwing >= c.Swing) || !(c.Slack >= 0) {
		return errors.NotValidf("Config.Validate: Swing %g, MaxSwing %g, Slack %g (at least 0, and MaxSwing at least Swing)", c.Swing, c.MaxSwing, c.Slack)
	}
	return nil
}
