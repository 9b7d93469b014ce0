package sched

import (
	"time"

	"gentianwell/core/call"
)

// modelQueue holds the waiting items of one model.
type modelQueue struct {
	name   call.Model
	config *Config
	tiers  [TierCount]*tierQueue
	items  int
	// turnCredit decides whether a turn may be taken: it must be above 0. A turn
	// subtracts its tokens, so credit may be negative; dispatches by priority add
	// to it, up to 1, at the rate that TurnShare allows.
	turnCredit float64
}

func newModelQueue(name call.Model, c *Config) *modelQueue {
	return &modelQueue{name: name, config: c, turnCredit: 1}
}

func (m *modelQueue) insert(now time.Time, e *entry) {
	n := e.item.Call.Tier
	if m.tiers[n] == nil {
		m.tiers[n] = newTierQueue()
	}
	m.tiers[n].insert(now, e)
	m.items++
}

func (m *modelQueue) remove(e *entry) {
	m.tiers[e.item.Call.Tier].remove(e)
	m.items--
}

// dispatch removes the entry and updates the turn credit.
func (m *modelQueue) dispatch(now time.Time, e *entry, reason Reason) {
	m.tiers[e.item.Call.Tier].dispatch(now, e)
	m.items--
	cost := float64(e.item.Cost)
	if reason == ReasonTurn {
		m.turnCredit -= cost
		return
	}
	share := m.config.TurnShare
	m.turnCredit = min(1, m.turnCredit+cost*share/(1-share))
}

// count returns how many items of the tier are waiting.
func (m *modelQueue) count(t call.Tier) int {
	if m.tiers[t] == nil {
		return 0
	}
	return m.tiers[t].items
}

// capacityUsed returns how many items of the tier use queue capacity.
func (m *modelQueue) capacityUsed(t call.Tier) int {
	if m.tiers[t] == nil {
		return 0
	}
	return m.tiers[t].items - m.tiers[t].requeued
}

// sharedUsed returns how much of the shared capacity the tier uses.
func (m *modelQueue) sharedUsed(t call.Tier) int {
	return max(0, m.capacityUsed(t)-m.config.TierCapacity)
}

// sharedFree returns how much of the shared capacity is free. It is 0 if
// SetSharedCapacity has reduced the capacity below what is used.
func (m *modelQueue) sharedFree() int {
	free := m.config.SharedCapacity
	for t := range call.Tier(TierCount) {
		free -= m.sharedUsed(t)
	}
	return max(0, free)
}

// tierFree returns how much of the tier's own capacity is free.
func (m *modelQueue) tierFree(t call.Tier) int {
	return max(0, m.config.TierCapacity-m.capacityUsed(t))
}

// hasCapacity reports whether shared capacity or the tier's own is free.
func (m *modelQueue) hasCapacity(t call.Tier) bool {
	return m.tierFree(t) > 0 || m.sharedFree() > 0
}

// attainable returns how many more items of the tier could be queued, including
// those that would displace items of lower tiers.
func (m *modelQueue) attainable(t call.Tier) int {
	capacity := m.tierFree(t) + m.sharedFree()
	for low := t + 1; low <= call.MaxTier; low++ {
		capacity += m.sharedUsed(low)
	}
	return capacity
}

// teamItems returns how many items of the team are waiting in the tier.
func (m *modelQueue) teamItems(t call.Tier, team call.Team) int {
	if m.tiers[t] == nil {
		return 0
	}
	items, _ := m.tiers[t].teamLoad(string(team))
	return items
}

// victim returns the entry that an item of tier t displaces: the newest one of the
// lowest tier that uses shared capacity, or nil if there is none below t.
func (m *modelQueue) victim(t call.Tier) *entry {
	for low := call.MaxTier; low > t; low-- {
		if m.sharedUsed(low) > 0 {
			return m.tiers[low].newest()
		}
	}
	return nil
}
