package sched

import (
	"time"

	"gentianwell/core/call"
)

// choose returns the tier that goes next among those up to lowest, or nil.
func (m *modelQueue) choose(now time.Time, lowest call.Tier) (*tierQueue, Reason) {
	highest := m.highest(lowest)
	if highest < 0 {
		return nil, ReasonEmpty
	}
	if int(highest) < m.config.Protected || m.credit <= 0 {
		return m.tiers[highest], ReasonPriority
	}
	if t := m.due(now, highest+1, lowest); t != nil {
		return t, ReasonTurn
	}
	return m.tiers[highest], ReasonPriority
}

// highest returns the highest tier with waiting work, or -1.
func (m *modelQueue) highest(lowest call.Tier) call.Tier {
	for t := range lowest + 1 {
		if m.count(t) > 0 {
			return t
		}
	}
	return -1
}

// due returns the tier whose turn has been due for the longest time, or nil.
func (m *modelQueue) due(now time.Time, from, lowest call.Tier) *tierQueue {
	var first *tierQueue
	var since time.Time
	for t := from; t <= lowest; t++ {
		if m.count(t) == 0 {
			continue
		}
		at := m.tiers[t].served.Add(m.config.Tiers[t].TurnEvery)
		if !at.After(now) && (first == nil || at.Before(since)) {
			first, since = m.tiers[t], at
		}
	}
	return first
}
