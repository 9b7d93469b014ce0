package entry

import (
	"slices"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Reload applies changed start-up settings: the seeds, the limit of a stop and the retry
// budget. Changes of the addresses, the name and the zone need a restart and are only
// logged.
//
// Errors: NotValid; the old settings stay in force.
func (e *Entry) Reload(next Config) error {
	next.Defaults()
	if err := next.Validate(); err != nil {
		return errors.Annotate(err, "Entry.Reload")
	}
	before := e.config.Load()
	addressChanged := next.CallerAddress != before.CallerAddress || next.ReadinessAddress != before.ReadinessAddress ||
		next.PeerAddress != before.PeerAddress || next.StoreAddress != before.StoreAddress
	if addressChanged || next.VM != before.VM || next.Zone != before.Zone {
		e.log.WithFields(logrus.Fields{"event": "reloadPartly"}).Warn("changes of addresses, name and zone take effect at the next start")
	}
	changed := !slices.Equal(next.Seeds, before.Seeds) || next.StopLimit != before.StopLimit ||
		next.RetryRatio != before.RetryRatio || next.RetrySlack != before.RetrySlack || next.RetryWindow != before.RetryWindow
	merged := *before
	merged.Seeds, merged.StopLimit = next.Seeds, next.StopLimit
	merged.RetryRatio, merged.RetrySlack, merged.RetryWindow = next.RetryRatio, next.RetrySlack, next.RetryWindow
	e.config.Store(&merged)
	e.drain.SetLimit(merged.StopLimit - stopMargin)
	e.setBudget()
	e.log.WithFields(logrus.Fields{
		"event": "reload", "changed": changed, "seeds": len(merged.Seeds), "stopLimit": merged.StopLimit.String(), "retryRatio": merged.RetryRatio,
	}).Info("settings reloaded")
	return nil
}
