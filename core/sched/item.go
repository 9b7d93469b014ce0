package sched

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Item is a call to be queued, with its estimates and limits.
type Item struct {
	Call call.Call
	// Cost is the estimated number of tokens in prompt and answer, at least 1.
	Cost int
	// Service is the estimated time from dispatch to the end of the answer. It is
	// used only if the call has a deadline.
	Service time.Duration
	// FreshFor is how long the item is served in order of arrival. After that it
	// can no longer meet its latency target, so fresh items of its class go
	// first; it does not expire sooner. Zero means always in order of arrival.
	FreshFor time.Duration
	// MaxWait overrides the tier's MaxWait if it is not zero.
	MaxWait time.Duration
	// Weight is the weight of the team's share in the tier; zero counts as 1.
	Weight float64
	// Requeued is true for a call that was dispatched before and has to continue,
	// for example on another replica after a crash. It uses no queue capacity, is
	// never displaced and goes first in its class; its deadline and MaxWait apply.
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
		return errors.NotValidf("Item.Validate: MaxWait %s, Weight %g (each at least 0)", i.MaxWait, i.Weight)
	}
	if i.Cost < 1 || i.Service < 0 || i.FreshFor < 0 {
		return errors.NotValidf("Item.Validate: Cost %d (at least 1), Service %s, FreshFor %s (each at least 0)", i.Cost, i.Service, i.FreshFor)
	}
	return nil
}

// teamCost returns the cost charged to the item's team: Cost divided by Weight, at
// least 1.
func (i *Item) teamCost() int {
	if i.Weight == 0 {
		return i.Cost
	}
	return max(1, int(float64(i.Cost)/i.Weight))
}

// latestDispatch returns the latest dispatch time that can meet the deadline, or the
// zero time if there is no deadline.
func (i *Item) latestDispatch() time.Time {
	if i.Call.Deadline.IsZero() {
		return time.Time{}
	}
	return i.Call.Deadline.Add(-i.Service)
}
