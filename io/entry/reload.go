package entry

import (
	"slices"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Reload puts changed start-up settings in force: seeds, the limit of a stop and
// the retry budget. Addresses need a new start; a change of one is logged.
//
// Errors: NotValid; the old settings stay in force.
func (e *Entry) Reload(next Config) error {
	next.Defaults()
	if err := next.Validate(); err != nil {
		return errors.Annotate(err, "Entry.Reload")
	}
	before := e.config.Load()
	moved := next.CallerAddress != before.CallerAddress || next.ReadinessAddress != before.ReadinessAddress || next.PeerAddress != before.PeerAddress || next.StoreAddress != before.StoreAddress
	if moved || next.VM != before.VM || next.Zone != before.Zone {
		e.log.WithFields(logrus.Fields{"event": "reloadPartly"}).Warn("addresses, name and zone stay until the next start")
	}
	changed := !slices.Equal(next.Seeds, before.Seeds) || next.StopLimit != before.StopLimit ||
		next.RetryRatio != before.RetryRatio || next.RetrySlack != before.RetrySlack || next.RetryWindow != before.RetryWindow
	kept := *before
	kept.Seeds, kept.StopLimit = next.Seeds, next.StopLimit
	kept.RetryRatio, kept.RetrySlack, kept.RetryWindow = next.RetryRatio, next.RetrySlack, next.RetryWindow
	e.config.Store(&kept)
	e.drain.SetLimit(kept.StopLimit - stopMargin)
	e.setBudget()
	e.log.WithFields(logrus.Fields{
		"event": "reload", "changed": changed, "seeds": len(kept.Seeds), "stopLimit": kept.StopLimit.String(), "retryRatio": kept.RetryRatio,
	}).Info("settings reloaded")
	return nil
}
