package sched

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Item is a call that waits, with what is estimated about it.
type Item struct {
	Call call.Call
	// Cost is the estimated number of tokens, prompt and answer; at least 1.
	Cost int
	// Service is the estimated time from dispatch to the end of the answer. It
	// only matters where the call has a deadline.
	Service time.Duration
	// FreshFor is how long the item goes in order of arrival. After it, newer
	// items of its class that are still fresh go first, since dispatching it in
	// time for its target is not possible any more; it is given up on no sooner
	// for that. Zero: always in order of arrival.
	FreshFor time.Duration
	// MaxWait replaces the tier's where it is not zero.
	MaxWait time.Duration
	// Weight is the team's share against others of the tier; zero counts as 1.
	Weight float64
	// Requeued is true for a call that was dispatched before and has to go on, for
	// example on another replica after a crash. It takes no place, is not displaced
	// and goes first in its class; its deadline and MaxWait hold.
	Requeued bool
}

// Validate checks that the item can be queued.
//
// Errors: NotValid.
func (i *Item) Validate() error {
	if err := i.Call.Validate(); err != nil {
		return errors.Annotate(err, "Item.Validate")
	}
	if i.MaxWait < 0 || i.Weight < 0 {
		return errors.NotValidf("Item.Validate: longest wait %s, weight %g", i.MaxWait, i.Weight)
	}
	if i.Cost < 1 || i.Service < 0 || i.FreshFor < 0 {
		return errors.NotValidf("Item.Validate: cost %d, service %s, fresh for %s", i.Cost, i.Service, i.FreshFor)
	}
	return nil
}

// teamCost is the cost that the item's team is charged for it.
func (i *Item) teamCost() int {
	if i.Weight == 0 {
		return i.Cost
	}
	return max(1, int(float64(i.Cost)/i.Weight))
}

// latestDispatch returns the latest dispatch that can meet the deadline; zero if there
// is none.
func (i *Item) latestDispatch() time.Time {
	if i.Call.Deadline.IsZero() {
		return time.Time{}
	}
	return i.Call.Deadline.Add(-i.Service)
}
