package sched

import (
	"time"

	"gentianwell/core/call"
)

// chooseTier returns the tier to dispatch from next, from tier 0 to lowest, or nil
// if none of them has waiting items.
func (m *modelQueue) chooseTier(now time.Time, lowest call.Tier) (*tierQueue, Reason) {
	highest := m.highestWaiting(lowest)
	if highest < 0 {
		return nil, ReasonEmpty
	}
	if int(highest) < m.config.Protected || m.turnCredit <= 0 {
		return m.tiers[highest], ReasonPriority
	}
	if t := m.mostOverdue(now, highest+1, lowest); t != nil {
		return t, ReasonTurn
	}
	return m.tiers[highest], ReasonPriority
}

// highestWaiting returns the highest tier with waiting items, from tier 0 to
// lowest, or -1.
func (m *modelQueue) highestWaiting(lowest call.Tier) call.Tier {
	for t := range lowest + 1 {
		if m.count(t) > 0 {
			return t
		}
	}
	return -1
}

// mostOverdue returns the tier whose turn has been due for the longest time, or
// nil if no turn is due.
func (m *modelQueue) mostOverdue(now time.Time, from, lowest call.Tier) *tierQueue {
	var oldest *tierQueue
	var since time.Time
	for t := from; t <= lowest; t++ {
		if m.count(t) == 0 {
			continue
		}
		at := m.tiers[t].lastServed.Add(m.config.Tiers[t].TurnEvery)
		if !at.After(now) && (oldest == nil || at.Before(since)) {
			oldest, since = m.tiers[t], at
		}
	}
	return oldest
}
