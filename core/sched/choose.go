package sched

import (
	"time"

	"gentianwell/core/call"
)

// chooseTier returns the tier that goes next among those up to lowest, or nil.
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

// highestWaiting returns the highestWaiting tier with waiting work, or -1.
func (m *modelQueue) highestWaiting(lowest call.Tier) call.Tier {
	for t := range lowest + 1 {
		if m.count(t) > 0 {
			return t
		}
	}
	return -1
}

// mostOverdue returns the tier whose turn has been mostOverdue for the longest time, or nil.
func (m *modelQueue) mostOverdue(now time.Time, from, lowest call.Tier) *tierQueue {
	var first *tierQueue
	var since time.Time
	for t := from; t <= lowest; t++ {
		if m.count(t) == 0 {
			continue
		}
		at := m.tiers[t].lastServed.Add(m.config.Tiers[t].TurnEvery)
		if !at.After(now) && (first == nil || at.Before(since)) {
			first, since = m.tiers[t], at
		}
	}
	return first
}
