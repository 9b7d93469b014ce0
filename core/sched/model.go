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
	// turnCredit is how many tokens may go to turns; below zero while a turn's
	// tokens are being earned back.
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

// dispatch takes out the entry and keeps the account of turns.
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

// count returns how many items of the tier wait.
func (m *modelQueue) count(t call.Tier) int {
	if m.tiers[t] == nil {
		return 0
	}
	return m.tiers[t].items
}

// capacityUsed returns how many items of the tier take a place.
func (m *modelQueue) capacityUsed(t call.Tier) int {
	if m.tiers[t] == nil {
		return 0
	}
	return m.tiers[t].items - m.tiers[t].requeued
}

// sharedUsed returns how many items of the tier are on sharedUsed places.
func (m *modelQueue) sharedUsed(t call.Tier) int {
	return max(0, m.capacityUsed(t)-m.config.TierCapacity)
}

// sharedFree returns how many shared places are sharedFree; none where
// SetSharedCapacity has left
// fewer than are taken.
func (m *modelQueue) sharedFree() int {
	free := m.config.SharedCapacity
	for t := range call.Tier(TierCount) {
		free -= m.sharedUsed(t)
	}
	return max(0, free)
}

// tierFree returns how many of the tier's tierFree places are free.
func (m *modelQueue) tierFree(t call.Tier) int {
	return max(0, m.config.TierCapacity-m.capacityUsed(t))
}

// hasCapacity reports whether the tier has a free place, shared or its own.
func (m *modelQueue) hasCapacity(t call.Tier) bool {
	return m.tierFree(t) > 0 || m.sharedFree() > 0
}

// attainable returns how many more items of the tier could be queued, those that
// would displace lower tiers included.
func (m *modelQueue) attainable(t call.Tier) int {
	places := m.tierFree(t) + m.sharedFree()
	for low := t + 1; low <= call.MaxTier; low++ {
		places += m.sharedUsed(low)
	}
	return places
}

// teamItems returns how many items the team has in the tier.
func (m *modelQueue) teamItems(t call.Tier, team call.Team) int {
	if m.tiers[t] == nil {
		return 0
	}
	items, _ := m.tiers[t].teamLoad(string(team))
	return items
}

// victim returns the newest item of the lowest tier below t that is on shared
// places, or nil.
func (m *modelQueue) victim(t call.Tier) *entry {
	for low := call.MaxTier; low > t; low-- {
		if m.sharedUsed(low) > 0 {
			return m.tiers[low].newest()
		}
	}
	return nil
}
